package forward

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/poison"
)

// firstThen returns the behaviour of the first request and that of all others.
func firstThen(first, others behaviour) behaviour {
	var once sync.Once
	return func(req receivedRequest) (*http.Response, error) {
		behave := others
		once.Do(func() { behave = first })
		return behave(req)
	}
}

// Guards against leaving a silent upstream for one that does not answer either.
func TestStreamLeavesSilentUpstreamOnlyForOneThatAnswers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c")
		silentAll := func(req receivedRequest) (*http.Response, error) {
			time.AfterFunc(300*time.Millisecond, func() {
				for _, name := range []string{"a", "b", "c"} {
					h.setSilent(name, true)
				}
			})
			return h.silentAfter(20, testSilence, 60)(req)
		}
		h.setBehaviour(firstThen(silentAll, sendEvents(60, testInterval, nil)), "a", "b", "c")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.body).To(Equal(eventsText(1, 60)))
		h.g.Expect(h.receivedBy()).To(HaveLen(1))
	})
}

// Guards against an upstream that stays suspected after its silence.
func TestUpstreamIsAliveAgainAfterSilence(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := streaming
		r.Resumable = false
		h := newHarness(t, r, true, "a")
		start := time.Now()
		h.setBehaviour(h.silentAfter(20, testSilence, 60), "a")
		h.request(t.Context(), nil)
		h.g.Expect(h.pool.Members("service")[0].AliveSince(start.Add(testSilence))).To(BeTrue())
	})
}

// Guards against cutting off streams that stall at a live upstream and all see the same room in the retry budget.
func TestStalledStreamsDoNotOverdrawRetryBudget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const streams = 40
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.f.RetryBudgets = NewRetryBudgets(0)
		stall := func(req receivedRequest) (*http.Response, error) {
			behave := h.silentAfter(20, testSilence, 100)
			response, err := behave(req)
			for _, name := range []string{"a", "b", "c"} { // it goes on answering
				for i := range 100 {
					time.AfterFunc(time.Duration(i)*testInterval, func() { h.setSilent(name, false) })
				}
			}
			return response, err
		}
		h.setBehaviour(stall, "a")
		h.setBehaviour(sendEvents(100, testInterval, nil), "b", "c")
		h.markAllLostBut("a")
		results := h.requestAtOnce(t.Context(), streams)
		for _, got := range results {
			h.g.Expect(got.aborted).To(BeFalse())
		}
	})
}

// Guards against refusing a request as one that crashes upstreams because upstreams were silent before its first event.
func TestSilenceIsNoEvidenceOfACrash(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := streaming
		r.MaxAttempts = 6
		names := []string{"a", "b", "c", "d", "e", "f"}
		h := newHarness(t, r, true, names...)
		var requests atomic.Int64
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			if requests.Add(1) <= 3 {
				return h.silentAfter(0, testSilence, 60)(req)
			}
			return sendEvents(60, testInterval, nil)(req)
		}, names...)
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusOK))
		h.g.Expect(got.body).To(Equal(eventsText(1, 60)))
		h.g.Expect(h.sharedCrashes).To(BeEmpty())
	})
}

// claimedTrials lets each refused request be the trial of its verdict.
type claimedTrials struct{ unsharedParts }

func (claimedTrials) ClaimTrial(poison.Verdict) bool { return true }

// Guards against a trial of a verdict that is cut off because its upstream is silent: it has no second attempt.
func TestSilentUpstreamDoesNotCutTrial(t *testing.T) {
	for _, event := range []int{0, 10} {
		inVirtualTime(t, func(t *testing.T) {
			h := newHarness(t, streaming, true, "a", "b", "c")
			h.f.PartExchange = claimedTrials{}
			h.f.Poison.Adopt(time.Now(), verdictOn("bad"))
			h.setBehaviour(h.silentAfter(event, testSilence, 30), "a", "b", "c")
			got := h.request(t.Context(), parts("bad,own"))
			h.g.Expect(got.status).To(Equal(http.StatusOK))
			h.g.Expect(got.aborted).To(BeFalse())
			h.g.Expect(got.body).To(Equal(eventsText(1, 30)))
		})
	}
}

// Guards against streams that leave a silent upstream for full ones and use up the retry budget there.
func TestStreamsStayAtSilentUpstreamWhileOthersAreFull(t *testing.T) {
	for _, streams := range []int{4, 10, 16} {
		for _, fullFor := range []time.Duration{1300 * time.Millisecond, 2700 * time.Millisecond} {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, streaming, true, "a", "b", "c", "d")
				h.f.RetryBudgets = NewRetryBudgets(0.1)
				start := time.Now()
				h.setBehaviour(h.silentAfter(20, testSilence, 100), "a")
				h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
					if time.Since(start) < fullFor {
						return refuseAsNotRun(req)
					}
					return sendEvents(100, testInterval, nil)(req)
				}, "b", "c", "d")
				h.markAllLostBut("a")
				results := h.requestAtOnce(t.Context(), streams)
				aborted := 0
				for _, got := range results {
					if got.aborted {
						aborted++
					}
				}
				if aborted > 0 {
					t.Errorf("%d of %d streams aborted, others full for %v", aborted, streams, fullFor)
				}
			})
		}
	}
}

