package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

var streaming = route.Route{
	Name: "streaming", Kind: route.Stream, Resumable: true, MaxAttempts: 5, Timeout: 25 * time.Second,
	LatencyGoal: 4500 * time.Millisecond, GapTarget: 700 * time.Millisecond,
}

// failFirst makes the first upstream that gets the stream end it early after some
// events, and all later ones complete it.
func (h *harness) failFirst(events, total int, interval time.Duration, end error, names ...string) {
	first := true
	h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
		if first {
			first = false
			return sendEvents(events, interval, end)(req)
		}
		return sendEvents(total, interval, nil)(req)
	}, names...)
}

// Guards against missing, repeated or concatenated events when an upstream crashes, and
// against prefilling the prompt again although another upstream holds a KV copy.
func TestStreamResumesFromKVCopy(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.failFirst(40, 130, 30*time.Millisecond, errReset, "a", "b", "c")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusOK))
		h.g.Expect(got.aborted).To(BeFalse())
		h.g.Expect(got.body).To(Equal(eventsText(1, 130)))
		first, second := h.receivedAt(0), h.receivedAt(1)
		h.g.Expect(second.upstream).To(Equal(first.header.Get("Backup")))
		h.g.Expect(second.header.Get("From")).To(Equal(second.upstream + "/request-1"))
		h.g.Expect(second.header.Get("Last")).To(Equal("40"))
		h.g.Expect(second.header.Get("Backup")).NotTo(Or(BeEmpty(), Equal(first.upstream)))
	})
}

// Guards against forwarding an event that the upstream did not send completely.
func TestTruncatedEventIsNotForwarded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b")
		first := true
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			if first {
				first = false
				return response(http.StatusOK, eventsText(1, 3)+"id: 4\ndata: ev"), nil
			}
			return sendEvents(6, time.Millisecond, nil)(req)
		}, "a", "b")
		h.g.Expect(h.request(t.Context(), nil).body).To(Equal(eventsText(1, 6)))
	})
}

// Guards against a stream that waits longer than its route's gap target for an upstream
// that has stopped responding.
func TestStreamMovesFromUnresponsiveUpstream(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c")
		var gaps []time.Duration
		last := time.Now()
		h.failFirst(40, 130, 30*time.Millisecond, errHang, "a", "b", "c")
		behave := h.behaviours["a"]
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			if len(h.receivedBy()) == 1 {
				time.AfterFunc(40*30*time.Millisecond, func() {
					h.mu.Lock()
					defer h.mu.Unlock()
					h.unresponsive[req.upstream] = true
					last = time.Now()
				})
			} else {
				gaps = append(gaps, time.Since(last))
			}
			return behave(req)
		}, "a", "b", "c")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.body).To(Equal(eventsText(1, 130)))
		h.g.Expect(gaps).To(HaveLen(1))
		// The next upstream needs up to 200 ms for its first event.
		h.g.Expect(gaps[0]).To(BeNumerically("<=", 500*time.Millisecond))
		h.g.Expect(h.receivedAt(0).ctx.Err()).To(HaveOccurred(), "the run at the unresponsive upstream was not cancelled")
	})
}

// Guards against moving a stream from a live upstream that prefills a long prompt, or
// delays events while it prefills other prompts.
func TestStreamStaysOnSlowUpstream(t *testing.T) {
	for name, behave := range map[string]behaviour{
		"long prompt": respondAfter(4*time.Second, sendEvents(30, 30*time.Millisecond, nil)),
		"slow events": sendEvents(30, 600*time.Millisecond, nil),
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, streaming, true, "a", "b")
				h.setBehaviour(behave, "a", "b")
				h.g.Expect(h.request(t.Context(), nil).body).To(Equal(eventsText(1, 30)))
				h.g.Expect(h.receivedBy()).To(HaveLen(1))
			})
		})
	}
}

// Guards against a stream that hangs on a dead connection while its upstream is alive.
func TestStreamMovesFromDeadConnection(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b")
		h.failFirst(10, 30, 30*time.Millisecond, errHang, "a", "b")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.body).To(Equal(eventsText(1, 30)))
		h.g.Expect(got.duration).To(BeNumerically("<", 3*time.Second))
	})
}

