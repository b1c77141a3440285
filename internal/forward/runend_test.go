package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
)

// testContent is the content of the requests that harness.request sends.
var testContent = poison.NewContent("", http.MethodPost, "http://host/path/%2f?query=1", []byte("body"))

// fallSilent makes upstreams stop without a word after a time of work, as a machine that is gone.
func (h *harness) fallSilent(work time.Duration, names ...string) {
	h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
		if !pause(req.ctx, work) {
			return nil, req.ctx.Err()
		}
		h.setResponsive(false, req.upstream)
		<-req.ctx.Done()
		return nil, req.ctx.Err()
	}, names...)
}

func (h *harness) setResponsive(responsive bool, names ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		h.unresponsive[name] = !responsive
	}
}

func (h *harness) arrivals() int { return len(h.receivedBy()) }

// Guards against a call that crashes upstreams after its caller has left, which was no evidence.
func TestCrashCountsAfterTheCallerHasLeft(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		names := []string{"a", "b", "c", "d", "e", "f"}
		h := newHarness(t, atMostOnce, false, names...)
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			pause(req.ctx, 120*time.Millisecond)
			h.setResponsive(false, req.upstream)
			return nil, errReset
		}, names...)
		for range 6 {
			ctx, cancel := context.WithTimeout(t.Context(), 75*time.Millisecond)
			h.request(ctx, nil)
			cancel()
			time.Sleep(2 * time.Second)
		}
		synctest.Wait()
		h.g.Expect(h.arrivals()).To(Equal(poison.CrashLimit))
		h.g.Expect(h.sharedCrashes).To(HaveLen(poison.CrashLimit))
	})
}

// Guards against processes that start again under their IDs and count as one.
func TestProcessesUnderOneIDCountEach(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, atMostOnce, false)
		h.crashOnRequest("a")
		for process := range 6 {
			h.setResponsive(true, "a")
			h.pool.Replace([]pool.Upstream{{ID: "a", Service: "service", Address: "a", FailureDomain: "domain-a", Slots: 8, StartedAt: int64(process + 1)}})
			h.request(t.Context(), nil)
			time.Sleep(2 * time.Second)
		}
		h.g.Expect(h.arrivals()).To(Equal(poison.CrashLimit))
	})
}

// Guards against requests that take upstreams which fall silent instead of crashing, again and
// again, and for plain services too.
func TestSilenceUnderARequestCounts(t *testing.T) {
	for name, engine := range map[string]bool{"engines": true, "plain upstreams": false} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				kind, names := streaming, []string(nil)
				if !engine {
					kind = atMostOnce
					kind.Timeout = 1200 * time.Millisecond
				}
				for n := range 18 {
					names = append(names, fmt.Sprint("s", n))
				}
				h := newHarness(t, kind, engine, names...)
				h.fallSilent(100*time.Millisecond, names...)
				var thirdLossAt time.Time
				late := 0
				for range 15 {
					before := h.arrivals()
					ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
					go func() {
						defer cancel()
						h.request(ctx, nil)
					}()
					time.Sleep(2 * time.Second)
					if !thirdLossAt.IsZero() && time.Since(thirdLossAt) > poison.SilenceLimit+2*time.Second && h.arrivals() > before {
						late++
					}
					if h.arrivals() >= poison.CrashLimit && thirdLossAt.IsZero() {
						thirdLossAt = time.Now()
					}
				}
				h.g.Expect(late).To(BeNumerically("<=", 3), "the limit of the users' rule")
				h.g.Expect(h.f.Quarantine.Contains(time.Now(), testContent)).To(BeTrue())
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Guards against convicting a sound request by upstreams that are silent for a moment, alone or with
// their whole failure domain.
func TestSilentMomentsConvictNoRequest(t *testing.T) {
	const silence = 1500 * time.Millisecond
	inVirtualTime(t, func(t *testing.T) { // single upstreams
		names := []string{"a", "b", "c", "d", "e", "f"}
		h := newHarness(t, streaming, true, names...)
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			h.setResponsive(false, req.upstream)
			time.AfterFunc(silence, func() { h.setResponsive(true, req.upstream) })
			<-req.ctx.Done()
			return nil, req.ctx.Err()
		}, names...)
		for range 4 {
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			h.request(ctx, nil)
			cancel()
			time.Sleep(2 * time.Second)
		}
		h.g.Expect(h.f.Quarantine.Crashes(testContent)).To(BeEmpty())
	})
	inVirtualTime(t, func(t *testing.T) { // failure domains, one after the other, that come back late
		h := newHarness(t, streaming, true)
		var list []pool.Upstream
		var names []string
		for n := range 18 {
			name := fmt.Sprint("s", n)
			names = append(names, name)
			list = append(list, pool.Upstream{ID: name, Service: "service", Address: name, FailureDomain: fmt.Sprint("domain-", n%3), Slots: 8, StartedAt: 1})
		}
		h.pool.Replace(list)
		domainOf := func(name string) string { return list[indexOf(names, name)].FailureDomain }
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			for _, name := range names {
				if domainOf(name) == domainOf(req.upstream) {
					h.setResponsive(false, name)
					time.AfterFunc(4500*time.Millisecond, func() { h.setResponsive(true, name) })
				}
			}
			<-req.ctx.Done()
			return nil, req.ctx.Err()
		}, names...)
		for range 4 {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			h.request(ctx, nil)
			cancel()
			time.Sleep(5 * time.Second)
		}
		h.g.Expect(h.f.Quarantine.Crashes(testContent)).To(BeEmpty())
	})
}