// Guards against a stream that waits on a dead connection because its service has no load reports, or none is answered.
func TestStreamLeavesDeadConnectionWithoutReports(t *testing.T) {
	for name, engine := range map[string]bool{"plain service": false, "engines that do not report": true} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, streaming, engine, "a", "b")
				h.setSilent("a", true)
				h.setSilent("b", true)
				h.setBehaviour(firstThen(sendEvents(20, testInterval, errHang), sendEvents(60, testInterval, nil)), "a", "b")
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(got.body).To(Equal(eventsText(1, 60)))
				h.g.Expect(got.duration).To(BeNumerically("<", 6*time.Second))
			})
		})
	}
}

// blockingWriter blocks one write, as a caller that does not read does.
type blockingWriter struct {
	*httptest.ResponseRecorder
	writes int
	block  time.Duration
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	if w.writes++; w.writes == 10 {
		time.Sleep(w.block)
	}
	return w.ResponseRecorder.Write(p)
}

// Guards against leaving a sound upstream because the instance or the caller paused while events waited.
func TestPauseOfTheCallerIsNoStall(t *testing.T) {
	for i := range 20 {
		inVirtualTime(t, func(t *testing.T) {
			h := newHarness(t, streaming, true, "a", "b", "c")
			h.setBehaviour(sendEvents(60, testInterval, nil), "a", "b", "c")
			r := httptest.NewRequest(http.MethodPost, "http://host/path/", strings.NewReader("body"))
			r.Header.Set("Id", "request-1")
			w := &blockingWriter{ResponseRecorder: httptest.NewRecorder(), block: 2 * time.Second}
			h.f.ServeHTTP(w, r)
			h.g.Expect(w.Body.String()).To(Equal(eventsText(1, 60)))
			h.g.Expect(h.receivedBy()).To(HaveLen(1), "run "+strconv.Itoa(i))
		})
	}
}

// Guards against streams that wait for each other at a dead upstream longer than three seconds.
func TestStreamsOfDeadUpstreamAllMove(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const streams = engineBurst
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.setBehaviour(h.silentAfter(20, time.Hour, 100), "a")
		h.setBehaviour(sendEvents(100, testInterval, nil), "b", "c")
		h.markAllLostBut("a")
		results := h.requestAtOnce(t.Context(), streams)
		for _, got := range results {
			h.g.Expect(got.body).To(Equal(eventsText(1, 100)))
			h.g.Expect(got.duration).To(BeNumerically("<", 100*testInterval+3*time.Second))
		}
	})
}

// Guards against streams of a dead upstream that pause longer than their gap target because they wait for each other.
func TestStreamsOfDeadUpstreamMoveWithinGapTarget(t *testing.T) {
	for _, streams := range []int{maxMovingStreams + 1, engineBurst} {
		inVirtualTime(t, func(t *testing.T) {
			h := newHarness(t, streaming, true, "a", "b", "c")
			h.setBehaviour(h.silentAfter(20, time.Hour, 100), "a")
			h.setBehaviour(sendEvents(100, testInterval, nil), "b", "c")
			h.markAllLostBut("a")
			for _, got := range h.requestAtOnce(t.Context(), streams) {
				h.g.Expect(got.body).To(Equal(eventsText(1, 100)))
				h.g.Expect(got.duration).To(BeNumerically("<", 100*testInterval+streaming.GapTarget), "%d streams", streams)
			}
		})
	}
}

// Guards against streams of a dead connection that wait for each other for a whole stall timeout.
func TestStalledStreamsMoveOneAfterAnother(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.setBehaviour(sendEvents(20, testInterval, errHang), "a")
		h.setBehaviour(sendEvents(100, testInterval, nil), "b", "c")
		h.markAllLostBut("a")
		stall := time.Duration(stallFactor * float64(streaming.GapTarget))
		for _, got := range h.requestAtOnce(t.Context(), engineBurst) {
			h.g.Expect(got.body).To(Equal(eventsText(1, 100)))
			h.g.Expect(got.duration).To(BeNumerically("<", 100*testInterval+stall+streaming.GapTarget))
		}
	})
}

// Guards against a stream that leaves an upstream which has gone on while the stream waited for its turn to move.
func TestStreamThatWaitsForItsTurnStaysAtUpstreamThatGoesOn(t *testing.T) {
	const events = 60
	for name, behave := range map[string]func(h *harness) behaviour{
		"sends events": func(h *harness) behaviour { return h.silentAfter(20, 1200*time.Millisecond, events) },
		"answers probes": func(h *harness) behaviour {
			time.AfterFunc(100*time.Millisecond, func() { h.setSilent("a", true) })
			time.AfterFunc(1300*time.Millisecond, func() { h.setSilent("a", false) })
			return respondAfter(5*time.Second, sendEvents(events, testInterval, nil))
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, streaming, true, "a", "b")
				h.setBehaviour(behave(h), "a")
				h.setBehaviour(sendEvents(events, testInterval, nil), "b")
				h.markAllLostBut("a")
				for range maxMovingStreams {
					h.f.movingStreams <- struct{}{}
				}
				time.AfterFunc(2*time.Second, func() { <-h.f.movingStreams })
				got := h.request(t.Context(), nil)
				h.g.Expect(got.body).To(Equal(eventsText(1, events)))
				h.g.Expect(h.log.String()).To(ContainSubstring("obstacle=moves"))
				h.g.Expect(h.receivedBy()).To(Equal([]string{"a"}))
				h.g.Expect(h.f.movingStreams).To(HaveLen(maxMovingStreams - 1))
			})
		})
	}
}