// Guards against prefilling a prompt again because the holder of the only KV copy was
// lost before the upstream of the run.
func TestLostKVCopyIsReplaced(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.failFirst(60, 130, 30*time.Millisecond, errReset, "a", "b", "c")
		time.AfterFunc(time.Second, func() {
			holder := h.receivedAt(0).header.Get("Backup")
			for _, m := range h.pool.Members("service") {
				if m.ID == holder {
					m.MarkLost(time.Now())
				}
			}
		})
		h.g.Expect(h.request(t.Context(), nil).body).To(Equal(eventsText(1, 130)))
		first, second := h.receivedAt(0), h.receivedAt(1)
		h.g.Expect(h.copiesMade).NotTo(BeEmpty())
		h.g.Expect(h.copiesMade[0]).To(HavePrefix(first.upstream + " request-1 "))
		h.g.Expect(h.copiesMade[0]).To(HaveSuffix(" " + second.upstream))
		h.g.Expect(second.upstream).NotTo(Equal(first.header.Get("Backup")))
		h.g.Expect(second.header.Get("From")).To(HavePrefix(first.upstream + "/copy-"))
	})
}

// Guards against KV copies that are not released after the end of their run.
func TestKVCopyIsReleased(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.setBehaviour(sendEvents(130, 30*time.Millisecond, nil), "a", "b", "c")
		time.AfterFunc(time.Second, func() {
			for _, m := range h.pool.Members("service") {
				if m.ID == h.receivedAt(0).header.Get("Backup") {
					m.MarkLost(time.Now())
				}
			}
		})
		h.request(t.Context(), nil)
		synctest.Wait()
		h.g.Expect(h.copiesMade).NotTo(BeEmpty())
		h.g.Expect(h.copiesDropped).To(HaveLen(1))
	})
}

// Guards against a stream that fails because restarted upstreams respond under new IDs,
// and against identifying them repeatedly.
func TestRestartedUpstreamsAreIdentified(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c", "d")
		for _, name := range []string{"a", "b", "c", "d"} {
			h.startTimes[name] = 2 // the list has 1
			h.ids[name] = name + "-new"
		}
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			if req.header.Get("Upstream") != req.upstream+"-new" {
				return response(http.StatusMisdirectedRequest, ""), nil
			}
			return sendEvents(10, 30*time.Millisecond, nil)(req)
		}, "a", "b", "c", "d")
		h.request(t.Context(), nil)
		synctest.Wait()
		visits := len(h.receivedBy())
		got := h.request(t.Context(), nil)
		h.g.Expect(got.body).To(Equal(eventsText(1, 10)))
		h.g.Expect(h.receivedBy()).To(HaveLen(visits + 1))
	})
}

// Guards against attributing a restarted upstream to the service by its address alone
// when another service has engines too.
func TestOtherEnginesAreNotIdentified(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a")
		matched, _ := h.table.Match("host", "/")
		engine := &route.Engine{HoldsKVCopies: true, KVCopyTTL: time.Second}
		h.table = route.NewTable(route.Document{Version: 2, Routes: []route.Route{*matched}, Services: []route.Service{
			{Name: "service", Engine: engine}, {Name: "other", Engine: engine},
		}})
		h.startTimes["a"], h.ids["a"] = 2, "a-new"
		h.setBehaviour(sendEvents(10, time.Millisecond, nil), "a")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		synctest.Wait()
		h.g.Expect(h.request(t.Context(), nil).status).To(Equal(http.StatusServiceUnavailable))
		h.g.Expect(h.receivedBy()).To(BeEmpty())
	})
}

// Guards against forwarding a stream in which an event is missing.
func TestMissingEventMovesTheStream(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b")
		first := true
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			if first {
				first = false
				return response(http.StatusOK, eventsText(1, 3)+eventsText(5, 6)), nil
			}
			return sendEvents(6, time.Millisecond, nil)(req)
		}, "a", "b")
		h.g.Expect(h.request(t.Context(), nil).body).To(Equal(eventsText(1, 6)))
	})
}

// Guards against a truncated response that looks complete, and against a second run of
// a stream that must not be resumed.
func TestNonResumableStreamIsAborted(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := streaming
		r.Resumable = false
		h := newHarness(t, r, true, "a", "b")
		h.failFirst(10, 20, time.Millisecond, errReset, "a", "b")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.aborted).To(BeTrue())
		h.g.Expect(got.body).To(Equal(eventsText(1, 10)))
		h.g.Expect(h.receivedBy()).To(HaveLen(1))
	})
}

// Guards against a run that continues at its upstream after the caller has
// disconnected.
func TestStreamIsCancelledOnCallerDisconnect(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b")
		h.setBehaviour(sendEvents(130, 30*time.Millisecond, nil), "a", "b")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		h.g.Expect(h.request(ctx, nil).aborted).To(BeTrue())
		synctest.Wait()
		h.g.Expect(h.receivedBy()).To(HaveLen(1))
		h.g.Expect(h.receivedAt(0).ctx.Err()).To(HaveOccurred())
		for _, m := range h.pool.Members("service") {
			h.g.Expect(h.pool.Serves(m, pool.Identity{ID: m.ID}, time.Now())).To(BeTrue())
		}
	})
}

