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

// recorder records the outcomes that callers received and the broken guarantees.
type recorder struct {
	mu           sync.Mutex // guards the fields below
	violations   []string
	callStatuses map[string]int    // of non-repeatable calls, by request; 0: no response
	bodyDigests  map[string]string // of request bodies, by request
	counts       map[string]int
	longestPause time.Duration // between events of streams that one instance served completely
}

func newRecorder() *recorder {
	return &recorder{callStatuses: map[string]int{}, bodyDigests: map[string]string{}, counts: map[string]int{}}
}

func (rec *recorder) violation(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.violations = append(rec.violations, fmt.Sprintf(format, args...))
}

func (rec *recorder) count(name string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.counts[name]++
}

// call makes one call, records its result and reports whether it succeeded.
func (h *harness) call(rec *recorder, id string, repeatable bool) bool {
	rec.mu.Lock()
	rec.bodyDigests[id] = emulator.Digest([]byte(testfleet.CallBody(id, repeatable)))
	rec.mu.Unlock()
	result := h.Call(context.Background(), id, repeatable)
	if result.Violation != "" {
		rec.violation("%s", result.Violation)
	}
	outcome := fmt.Sprint("status=", result.Status)
	if result.Failed.Outcome != "" {
		outcome = result.Failed.Outcome
	}
	rec.count(fmt.Sprintf("repeatable=%t %s", repeatable, outcome))
	if !repeatable {
		rec.mu.Lock()
		rec.callStatuses[id] = result.Status
		rec.mu.Unlock()
	}
	return result.Status == http.StatusOK
}

// stream requests a stream, records its result and reports whether it is complete.
func (h *harness) stream(rec *recorder, id string) bool {
	result := h.Stream(context.Background(), id, streamEvents)
	if result.Violation != "" {
		rec.violation("%s", result.Violation)
	}
	for _, attempt := range result.FailedAttempts {
		rec.count("stream attempt " + attempt.Outcome)
	}
	if !result.Complete {
		rec.count("stream abandoned")
		return false
	}
	rec.count("stream complete")
	if len(result.FailedAttempts) == 0 {
		rec.mu.Lock()
		rec.longestPause = max(rec.longestPause, result.TimeToFirstEvent, result.LongestGap)
		rec.mu.Unlock()
	}
	return true
}

var ranLine = regexp.MustCompile(`ran request=(\S+) server=(\S+) workspace="([^"]*)" path="([^"]*)" digest=(\S+) forged="([^"]*)"`)

// checkExecutions compares the executions in the servers' logs with the callers' responses.
func (h *harness) checkExecutions(rec *recorder) {
	runs := map[string]int{}
	for _, n := range append(append([]*testfleet.Node{}, h.Engines...), h.PlainServers...) {
		log, err := os.ReadFile(filepath.Join(h.Dir, n.Name+".log"))
		h.g.Expect(err).NotTo(HaveOccurred())
		for _, match := range ranLine.FindAllStringSubmatch(string(log), -1) {
			id, workspace, digest, forged := match[1], match[3], match[5], match[6]
			runs[id]++
			if workspace != testfleet.Workspace || forged != "" {
				rec.violation("request %s reached %s for workspace %q with forged headers %q", id, match[2], workspace, forged)
			}
			if sent, exists := rec.bodyDigests[id]; exists && sent != digest {
				rec.violation("request %s reached %s with another body", id, match[2])
			}
		}
	}
	for id, status := range rec.callStatuses {
		switch {
		case runs[id] > 1:
			rec.violation("non-repeatable request %s ran %d times", id, runs[id])
		case runs[id] > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			rec.violation("request %s was refused with %d but ran", id, status)
		case runs[id] == 0 && status == http.StatusOK:
			rec.violation("request %s was answered with 200 but did not run", id)
		}
	}
}
