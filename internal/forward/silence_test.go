package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

const (
	// testSilence is how long a sound upstream is silent.
	testSilence  = 1200 * time.Millisecond
	testInterval = 20 * time.Millisecond
)

// setSilent sets whether an upstream answers nothing.
func (h *harness) setSilent(name string, silent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unresponsive[name] = silent
}

// silentAfter sends events up to a number, and is silent for a time after one of them; 0
// means before the first.
func (h *harness) silentAfter(event int, silence time.Duration, to int) behaviour {
	return func(req receivedRequest) (*http.Response, error) {
		last, _ := strconv.Atoi(req.header.Get("Last"))
		reader, writer := io.Pipe()
		go func() {
			defer writer.Close()
			for id := last + 1; id <= to; id++ {
				if id == event+1 {
					h.setSilent(req.upstream, true)
					time.AfterFunc(silence, func() { h.setSilent(req.upstream, false) })
					if !pause(req.ctx, silence) {
						return
					}
				}
				if !pause(req.ctx, testInterval) {
					return
				}
				if _, err := writer.Write([]byte(eventText(id))); err != nil {
					return
				}
			}
		}()
		r := response(http.StatusOK, "")
		r.Body = reader
		return r, nil
	}
}

// useUpRetryBudget takes all retries that the budget of the service allows now.
func (h *harness) useUpRetryBudget() {
	matched, _ := h.table.Match("host", "/")
	budget := h.f.RetryBudgets.For(h.table.Service(matched.Targets[0].Service), h.pool.Fleet())
	for budget.Take() {
	}
}

// requestAtOnce sends a number of requests at the same time and returns their results.
func (h *harness) requestAtOnce(ctx context.Context, count int) []callerResult {
	results := make([]callerResult, count)
	var done sync.WaitGroup
	for i := range results {
		done.Go(func() { results[i] = h.request(ctx, nil) })
	}
	done.Wait()
	return results
}

// markAllLostBut makes new requests go to one upstream.
func (h *harness) markAllLostBut(name string) {
	for _, m := range h.pool.Members("service") {
		if m.ID != name {
			m.MarkLost(time.Now())
		}
	}
}

// Guards against ending a stream that cannot move because a sound upstream is silent for a second (incident LOST).
func TestSilentUpstreamDoesNotCutStreamThatCannotMove(t *testing.T) {
	notResumable, oneAttempt := streaming, streaming
	notResumable.Resumable = false
	oneAttempt.MaxAttempts = 1
	for name, test := range map[string]struct {
		route     route.Route
		upstreams []string
		event     int
		budget    func(*harness)
	}{
		"must not be repeated":                         {route: notResumable, upstreams: []string{"a", "b", "c"}, event: 10},
		"must not be repeated, before the first event": {route: notResumable, upstreams: []string{"a", "b", "c"}},
		"no attempt left":                              {route: oneAttempt, upstreams: []string{"a", "b", "c"}, event: 10},
		"no attempt left, before the first event":      {route: oneAttempt, upstreams: []string{"a", "b", "c"}},
		"no other upstream":                            {route: streaming, upstreams: []string{"a"}, event: 10},
		"no other upstream, before the first event":    {route: streaming, upstreams: []string{"a"}},
		"no retry budget":                              {route: streaming, upstreams: []string{"a", "b", "c"}, event: 10, budget: (*harness).useUpRetryBudget},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, test.route, true, test.upstreams...)
				if test.budget != nil {
					h.f.RetryBudgets = NewRetryBudgets(0)
					test.budget(h)
				}
				h.setBehaviour(h.silentAfter(test.event, testSilence, 30), test.upstreams...)
				got := h.request(t.Context(), nil)
				h.g.Expect(got.status).To(Equal(http.StatusOK))
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(got.body).To(Equal(eventsText(1, 30)))
				h.g.Expect(h.receivedBy()).To(HaveLen(1))
			})
		})
	}
}

// Guards against cutting off the streams of upstreams that are all silent at the same time (incident LOST).
func TestSilenceOfAllUpstreamsCutsNoStream(t *testing.T) {
	for _, attempts := range []int{2, 3, 5} {
		inVirtualTime(t, func(t *testing.T) {
			r := streaming
			r.MaxAttempts = attempts
			names := []string{"a", "b", "c", "d"}
			h := newHarness(t, r, true, names...)
			start := time.Now()
			silentUntil := func() time.Duration { return max(0, 400*time.Millisecond+testSilence-time.Since(start)) }
			h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
				last, _ := strconv.Atoi(req.header.Get("Last"))
				if last > 0 { // sent to an upstream that is silent
					return respondAfter(silentUntil(), sendEvents(60, testInterval, nil))(req)
				}
				return h.silentAfter(20, silentUntil(), 60)(req)
			}, names...)
			time.AfterFunc(400*time.Millisecond, func() {
				for _, name := range names {
					h.setSilent(name, true)
				}
			})
			time.AfterFunc(400*time.Millisecond+testSilence, func() {
				for _, name := range names {
					h.setSilent(name, false)
				}
			})
			got := h.request(t.Context(), nil)
			h.g.Expect(got.aborted).To(BeFalse(), "%d attempts", attempts)
			h.g.Expect(got.body).To(Equal(eventsText(1, 60)))
		})
	}
}

