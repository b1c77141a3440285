//go:build e2e

package gatewaysoak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
)

const (
	streamEvents   = 100
	streamDeadline = 20 * time.Second
	callDeadline   = 2 * time.Second
	// maxReturns is how often a caller of a stream comes back.
	maxReturns = 8
)

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

// request sends one attempt of a caller to a ready gateway.
func (w *world) request(ctx context.Context, id, method, path string, body string, header map[string]string) (*http.Response, error) {
	ready := w.readyGateways()
	if len(ready) == 0 {
		return nil, errors.New("no gateway is ready")
	}
	return w.requestAt(ctx, ready[rand.IntN(len(ready))], id, method, path, body, header)
}

func (w *world) requestAt(ctx context.Context, address, id, method, path string, body string, header map[string]string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = "host.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("X-Tenant", "forged")
	r.Header.Set("X-Hold", "forged")
	deadline, _ := ctx.Deadline()
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return w.client.Do(r)
}

// call makes one call and checks its answer.
func (w *world) call(l *ledger, id string, repeatable bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	method, path, body := http.MethodPost, "/book/"+id+"%2f?x=1", "body of "+id
	if repeatable {
		method, path, body = http.MethodGet, "/read/"+id, ""
	}
	l.mu.Lock()
	l.digests[id] = emulator.Digest([]byte(body))
	l.mu.Unlock()
	status, text := 0, ""
	response, err := w.request(ctx, id, method, path, body, nil)
	if err == nil {
		answer, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			status, text = response.StatusCode, string(answer)
		}
	}
	if status == http.StatusOK && text != emulator.Answer([]byte(body), path) {
		l.violation("request %s got the answer %q", id, text)
	}
	if status == http.StatusNotFound || status == http.StatusUnauthorized {
		l.violation("request %s, which each configuration allows, got %d", id, status)
	}
	l.count(fmt.Sprintf("repeatable=%t status=%d", repeatable, status))
	if !repeatable {
		l.mu.Lock()
		l.statuses[id] = status
		l.mu.Unlock()
	}
	return status == http.StatusOK
}

// stream asks for a stream until it has all events, and checks each of them.
func (w *world) stream(l *ledger, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	s := &streamCaller{w: w, l: l, id: id, body: "prompt of " + id}
	for attempt := range maxReturns {
		if s.attempt(ctx, attempt) {
			l.count("stream complete")
			return true
		}
		timer := time.NewTimer(time.Duration(50+rand.IntN(300)) * time.Millisecond)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	l.count("stream given up")
	return false
}

type streamCaller struct {
	w    *world
	l    *ledger
	id   string
	body string
	last int
}

// attempt reports whether the stream is complete.
func (s *streamCaller) attempt(ctx context.Context, attempt int) bool {
	header := map[string]string{
		"X-Model": "m", "X-Token-Counts": fmt.Sprintf("800,%d", 10*streamEvents), "X-Prompt-Prefix": "shared:100," + s.id + ":700",
	}
	if s.last > 0 {
		header["Last-Event-Id"] = strconv.Itoa(s.last)
	}
	first, began := s.last, time.Now()
	response, err := s.w.request(ctx, fmt.Sprintf("%s.%d", s.id, attempt), http.MethodPost, "/draft/"+s.id, s.body, header)
	if err != nil {
		s.l.count("stream attempt without an answer")
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		s.l.count(fmt.Sprintf("stream attempt status=%d", response.StatusCode))
		return false
	}
	longest := time.Duration(0)
	reader := bufio.NewReader(response.Body)
	for {
		var event strings.Builder
		for range strings.Count(emulator.Event(nil, 1), "\n") {
			line, err := reader.ReadString('\n')
			event.WriteString(line)
			if err == io.EOF && event.Len() == 0 {
				return s.ended(first, longest)
			}
			if err != nil {
				s.l.count("stream attempt broken off")
				return false
			}
		}
		if event.String() != emulator.Event([]byte(s.body), s.last+1) {
			s.l.violation("stream %s got after event %d: %q", s.id, s.last, event.String())
			return false
		}
		s.last++
		longest = max(longest, time.Since(began))
		began = time.Now()
	}
}

// ended checks an answer that ended as complete.
func (s *streamCaller) ended(first int, longest time.Duration) bool {
	if s.last != streamEvents {
		s.l.violation("stream %s ended as complete after event %d of %d", s.id, s.last, streamEvents)
		return false
	}
	if first == 0 {
		s.l.mu.Lock()
		s.l.longest = max(s.l.longest, longest)
		s.l.mu.Unlock()
	}
	return true
}

var ranLine = regexp.MustCompile(`ran request=(\S+) server=(\S+) workspace="([^"]*)" path="([^"]*)" digest=(\S+) forged="([^"]*)"`)

// checkRuns compares what the servers ran with what callers were told.
func (w *world) checkRuns(l *ledger) {
	runs := map[string]int{}
	for _, n := range append(append([]*node{}, w.engines...), w.plain...) {
		log, err := os.ReadFile(filepath.Join(w.dir, n.name+".log"))
		w.g.Expect(err).NotTo(HaveOccurred())
		for _, match := range ranLine.FindAllStringSubmatch(string(log), -1) {
			id, workspace, digest, forged := match[1], match[3], match[5], match[6]
			runs[id]++
			if workspace != testWorkspace || forged != "" {
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
