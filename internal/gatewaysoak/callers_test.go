//go:build e2e

package gatewaysoak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/testfleet"
)

const streamEvents = 100

// ledger notes what callers saw and which promises were broken.
type ledger struct {
	mu         sync.Mutex // guards the fields below
	violations []string
	statuses   map[string]int    // of unrepeatable calls, by request; 0: no answer
	digests    map[string]string // of the body, by request
	counts     map[string]int
	longest    time.Duration // pause of a stream that one instance served to its end
}

func newLedger() *ledger {
	return &ledger{statuses: map[string]int{}, digests: map[string]string{}, counts: map[string]int{}}
}

func (l *ledger) violation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *ledger) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

// call makes one call and notes its result.
func (w *world) call(l *ledger, id string, repeatable bool) bool {
	l.mu.Lock()
	l.digests[id] = emulator.Digest([]byte(testfleet.CallBody(id, repeatable)))
	l.mu.Unlock()
	result := w.Call(context.Background(), id, repeatable)
	if result.Violation != "" {
		l.violation("%s", result.Violation)
	}
	l.count(fmt.Sprintf("repeatable=%t status=%d", repeatable, result.Status))
	if !repeatable {
		l.mu.Lock()
		l.statuses[id] = result.Status
		l.mu.Unlock()
	}
	return result.Status == http.StatusOK
}

// stream asks for a stream and notes its result.
func (w *world) stream(l *ledger, id string) bool {
	result := w.Stream(context.Background(), id, streamEvents)
	if result.Violation != "" {
		l.violation("%s", result.Violation)
	}
	for _, outcome := range result.Attempts {
		l.count("stream attempt " + outcome)
	}
	if !result.Complete {
		l.count("stream given up")
		return false
	}
	l.count("stream complete")
	if len(result.Attempts) == 0 {
		l.mu.Lock()
		l.longest = max(l.longest, result.FirstEvent, result.LongestPause)
		l.mu.Unlock()
	}
	return true
}

var ranLine = regexp.MustCompile(`ran request=(\S+) server=(\S+) workspace="([^"]*)" path="([^"]*)" digest=(\S+) forged="([^"]*)"`)

// checkRuns compares what the servers ran with what callers were told.
func (w *world) checkRuns(l *ledger) {
	runs := map[string]int{}
	for _, n := range append(append([]*testfleet.Node{}, w.Engines...), w.Plain...) {
		log, err := os.ReadFile(filepath.Join(w.Dir, n.Name+".log"))
		w.g.Expect(err).NotTo(HaveOccurred())
		for _, match := range ranLine.FindAllStringSubmatch(string(log), -1) {
			id, workspace, digest, forged := match[1], match[3], match[5], match[6]
			runs[id]++
			if workspace != testfleet.Workspace || forged != "" {
				l.violation("request %s reached %s for workspace %q with forged headers %q", id, match[2], workspace, forged)
			}
			if sent, known := l.digests[id]; known && sent != digest {
				l.violation("request %s reached %s with another body", id, match[2])
			}
		}
	}
	for id, status := range l.statuses {
		switch {
		case runs[id] > 1:
			l.violation("request %s, which must not repeat, ran %d times", id, runs[id])
		case runs[id] > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			l.violation("request %s was refused with %d and ran", id, status)
		case runs[id] == 0 && status == http.StatusOK:
			l.violation("request %s was answered and did not run", id)
		}
	}
}