// Guards against cutting off streams of one silent upstream that all see the same room in the retry budget (incident LOST).
func TestStreamsOfSilentUpstreamDoNotOverdrawRetryBudget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const streams = 40
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.f.RetryBudgets = NewRetryBudgets(0)
		// All streams run at upstream a, which is silent for a while; the others work.
		h.setBehaviour(sendEvents(100, testInterval, nil), "b", "c")
		h.setBehaviour(h.silentAfter(20, testSilence, 100), "a")
		h.markAllLostBut("a")
		results := h.requestAtOnce(t.Context(), streams)
		for _, got := range results {
			h.g.Expect(got.aborted).To(BeFalse())
			h.g.Expect(got.body).To(Equal(eventsText(1, 100)))
		}
	})
}

// Guards against cutting off a stream that has left a silent upstream while the others refuse it (incident LOST).
func TestStreamThatLeftSilentUpstreamWaitsForRoom(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c", "d")
		var mu sync.Mutex // guards begun and full
		begun, full := false, true
		time.AfterFunc(6*time.Second, func() {
			mu.Lock()
			defer mu.Unlock()
			full = false
		})
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !begun:
				begun = true
				return h.silentAfter(20, 8*time.Second, 60)(req)
			case full:
				return refuseAsNotRun(req)
			}
			return sendEvents(60, testInterval, nil)(req)
		}, "a", "b", "c", "d")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.aborted).To(BeFalse())
		h.g.Expect(got.body).To(Equal(eventsText(1, 60)))
	})
}

// Guards against a stream that waits at a dead upstream although it can move again.
func TestStreamLeavesDeadUpstreamOnceItCanMove(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a")
		h.setBehaviour(sendEvents(20, testInterval, errHang), "a")
		h.setBehaviour(sendEvents(60, testInterval, nil), "b")
		time.AfterFunc(400*time.Millisecond, func() { h.setSilent("a", true) })
		time.AfterFunc(3*time.Second, func() {
			h.pool.Replace([]pool.Upstream{
				{ID: "a", Service: "service", Address: "a", FailureDomain: "domain-a", Slots: 8, StartedAt: 1},
				{ID: "b", Service: "service", Address: "b", FailureDomain: "domain-b", Slots: 8, StartedAt: 1},
			})
		})
		got := h.request(t.Context(), nil)
		h.g.Expect(got.body).To(Equal(eventsText(1, 60)))
		h.g.Expect(got.duration).To(BeNumerically("<", 5*time.Second))
	})
}

// Guards against a stream that must not be repeated and outlives its deadline at a dead upstream.
func TestStreamAtDeadUpstreamEndsAtDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := streaming
		r.Resumable = false
		h := newHarness(t, r, true, "a", "b")
		h.setBehaviour(sendEvents(10, testInterval, errHang), "a", "b")
		time.AfterFunc(300*time.Millisecond, func() { h.setSilent("a", true); h.setSilent("b", true) })
		got := h.request(t.Context(), map[string]string{"Deadline": "5000"})
		h.g.Expect(got.aborted).To(BeTrue())
		h.g.Expect(got.duration).To(Equal(5 * time.Second))
		h.g.Expect(h.receivedBy()).To(HaveLen(1))
	})
}

// Guards against probes without pause while a stream waits at a silent upstream.
func TestSilentUpstreamIsNotProbedWithoutPause(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := streaming
		r.Resumable = false
		h := newHarness(t, r, true, "a")
		h.setBehaviour(h.silentAfter(10, 4*time.Second, 20), "a")
		var done sync.WaitGroup
		for range 20 {
			done.Go(func() { h.request(t.Context(), nil) })
		}
		done.Wait()
		h.g.Expect(h.unansweredLoads).To(BeNumerically("<=", 20*12), "probes in 4 s of silence, by 20 streams")
	})
}

