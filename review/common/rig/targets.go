//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// checkDoubleSlash sends requests whose paths begin with two slashes and have a character that clients
// send as it is, and compares the target that a server runs with the one that was sent.
func checkDoubleSlash(f *fleet, trouble bool) (broken bool, err error) {
	const deadline = 2500 * time.Millisecond
	gateways, err := startPlain(f, 3)
	if err != nil {
		return false, err
	}
	targets := []string{"/look/order|7", "/look//order|7?x=1|2", "/look/a%2Fb?", "//order/7", "//order%7C7"}
	if trouble {
		targets = []string{"//order|7", "//order|7?x=1|2", "//order/7|8/"}
	}
	sent := map[string]string{}
	for _, target := range targets {
		id := fmt.Sprintf("call-%d", len(sent))
		sent[id] = target
		f.record.printf("sent request=%s target=%q", id, target)
		a := call(gateways[0].front, "GET", target, id, "", deadline)
		f.record.printf("answered request=%s %s", id, a)
	}
	time.Sleep(200 * time.Millisecond)
	for id, lines := range f.runs() {
		for _, line := range lines {
			if path, known := sent[id]; known && !strings.HasSuffix(line, fmt.Sprintf("target=%q", path)) {
				f.record.printf("UNASKED request=%s sent with target=%q: %s", id, path, line)
				broken = true
			}
		}
	}
	return broken, nil
}
