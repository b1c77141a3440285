//go:build review

// Command rig runs the cases of the review that are scripts: it starts the store, the servers and
// the instances of a small deployment on loopback addresses, sends requests and checks a rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestCase ends a case that hangs.
const longestCase = 115 * time.Second

// checks are the cases. Each reports whether its rule was broken.
var checks = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"cut-answer":    checkCutAnswer,
	"release":       checkRelease,
	"unread-bodies": checkUnreadBodies,
	"double-slash":  checkDoubleSlash,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		os.Exit(runServer(os.Args[2:]))
	}
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		os.Exit(runEngine(os.Args[2:]))
	}
	if len(os.Args) != 3 || checks[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER | rig server ... | rig engine ...")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(checks[os.Args[1]], os.Args[2]))
}

func runCase(check func(f *fleet, trouble bool) (bool, error), folder string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, longestCase)
	defer cancelTimeout()
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("trouble=%t", trouble)
	f, err := newFleet(ctx, r)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		r.printf("the case could not run: %v", err)
		return exitNotRun
	}
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := check(f, trouble)
		results <- result{broken, err}
	}()
	select {
	case checked := <-results:
		switch {
		case checked.err != nil:
			r.printf("the case could not run: %v", checked.err)
			return exitNotRun
		case checked.broken:
			r.printf("the rule was broken")
			return exitBroken
		}
		r.printf("the rule held")
		return exitHeld
	case <-ctx.Done():
		r.printf("the case was ended: %v", ctx.Err())
		return exitNotRun
	}
}

// record is what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex // guards file
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() { _ = r.file.Close() }