// Guards against a change of the configuration that ends a request in progress (incident LOST).
func TestConfigurationChangeDoesNotEndRequestsInProgress(t *testing.T) {
	shorter, idempotent := streaming, route.Route{Kind: route.Idempotent, MaxAttempts: 3, Timeout: 10 * time.Second}
	shorter.Timeout, shorter.GapTarget, shorter.MaxAttempts, shorter.Resumable = 100*time.Millisecond, time.Millisecond, 1, false
	for name, change := range map[string]route.Document{
		"shorter time-outs":      {Version: 2, Routes: []route.Route{shorter}, Services: []route.Service{{Name: "service", Engine: &route.Engine{Slots: 1}}}},
		"route and service gone": {Version: 2},
		"limits and keys": {Version: 2, Routes: []route.Route{streaming}, Limits: route.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond},
			Workspaces: map[string]route.Workspace{"key": {Name: "other"}}},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, streaming, true, "a", "b", "c")
				h.failFirst(40, 130, 30*time.Millisecond, errReset, "a", "b", "c")
				time.AfterFunc(500*time.Millisecond, func() { h.setTable(route.NewTable(change)) })
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(got.body).To(Equal(eventsText(1, 130)))
			})
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, idempotent, false, "a", "b", "c")
				h.setBehaviour(respondAfter(2*time.Second, respondWith(http.StatusOK, "answer")), "a", "b", "c")
				time.AfterFunc(500*time.Millisecond, func() { h.setTable(route.NewTable(change)) })
				got := h.request(t.Context(), nil)
				h.g.Expect(got.status).To(Equal(http.StatusOK))
				h.g.Expect(got.body).To(Equal("answer"))
			})
		})
	}
}

// Guards against a stream that waits at a connection whose upstream has been replaced behind its
// silence: the new process answers the probes.
func TestStreamLeavesUpstreamReplacedInItsSilence(t *testing.T) {
	notResumable := streaming
	notResumable.Resumable = false
	for name, test := range map[string]struct {
		route    route.Route
		complete bool
	}{"resumed elsewhere": {streaming, true}, "must not be repeated": {notResumable, false}} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, test.route, true, "a", "b")
				h.f.RetryBudgets = NewRetryBudgets(1)
				h.setBehaviour(h.silentAfter(20, time.Hour, 60), "a")
				h.setBehaviour(sendEvents(60, testInterval, nil), "b")
				h.markAllLostBut("a")
				h.mu.Lock()
				h.queued["b"] = 100 // so that the stream stays at first
				h.mu.Unlock()
				time.AfterFunc(20*testInterval+testSilence, func() {
					h.mu.Lock()
					defer h.mu.Unlock()
					h.startTimes["a"], h.ids["a"], h.queued["b"] = 2, "a-new", 0
					h.unresponsive["a"] = false
				})
				got := h.request(t.Context(), nil)
				t.Logf("ended after %v", got.duration)
				h.g.Expect(got.aborted).To(Equal(!test.complete))
				if test.complete {
					h.g.Expect(got.body).To(Equal(eventsText(1, 60)))
				}
				h.g.Expect(got.duration).To(BeNumerically("<", 60*testInterval+testSilence+700*time.Millisecond))
			})
		})
	}
}

// slowProber answers probes after a delay.
type slowProber struct {
	*harness
	delay time.Duration
}

func (p slowProber) Load(ctx context.Context, address string) (pool.LoadReport, error) {
	time.Sleep(p.delay)
	return p.harness.Load(ctx, address)
}

// Guards against ending a stream that is being written because the start time in the list is
// wrong, or its upstream is replaced while it finishes its streams.
func TestOtherStartTimeEndsNoStreamThatGoesOn(t *testing.T) {
	notResumable := streaming
	notResumable.Resumable = false
	inVirtualTime(t, func(t *testing.T) { // the reports are silent at placement, so the list decides
		h := newHarness(t, notResumable, true, "a")
		h.startTimes["a"] = 2 // the list has 1
		h.setSilent("a", true)
		time.AfterFunc(150*time.Millisecond, func() { h.setSilent("a", false) })
		h.setBehaviour(sendEvents(10, 500*time.Millisecond, nil), "a")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusOK))
		h.g.Expect(got.body).To(Equal(eventsText(1, 10)))
	})
	inVirtualTime(t, func(t *testing.T) { // an event arrives while the probe is on its way
		h := newHarness(t, notResumable, true, "a")
		h.startTimes["a"] = 1
		h.f.Prober = slowProber{h, 60 * time.Millisecond}
		time.AfterFunc(200*time.Millisecond, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.startTimes["a"] = 2
		})
		h.setBehaviour(sendEvents(20, 240*time.Millisecond, nil), "a")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.aborted).To(BeFalse())
		h.g.Expect(got.body).To(Equal(eventsText(1, 20)))
	})
}
