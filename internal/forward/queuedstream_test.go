package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

// setQueued sets the queued streams that upstreams report.
func (h *harness) setQueued(n int, names ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		h.queued[name] = n
	}
}

// startAfter makes upstreams begin their answers after a time in the queue.
func (h *harness) startAfter(wait time.Duration, names ...string) {
	h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
		if !pause(req.ctx, wait) {
			return nil, req.ctx.Err()
		}
		return sendEvents(20, testInterval, nil)(req)
	}, names...)
}

// Guards against streams that wait for their prefill at a live engine and leave it for the end of the
// next queue, where all engines have one: each move uses up a retry, and none of them begins.
func TestQueuedStreamKeepsItsTurn(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.setQueued(2, "a", "b", "c")
		h.startAfter(firstEventTimeout+6*time.Second, "a", "b", "c")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.aborted).To(BeFalse())
		h.g.Expect(got.body).To(Equal(eventsText(1, 20)))
		h.g.Expect(h.receivedBy()).To(HaveLen(1))
	})
}

// Guards against streams that wait in a queue although another engine idles.
func TestQueuedStreamMovesToIdleUpstream(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.setQueued(2, "a", "b", "c")
		h.startAfter(time.Hour, "a", "b", "c")
		time.AfterFunc(firstEventTimeout, func() {
			first := h.receivedBy()[0]
			for _, name := range []string{"a", "b", "c"} {
				if name != first {
					h.setQueued(0, name)
					h.startAfter(0, name)
				}
			}
		})
		got := h.request(t.Context(), nil)
		h.g.Expect(got.aborted).To(BeFalse())
		h.g.Expect(got.body).To(Equal(eventsText(1, 20)))
		h.g.Expect(got.duration).To(BeNumerically("<", firstEventTimeout+askElsewhereInterval+time.Second))
	})
}

// Guards against a stream that waits for good at an engine which has lost it: the report shows nobody
// in the queue.
func TestStreamLeavesUpstreamThatHasLostIt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b")
		h.setBehaviour(firstThen(h.silentAfter(0, time.Hour, 20), sendEvents(20, testInterval, nil)), "a", "b")
		h.setResponsive(true, "a", "b")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.body).To(Equal(eventsText(1, 20)))
	})
}

// Guards against copies of KV memory at engines that have no room for them: the prompts there would
// wait or be preempted.
func TestNoCopyWithoutRoom(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.f.Prober = fullEngines{h}
		h.setBehaviour(sendEvents(200, testInterval, nil), "a", "b", "c")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.body).To(Equal(eventsText(1, 200)))
		h.g.Expect(h.receivedAt(0).header.Get("Backup")).To(BeEmpty())
		h.g.Expect(h.copiesMade).To(BeEmpty())
	})
}

// fullEngines report that their KV memory is full.
type fullEngines struct{ *harness }

func (e fullEngines) Load(ctx context.Context, address string) (pool.LoadReport, error) {
	report, err := e.harness.Load(ctx, address)
	report.KVTokensUsed, report.KVTokensTotal = 82_000, 88_000
	return report, err
}

// Guards against less urgent prompts that fill up engines which have no room while more urgent ones
// come, and against refusing any where the configuration tells no priorities apart.
func TestLessUrgentPromptsYieldWhenEnginesAreFull(t *testing.T) {
	for name, c := range map[string]struct {
		urgent bool // there is a more urgent route
		header map[string]string
		status int
	}{
		"new":           {urgent: true, status: http.StatusServiceUnavailable},
		"one priority":  {status: http.StatusOK},
		"returned":      {urgent: true, header: map[string]string{"Deadline": "20000"}, status: http.StatusOK},
		"after a break": {urgent: true, header: map[string]string{"Last": "3"}, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				var names []string
				for n := range searchAllLimit + 8 {
					names = append(names, fmt.Sprint("s", n))
				}
				r := streaming
				r.Timeout, r.Priority = 25*time.Second, 2
				h := newHarness(t, r, true, names...)
				h.f.Prober = fullEngines{h}
				if c.urgent {
					r.Name, r.Host, r.Prefix, r.Priority = "urgent", "host", "/urgent/", 0
					r.Targets = []route.Target{{Service: "service", Weight: 1}}
					ordinary, _ := h.table.Match("host", "/")
					h.setTable(route.NewTable(route.Document{Version: 2, Routes: []route.Route{*ordinary, r}, Services: []route.Service{h.table.Service("service")}}))
				}
				h.setBehaviour(sendEvents(20, testInterval, nil), names...)
				got := h.request(t.Context(), c.header)
				h.g.Expect(got.status).To(Equal(c.status))
				if c.status == http.StatusServiceUnavailable {
					h.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
					h.g.Expect(got.duration).To(BeNumerically("<", time.Second))
					h.g.Expect(h.receivedBy()).To(BeEmpty(), "the promise that it has not run")
				}
			})
		})
	}
}
