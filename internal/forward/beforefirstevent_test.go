package forward

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// refuseUntil refuses requests until a time after its creation.
func refuseUntil(d time.Duration, next behaviour) behaviour {
	start := time.Now()
	return func(req receivedRequest) (*http.Response, error) {
		if time.Since(start) < d {
			return refuseAsNotRun(req)
		}
		return next(req)
	}
}

// Guards against a 502 for a stream that has left a silent upstream before its first event and finds no room for some seconds (incident LOST).
func TestStreamThatLeftSilentUpstreamBeforeFirstEventWaitsForRoom(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c", "d")
		others := refuseUntil(6*time.Second, sendEvents(60, testInterval, nil))
		h.setBehaviour(firstThen(h.silentAfter(0, time.Hour, 60), others), "a", "b", "c", "d")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusOK))
		h.g.Expect(got.aborted).To(BeFalse())
		h.g.Expect(got.body).To(Equal(eventsText(1, 60)))
	})
}

// Guards against a stream that is never sent again to the upstream that it left, while all others are full.
func TestStreamReturnsToUpstreamThatItLeft(t *testing.T) {
	for _, event := range []int{0, 20} {
		inVirtualTime(t, func(t *testing.T) {
			r := streaming
			r.Timeout = time.Minute
			h := newHarness(t, r, true, "a", "b")
			const silence = 5 * time.Second
			h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
				time.AfterFunc(silence, func() { h.setBehaviour(sendEvents(60, testInterval, nil), "a") })
				h.setBehaviour(refuseAsNotRun, "a")
				return h.silentAfter(event, silence, 60)(req)
			}, "a")
			h.setBehaviour(refuseAsNotRun, "b")
			h.markAllLostBut("a")
			got := h.request(t.Context(), nil)
			h.g.Expect(got.status).To(Equal(http.StatusOK))
			h.g.Expect(got.aborted).To(BeFalse())
			h.g.Expect(got.body).To(Equal(eventsText(1, 60)))
			h.g.Expect(h.receivedBy()).To(ContainElement("b"))
		})
	}
}

// Guards against a stream that left a silent upstream and outlives its deadline, or floods full upstreams while it waits.
func TestStreamThatFindsNoRoomEndsAtDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c", "d")
		h.setBehaviour(firstThen(h.silentAfter(0, time.Hour, 60), refuseAsNotRun), "a", "b", "c", "d")
		got := h.request(t.Context(), map[string]string{"Deadline": "8000"})
		h.g.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		h.g.Expect(got.duration).To(Equal(8 * time.Second))
		h.g.Expect(len(h.receivedBy())).To(BeNumerically("<=", 12))
	})
}

// Guards against holding back the error response of an upstream while the stream waits for another attempt.
func TestErrorAfterSilenceIsDeliveredAtOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c", "d")
		second := func(req receivedRequest) (*http.Response, error) {
			h.useUpRetryBudget()
			return respondWith(http.StatusInternalServerError, "error")(req)
		}
		h.setBehaviour(h.silentThenFailing(0, second, refuseAsNotRun), "a", "b", "c", "d")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusInternalServerError))
		h.g.Expect(got.body).To(Equal("error"))
		h.g.Expect(got.duration).To(BeNumerically("<", 2*time.Second))
	})
}
