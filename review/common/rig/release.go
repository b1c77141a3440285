//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// checkRelease replaces eight of 18 model servers one after the other, and then eight others, beside streams that may
// not be resumed.
func checkRelease(f *fleet, trouble bool) (broken bool, err error) {
	const engines, replaced, zones, allowed = 18, 2 * 8, 3, 3
	const perSecond, length = 5, 24 * time.Second
	own, err := os.Executable()
	if err != nil {
		return false, err
	}
	start := func(name string, zone int) (*process, error) {
		return f.start(name, nil, own, "engine", "-address", freeAddress(), "-id", name, "-zone", fmt.Sprint("zone-", zone), "-store", f.store)
	}
	var old []*process
	for i := range engines {
		p, err := start(fmt.Sprint("llm-", i), i%zones)
		if err != nil {
			return false, err
		}
		old = append(old, p)
	}
	address := freeAddress()
	if _, err := f.start("app-0", nil, own, "server", "-listen", address, "-address", address, "-id", "app-0", "-zone", "zone-0", "-store", f.store); err != nil {
		return false, err
	}
	if err := f.configure(engines + 1); err != nil {
		return false, err
	}
	var gateways []*gateway
	for i := range zones {
		g, err := f.startGateway(fmt.Sprint("gateway-", i), fmt.Sprint("zone-", i))
		if err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(contactTime) // so that the instances are in touch
	var mu sync.Mutex       // guards answers
	answers := map[string]answer{}
	var callers sync.WaitGroup
	startedAt := time.Now()
	if trouble {
		callers.Go(func() {
			for i := range replaced {
				time.Sleep(time.Until(startedAt.Add(2*time.Second + time.Duration(i)*time.Second)))
				if _, err := start(fmt.Sprint("llm-new-", i), i%zones); err != nil {
					f.record.printf("a new server did not start: %v", err)
				}
				time.Sleep(300 * time.Millisecond)
				f.record.printf("server llm-%d is told to leave", i)
				old[i].signal(terminate)
			}
		})
	}
	for n := 0; time.Since(startedAt) < length; n++ {
		id, g := fmt.Sprint("stream-", n), gateways[n%len(gateways)]
		callers.Go(func() {
			c, err := dial(g.front)
			if err != nil {
				return
			}
			defer c.close()
			first := c.send("GET", idempotentPath+"1", "first-"+id, "", 2500*time.Millisecond)
			if !first.complete() || first.status != 200 {
				f.record.printf("first request of the connection of %s: %s", id, first)
				return
			}
			f.record.printf("sent request=%s instance=%s on a kept connection", id, g.name)
			a := c.sendStream(fixedPath+"1", id, 25*time.Second)
			f.record.printf("answered request=%s events=%d %s", id, strings.Count(string(a.body), "\n\n"), a)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
		time.Sleep(time.Second / perSecond)
	}
	callers.Wait()
	time.Sleep(200 * time.Millisecond)
	lost, whole := 0, f.answered()
	for id, a := range answers {
		if lines := whole[id]; len(lines) > 0 && !a.complete() {
			lost++
			f.record.printf("LOST request=%s: %s; but %s", id, a, lines[0])
		}
	}
	f.record.printf("streams=%d answered whole by a server that closed in good order, and not whole at the caller=%d (allowed %d)", len(answers), lost, allowed)
	if !trouble && lost > 0 {
		return false, fmt.Errorf("%w: streams were lost without trouble", errNotRun)
	}
	return lost > allowed, nil
}
