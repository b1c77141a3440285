package forward

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

// Guards against a change of the list of upstreams that ends requests in progress (incident LOST).
func TestListChangeDoesNotEndRequestsInProgress(t *testing.T) {
	listed := func(name string, startedAt int64, draining bool) pool.Upstream {
		return pool.Upstream{
			ID: name, Service: "service", Address: name, FailureDomain: "domain-" + name, Slots: 8, StartedAt: startedAt, Draining: draining,
		}
	}
	notResumable := streaming
	notResumable.Resumable = false
	for name, list := range map[string][]pool.Upstream{
		"empty":          nil,
		"others":         {listed("x", 1, false), listed("y", 1, false)},
		"draining":       {listed("a", 1, true), listed("b", 1, true)},
		"another start":  {listed("a", 2, false), listed("b", 2, false)},
		"another domain": {{ID: "a", Service: "service", Address: "a", FailureDomain: "other", Slots: 8, StartedAt: 1}},
		"another service": {
			{ID: "new", Service: "other", Address: "a", Slots: 8, StartedAt: 3}, {ID: "newer", Service: "other", Address: "b", Slots: 8, StartedAt: 3},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, r := range []route.Route{streaming, notResumable} {
				for _, silence := range []time.Duration{0, testSilence} {
					inVirtualTime(t, func(t *testing.T) {
						h := newHarness(t, r, true, "a", "b")
						h.setBehaviour(h.silentAfter(20, silence, 130), "a", "b")
						h.setBehaviour(sendEvents(130, testInterval, nil), "x", "y")
						time.AfterFunc(300*time.Millisecond, func() { h.pool.Replace(list) })
						got := h.request(t.Context(), nil)
						h.g.Expect(got.aborted).To(BeFalse())
						h.g.Expect(got.body).To(Equal(eventsText(1, 130)))
					})
				}
			}
			inVirtualTime(t, func(t *testing.T) {
				r := atMostOnce
				r.Timeout = 10 * time.Second
				h := newHarness(t, r, false, "a", "b")
				h.setBehaviour(respondAfter(2*time.Second, respondWith(http.StatusOK, "answer")), "a", "b")
				time.AfterFunc(300*time.Millisecond, func() { h.pool.Replace(list) })
				got := h.request(t.Context(), nil)
				h.g.Expect(got.status).To(Equal(http.StatusOK))
				h.g.Expect(got.body).To(Equal("answer"))
			})
		})
	}
}