// Guards against a stream that lasts longer than the timeout of its route.
func TestStreamEndsAtTimeout(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b")
		h.setBehaviour(sendEvents(10_000, 30*time.Millisecond, nil), "a", "b")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.aborted).To(BeTrue())
		h.g.Expect(got.duration).To(Equal(streaming.Timeout))
	})
}

// Guards against prefilling a prompt again that an upstream still has in its cache,
// after the loss of the instance that served the stream before.
func TestResumedStreamGoesToCachedPrompt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c", "d", "e", "f")
		h.setBehaviour(sendEvents(130, time.Millisecond, nil), "a", "b", "c", "d", "e", "f")
		h.cachedTokens["d"] = 8000
		got := h.request(t.Context(), map[string]string{"Last": "60", "Prompt": "part"})
		h.g.Expect(got.body).To(Equal(eventsText(61, 130)))
		h.g.Expect(h.receivedBy()).To(Equal([]string{"d"}))
	})
}

// Guards against searching all upstreams, or none, when there are many: the previous
// instance placed the prompt among the upstreams that this one queries first.
func TestPromptIsFoundAmongManyUpstreams(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		var names []string
		for n := range 2 * maxSearchedUpstreams {
			names = append(names, fmt.Sprint("u", n))
		}
		h := newHarness(t, streaming, true, names...)
		h.setBehaviour(sendEvents(130, time.Millisecond, nil), names...)
		header := map[string]string{"Prompt": "part"}
		h.g.Expect(h.request(t.Context(), header).status).To(Equal(http.StatusOK))
		placed := h.receivedBy()[0]
		h.cachedTokens[placed] = 8000
		header["Last"] = "60"
		got := h.request(t.Context(), header)
		h.g.Expect(got.body).To(Equal(eventsText(61, 130)))
		h.g.Expect(h.receivedBy()).To(Equal([]string{placed, placed}))
		h.g.Expect(h.cacheLookups).To(Equal(likelySearchCount))
	})
}

// Guards against streams of one session that queue at the highest ranked upstreams
// while others are free.
func TestBusySessionIsSpread(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		var names []string
		for n := range 400 { // so many that a random sample is unlikely to contain one of the highest
			names = append(names, fmt.Sprint("u", n))
		}
		h := newHarness(t, streaming, true, names...)
		h.setBehaviour(sendEvents(130, time.Millisecond, nil), names...)
		highest := pool.RankByKey(h.pool.Members("service"), "part")[:likelySearchCount]
		for _, m := range highest {
			h.queued[m.Address] = 1
		}
		h.request(t.Context(), map[string]string{"Prompt": "part"})
		for _, m := range highest {
			h.g.Expect(h.receivedBy()).NotTo(ContainElement(m.ID))
		}
	})
}

// Guards against accepting a new stream at an instance that ends before the stream.
func TestLeavingInstanceRefusesStreams(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a")
		h.setBehaviour(sendEvents(10, time.Millisecond, nil), "a")
		h.seeStreams(10 * time.Millisecond)
		h.f.Drain.Start(time.Now().Add(8 * time.Second))
		h.g.Expect(h.request(t.Context(), nil).status).To(Equal(http.StatusOK))
		time.Sleep(3 * time.Second)
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		h.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		h.g.Expect(h.receivedBy()).To(HaveLen(1))
	})
}

// Guards against accepting a stream at a leaving instance that cuts it off because
// recent streams last longer than the default estimate: on slow engines a stream took
// longer than the grace time.
func TestLeavingInstanceRefusesStreamsThatLastTooLong(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a")
		h.setBehaviour(sendEvents(130, 60*time.Millisecond, nil), "a")
		h.g.Expect(h.request(t.Context(), nil).status).To(Equal(http.StatusOK))
		h.f.Drain.Start(time.Now().Add(7 * time.Second))
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		h.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		h.g.Expect(h.receivedBy()).To(HaveLen(1))

		for range recentStreams {
			h.f.Drain.ObserveStream(time.Second) // the engines are fast again
		}
		h.g.Expect(h.request(t.Context(), nil).status).To(Equal(http.StatusOK))
	})
}

// Guards against a failed request whose log lacks the decisions and their inputs.
func TestStreamDecisionsAreLogged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.failFirst(40, 130, 30*time.Millisecond, errReset, "a", "b", "c")
		h.request(t.Context(), nil)
		var lines []string
		for _, line := range strings.Split(h.log.String(), "\n") {
			if strings.Contains(line, "request=request-1") {
				lines = append(lines, line)
			}
		}
		h.g.Expect(lines).To(ContainElements(
			ContainSubstring("upstream chosen by its report"),
			And(ContainSubstring("stream sent"), ContainSubstring("result=failed"), ContainSubstring("last_event=40")),
			And(ContainSubstring("stream sent"), ContainSubstring("from_copy=true")),
			And(ContainSubstring("stream ended"), ContainSubstring("events=130"), ContainSubstring("longest_pause_ms")),
		))
	})
}

