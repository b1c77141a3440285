package forward

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// addToRetryBudget allows further retries to the service.
func (h *harness) addToRetryBudget(retries int) {
	matched, _ := h.table.Match("host", "/")
	budget := h.f.RetryBudgets.For(h.table.Service(matched.Targets[0].Service), h.pool.Fleet())
	for range retries {
		budget.RecordRequest(h.pool.Fleet())
	}
}

// silentThenFailing is silent at the first upstream after an event, answers the second request
// with second, and all others with others.
func (h *harness) silentThenFailing(event int, second, others behaviour) behaviour {
	var requests atomic.Int64
	return func(req receivedRequest) (*http.Response, error) {
		switch requests.Add(1) {
		case 1:
			return h.silentAfter(event, time.Hour, 60)(req)
		case 2:
			return second(req)
		}
		return others(req)
	}
}

// failures are the ways in which an upstream fails to continue a stream.
var failures = map[string]behaviour{
	"reset":            resetConnection,
	"cut after a head": sendEvents(0, 0, errReset),
	"error":            respondWith(http.StatusInternalServerError, "error"),
	"not found":        respondWith(http.StatusNotFound, "error"),
	"unsigned": func(receivedRequest) (*http.Response, error) {
		r := response(http.StatusOK, "")
		r.Header.Del("Signature")
		return r, nil
	},
	"other request": func(receivedRequest) (*http.Response, error) {
		r := response(http.StatusOK, "")
		r.Header.Set("Id", "request-2")
		return r, nil
	},
}

// Guards against cutting off a stream that has left a silent upstream when the next one fails while the retry budget is used up (incident LOST).
func TestStreamThatLeftSilentUpstreamWaitsForRetryBudget(t *testing.T) {
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, streaming, true, "a", "b", "c", "d")
				second := func(req receivedRequest) (*http.Response, error) {
					h.useUpRetryBudget()
					time.AfterFunc(5*time.Second, func() { h.addToRetryBudget(2) })
					return fail(req)
				}
				h.setBehaviour(h.silentThenFailing(20, second, sendEvents(60, testInterval, nil)), "a", "b", "c", "d")
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(got.body).To(Equal(eventsText(1, 60)))
				h.g.Expect(h.receivedBy()).To(HaveLen(3))
			})
		})
	}
}

// Guards against cutting off a stream that has left a silent upstream when the next one fails and the others have no room for some seconds (incident LOST).
func TestStreamThatLeftSilentUpstreamWaitsForRoomAfterFailure(t *testing.T) {
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, streaming, true, "a", "b", "c", "d")
				start := time.Now()
				others := func(req receivedRequest) (*http.Response, error) {
					if time.Since(start) < 8*time.Second {
						return refuseAsNotRun(req)
					}
					return sendEvents(60, testInterval, nil)(req)
				}
				h.setBehaviour(h.silentThenFailing(20, fail, others), "a", "b", "c", "d")
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(got.body).To(Equal(eventsText(1, 60)))
			})
		})
	}
}

// Guards against a stream that waits until its deadline although no attempt is left, or runs more often than its route allows.
func TestStreamWithoutAttemptsEndsAtOnce(t *testing.T) {
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				r := streaming
				r.MaxAttempts = 2
				h := newHarness(t, r, true, "a", "b", "c", "d")
				h.setBehaviour(h.silentThenFailing(20, fail, sendEvents(60, testInterval, nil)), "a", "b", "c", "d")
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeTrue())
				h.g.Expect(h.receivedBy()).To(HaveLen(2))
				h.g.Expect(got.duration).To(BeNumerically("<", 2*time.Second))
			})
		})
	}
}

// Guards against a stream that stays open although it was lost after it had gone on at another upstream: its caller can resume it at another instance.
func TestStreamLostAfterMoveIsNotHeldOpen(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c", "d")
		h.setBehaviour(h.silentThenFailing(20, sendEvents(40, testInterval, errReset), refuseAsNotRun), "a", "b", "c", "d")
		got := h.request(t.Context(), map[string]string{"Deadline": strconv.Itoa(30_000)})
		h.g.Expect(got.aborted).To(BeTrue())
		h.g.Expect(got.body).To(Equal(eventsText(1, 40)))
		h.g.Expect(got.duration).To(BeNumerically("<", 2*resumeTimeout))
	})
}

// Guards against a stream that waits until its deadline for a retry budget that never allows retries again.
func TestStreamWithoutRetryBudgetEndsAtOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, false, "a", "b", "c", "d") // streams of engines have a budget that always refills
		h.f.RetryBudgets = NewRetryBudgets(0)
		second := func(req receivedRequest) (*http.Response, error) {
			h.useUpRetryBudget()
			return resetConnection(req)
		}
		h.setBehaviour(h.silentThenFailing(20, second, sendEvents(60, testInterval, nil)), "a", "b", "c", "d")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.aborted).To(BeTrue())
		h.g.Expect(got.duration).To(BeNumerically("<", 2*time.Second))
		h.setSilent("a", false)
		time.Sleep(time.Minute) // until the health checks of the silent upstream have ended
	})
}