func indexOf(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

// Guards against evidence that stays although the silent process turns out to be alive.
func TestEvidenceOfALivingProcessIsWithdrawn(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, atMostOnce, false, "a")
		h.fallSilent(50*time.Millisecond, "a")
		h.request(t.Context(), map[string]string{"Deadline": "1000"})
		time.Sleep(poison.SilenceLimit)
		h.g.Expect(h.f.Quarantine.Crashes(testContent)).To(HaveLen(1))
		h.pool.Members("service")[0].MarkAlive(time.Now())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		h.g.Expect(h.f.Quarantine.Crashes(testContent)).To(BeEmpty())
		h.g.Expect(h.withdrawnCrashes).To(HaveLen(1))
	})
}

// Guards against a sound prompt that is refused because it ran on processes which another request
// or a part of other prompts has crashed.
func TestCrashesOfAnotherRequestDoNotCount(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	ledger := poison.NewLedger()
	q := poison.NewQuarantine(ledger)
	for n := range 5 {
		q.Add(now, poison.RequestCrash{Content: "poison", Process: fmt.Sprint(n)})
	}
	for n := range 3 {
		q.Add(now, poison.RequestCrash{Content: "beside it", Process: fmt.Sprint(n)})
	}
	g.Expect(q.Contains(now, "poison")).To(BeTrue())
	g.Expect(q.Contains(now, "beside it")).To(BeFalse())

	bad := poison.NewPrompt([]string{"bad", "own"})
	for n := range 6 {
		at := now.Add(time.Duration(n) * 5 * time.Second)
		process := fmt.Sprint("p", n)
		if n < 3 {
			q.Add(at, poison.RequestCrash{Content: "other prompt", Process: process})
		}
		ledger.AddCrash(at, poison.Crash{UpstreamID: process, FailureDomain: fmt.Sprint("d", n%3), Prompts: []poison.Prompt{bad}, At: at})
	}
	later := now.Add(30 * time.Second)
	g.Expect(ledger.Verdicts()).NotTo(BeEmpty())
	g.Expect(q.Contains(later, "other prompt")).To(BeFalse())
}

// Guards against an upstream that makes no progress and keeps its stream by blank lines, comments or
// old events.
func TestItemsWithoutProgressAreNoSignOfLife(t *testing.T) {
	for name, filler := range map[string]string{"blank lines": "\n", "comments": ": wait\n\n", "old events": "id: 1\ndata: 1\n\n"} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, streaming, true, "a", "b")
				stalled := ""
				answer := sendEvents(20, 30*time.Millisecond, nil)
				h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
					h.mu.Lock()
					if stalled == "" {
						stalled = req.upstream
					}
					h.mu.Unlock()
					if req.upstream != stalled {
						return answer(req)
					}
					reader, writer := io.Pipe()
					go func() {
						_, _ = io.WriteString(writer, eventText(1))
						for pause(req.ctx, time.Millisecond) {
							_, _ = io.WriteString(writer, filler)
						}
						_ = writer.CloseWithError(req.ctx.Err())
					}()
					r := response(http.StatusOK, "")
					r.Body = reader
					return r, nil
				}, "a", "b")
				got := h.request(t.Context(), nil)
				synctest.Wait()
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(h.receivedBy()).To(HaveLen(2))
			})
		})
	}
}
