package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

// endingHarness is a harness whose upstreams send responses without a length, after which the
// process of the first one that received a request may end, restart or be silent.
type endingHarness struct {
	*harness
	ended map[string]bool // refuse connections
	full  map[string]bool // refuse health checks
}

var errUnidentified = errors.New("status 503 without an ID")

// after is what happens to an upstream after its first response.
type after string

const (
	staysSound after = "sound"
	isSilent   after = "silent"
	ends       after = "ended"
	restarts   after = "restarted"
	refusesOne after = "busy" // refuses one connection
	refuses    after = "full" // its health check is refused without an ID
)

func newEndingHarness(t *testing.T, r route.Route, engine bool) *endingHarness {
	h := &endingHarness{harness: newHarness(t, r, engine, "a", "b"), ended: map[string]bool{}, full: map[string]bool{}}
	h.startTimes = map[string]int64{"a": 1, "b": 1}
	h.f.Prober = h
	return h
}

func (h *endingHarness) hasEnded(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended[address]
}

func (h *endingHarness) Load(ctx context.Context, address string) (pool.LoadReport, error) {
	if h.hasEnded(address) {
		return pool.LoadReport{}, syscall.ECONNREFUSED
	}
	return h.harness.Load(ctx, address)
}

func (h *endingHarness) Health(ctx context.Context, address, path string) (pool.HealthStatus, error) {
	if h.hasEnded(address) {
		return pool.HealthStatus{}, syscall.ECONNREFUSED
	}
	h.mu.Lock()
	full := h.full[address]
	h.mu.Unlock()
	if full {
		return pool.HealthStatus{}, errUnidentified
	}
	return h.harness.Health(ctx, address, path)
}

// respond lets the first upstream respond with first and all later ones with later. Responses
// have no length.
func (h *endingHarness) respond(what after, first, later behaviour) {
	var once sync.Once
	h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
		respond := later
		once.Do(func() { respond = first })
		r, err := respond(req)
		if err == nil {
			r.ContentLength, r.Close = -1, true
			h.mu.Lock()
			defer h.mu.Unlock()
			switch {
			case len(h.received) > 1:
			case what == isSilent:
				h.unresponsive[req.upstream] = true
				time.AfterFunc(testSilence, func() { h.setSilent(req.upstream, false) })
			case what == refuses:
				h.full[req.upstream] = true
			case what == refusesOne:
				h.ended[req.upstream] = true
				time.AfterFunc(confirmInterval/2, func() {
					h.mu.Lock()
					defer h.mu.Unlock()
					h.ended[req.upstream] = false
				})
			case what == ends:
				h.ended[req.upstream] = true
			case what == restarts:
				h.startTimes[req.upstream], h.ids[req.upstream] = 2, "new"
			}
		}
		return r, err
	}, "a", "b")
}

// Guards against a stream without a length that looks complete although its server has ended.
func TestUnframedStreamOfEndedProcessDoesNotLookComplete(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		for _, what := range []after{staysSound, isSilent, ends, restarts} {
			t.Run(fmt.Sprintf("%s, resumable=%t", what, resumable), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					r := streaming
					r.Resumable = resumable
					h := newEndingHarness(t, r, true)
					h.respond(what, sendEvents(5, time.Millisecond, io.EOF), sendEvents(9, time.Millisecond, io.EOF))
					got := h.request(t.Context(), nil)
					incomplete := what == ends || what == restarts
					events := 5
					if what != staysSound && resumable {
						events = 9 // the stream goes on at the other upstream
					}
					h.g.Expect(got.body).To(Equal(eventsText(1, events)))
					h.g.Expect(got.aborted).To(Equal(incomplete && !resumable))
				})
			})
		}
	}
}

// Guards against a truncated answer without a length that looks complete because its server has ended.
func TestUnframedAnswerOfEndedProcessDoesNotLookComplete(t *testing.T) {
	long := strings.Repeat("x", bufferedResponseBytes+1)
	for _, what := range []after{staysSound, isSilent, ends, restarts, refuses, refusesOne} {
		for _, text := range []string{"half", long} {
			t.Run(fmt.Sprintf("%s, %d bytes", what, len(text)), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					r := idempotent
					r.Timeout = 5 * time.Second
					h := newEndingHarness(t, r, false)
					h.respond(what, respondWith(http.StatusOK, text), respondWith(http.StatusOK, "whole"))
					got := h.request(t.Context(), nil)
					switch {
					case what == staysSound || what == refuses || what == refusesOne:
						h.g.Expect(got.body).To(Equal(text))
						h.g.Expect(got.aborted).To(BeFalse())
					case what == isSilent && len(text) < bufferedResponseBytes:
						h.g.Expect(got.body).To(BeElementOf(text, "whole"), "the second if the call is hedged")
					case len(text) < bufferedResponseBytes:
						h.g.Expect(got.body).To(Equal("whole"))
					case what == isSilent:
						h.g.Expect(got.body).To(Equal(text))
						h.g.Expect(got.aborted).To(BeFalse())
					default:
						h.g.Expect(got.aborted).To(BeTrue())
					}
				})
			})
		}
	}
}