// Guards against relying on a KV copy whose holder has restarted. While the store is
// unreachable, only the holder itself reports the restart.
func TestBackupHolderRestartIsDetected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c", "d")
		h.failFirst(150, 200, 30*time.Millisecond, errReset, "a", "b", "c", "d")
		time.AfterFunc(time.Second, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			holder := h.received[0].header.Get("Backup")
			h.startTimes[holder], h.ids[holder] = 2, holder+"-new"
		})
		h.g.Expect(h.request(t.Context(), nil).body).To(Equal(eventsText(1, 200)))
		h.g.Expect(h.copiesMade).NotTo(BeEmpty())
		h.g.Expect(h.receivedBy()).To(HaveLen(2))
		h.g.Expect(h.receivedAt(1).header.Get("From")).To(HavePrefix(h.receivedAt(0).upstream + "/copy-"))
	})
}

// Guards against aborting a stream because no other upstream exists at the moment,
// although its own is up again after a second.
func TestStreamWaitsForItsOnlyUpstream(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a")
		h.setBehaviour(sendEvents(10, 30*time.Millisecond, errReset), "a")
		time.AfterFunc(200*time.Millisecond, func() { h.setBehaviour(nil, "a") })
		time.AfterFunc(1400*time.Millisecond, func() { h.setBehaviour(sendEvents(30, 30*time.Millisecond, nil), "a") })
		got := h.request(t.Context(), nil)
		h.g.Expect(got.aborted).To(BeFalse())
		h.g.Expect(got.body).To(Equal(eventsText(1, 30)))
	})
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a")
		h.setBehaviour(sendEvents(10, 30*time.Millisecond, errReset), "a")
		time.AfterFunc(200*time.Millisecond, func() { h.setBehaviour(nil, "a") })
		got := h.request(t.Context(), nil)
		h.g.Expect(got.aborted).To(BeTrue())
		h.g.Expect(got.duration).To(BeNumerically("<", resumeTimeout+time.Second))
	})
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		h.g.Expect(got.duration).To(BeZero(), "a request that no upstream has run is refused at once")
	})
}

// Guards against a response without the upstream's head and signature when a resumed
// stream has no event left.
func TestStreamWithoutFurtherEvents(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a")
		h.setBehaviour(sendEvents(10, time.Millisecond, nil), "a")
		got := h.request(t.Context(), map[string]string{"Last": "10"})
		h.g.Expect(got.status).To(Equal(http.StatusOK))
		h.g.Expect(got.header.Get("Signature")).To(Equal("signed"))
		h.g.Expect(got.body).To(BeEmpty())
	})
}

// failingWriter is a caller connection on which each write fails.
type failingWriter struct {
	*httptest.ResponseRecorder
}

func (failingWriter) Write([]byte) (int, error) { return 0, errReset }

// Guards against retrying a stream and blaming upstreams because writes to the caller
// fail.
func TestCallerWriteFailure(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b")
		h.setBehaviour(sendEvents(10, time.Millisecond, nil), "a", "b")
		r := httptest.NewRequest(http.MethodPost, "http://host/x", nil)
		r.Header.Set("Id", "request-1")
		h.g.Expect(func() { h.f.ServeHTTP(failingWriter{httptest.NewRecorder()}, r) }).To(PanicWith(http.ErrAbortHandler))
		synctest.Wait()
		h.g.Expect(h.receivedBy()).To(HaveLen(1))
		h.g.Expect(h.f.Quarantine.Crashes(poison.NewContent("", http.MethodPost, "http://host/x", nil))).To(BeEmpty())
	})
}

// Guards against relying on a KV copy whose holder is leaving and refuses to resume
// from it. While the store is unreachable, only the holder itself reports that it is
// leaving.
func TestLeavingBackupHolderIsReplaced(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c", "d")
		h.failFirst(150, 200, 30*time.Millisecond, errReset, "a", "b", "c", "d")
		time.AfterFunc(time.Second, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.leaving[h.received[0].header.Get("Backup")] = true
		})
		h.g.Expect(h.request(t.Context(), nil).body).To(Equal(eventsText(1, 200)))
		h.g.Expect(h.receivedBy()).To(HaveLen(2))
		h.g.Expect(h.receivedAt(1).upstream).NotTo(Equal(h.receivedAt(0).header.Get("Backup")))
		h.g.Expect(h.receivedAt(1).header.Get("From")).To(HavePrefix(h.receivedAt(0).upstream + "/copy-"))
	})
}
