package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/route"
)

var (
	atMostOnce = route.Route{Name: "once", Kind: route.AtMostOnce, MaxAttempts: 1, Timeout: time.Second}
	idempotent = route.Route{Name: "idempotent", Kind: route.Idempotent, MaxAttempts: 2, Timeout: time.Second}
)

// Guards against refusing a request, which promises that it has not run, after a
// connection was established: a reset looks like a failed dial.
func TestResetIsNoRefusal(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, atMostOnce, false, "a", "b")
		w.setBehavior(resetConnection, "a", "b")
		got := w.request(t.Context(), nil)
		w.g.Expect(got.status).To(Equal(http.StatusBadGateway))
		w.g.Expect(w.receivedBy()).To(HaveLen(1))
	})
}

// Guards against losing a request that no upstream has run.
func TestUnsentRequestGoesToAnotherUpstream(t *testing.T) {
	for name, first := range map[string]behavior{"refused connection": nil, "not run": notRun, "misplaced": respondWith(http.StatusMisdirectedRequest, "")} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newHarness(t, atMostOnce, false, "a", "b")
				w.setBehavior(func(v receivedRequest) (*http.Response, error) {
					if first != nil && len(w.receivedBy()) == 1 {
						return first(v)
					}
					return response(http.StatusOK, "answer"), nil
				}, "a", "b")
				if first == nil {
					w.setBehavior(nil, "a")
				}
				got := w.request(t.Context(), nil)
				w.g.Expect(got.status).To(Equal(http.StatusOK))
				w.g.Expect(got.body).To(Equal("answer"))
			})
		})
	}
}

// Guards against delaying a request that no upstream can take, and against a refusal
// without Retry-After.
func TestUnservableRequestIsRefusedImmediately(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, atMostOnce, false, "a", "b", "c")
		w.setBehavior(notRun, "a", "b", "c")
		got := w.request(t.Context(), nil)
		w.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		w.g.Expect(got.duration).To(BeZero())
	})
}

// Guards against forwarding an upstream status that implies to the caller that its
// request has not run, when the upstream does not state that.
func TestUnconfirmedRefusalIsNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout} {
		inVirtualTime(t, func(t *testing.T) {
			w := newHarness(t, atMostOnce, false, "a")
			w.setBehavior(respondWith(status, ""), "a")
			w.g.Expect(w.request(t.Context(), nil).status).To(Equal(http.StatusBadGateway))
		})
	}
}

// Guards against a second run of a request that must not be repeated, whatever the
// first upstream did after it received the request.
func TestAtMostOnceIsSentOnce(t *testing.T) {
	cut := func(receivedRequest) (*http.Response, error) {
		r := response(http.StatusOK, "")
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), errorReader{errReset}))
		return r, nil
	}
	foreign := func(receivedRequest) (*http.Response, error) {
		r := response(http.StatusOK, "answer to another request")
		r.Header.Set("Id", "request-2")
		return r, nil
	}
	unsigned := func(receivedRequest) (*http.Response, error) {
		r := response(http.StatusOK, "answer")
		r.Header.Del("Signature")
		return r, nil
	}
	encoded := func(receivedRequest) (*http.Response, error) {
		r := response(http.StatusOK, "answer")
		r.Header.Set("Content-Encoding", "gzip")
		return r, nil
	}
	for name, behave := range map[string]behavior{"reset": resetConnection, "cut answer": cut, "foreign answer": foreign, "unsigned answer": unsigned, "encoded answer": encoded} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				w := newHarness(t, atMostOnce, false, "a", "b")
				w.setBehavior(behave, "a", "b")
				got := w.request(t.Context(), nil)
				w.g.Expect(got.status).To(Equal(http.StatusBadGateway))
				w.g.Expect(got.body).NotTo(ContainSubstring("answer"))
				w.g.Expect(w.receivedBy()).To(HaveLen(1))
			})
		})
	}
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against an idempotent request that fails with its first upstream, and against
// more runs than the route allows.
func TestIdempotentIsRepeated(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, idempotent, false, "a", "b", "c")
		w.setBehavior(func(v receivedRequest) (*http.Response, error) {
			if len(w.receivedBy()) == 1 {
				return response(http.StatusInternalServerError, "broken"), nil
			}
			return response(http.StatusOK, "answer"), nil
		}, "a", "b", "c")
		w.g.Expect(w.request(t.Context(), nil).body).To(Equal("answer"))
		w.g.Expect(w.receivedBy()).To(HaveLen(2))

		w.setBehavior(respondWith(http.StatusInternalServerError, "broken"), "a", "b", "c")
		got := w.request(t.Context(), nil)
		w.g.Expect(got.status).To(Equal(http.StatusInternalServerError))
		w.g.Expect(got.header.Get("Signature")).To(Equal("signed"))
		w.g.Expect(w.receivedBy()).To(HaveLen(4))
	})
}

// Guards against an idempotent request that waits for an unresponsive upstream beyond
// its latency goal, and against hedging a request that must not be repeated.
func TestHedge(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, idempotent, false, "a", "b")
		w.setBehavior(func(v receivedRequest) (*http.Response, error) {
			if len(w.receivedBy()) == 1 {
				return neverRespond(v)
			}
			return response(http.StatusOK, "answer"), nil
		}, "a", "b")
		got := w.request(t.Context(), nil)
		w.g.Expect(got.body).To(Equal("answer"))
		w.g.Expect(got.duration).To(BeNumerically("<", testGoal))
	})
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, atMostOnce, false, "a", "b")
		w.setBehavior(neverRespond, "a", "b")
		got := w.request(t.Context(), nil)
		w.g.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		w.g.Expect(got.duration).To(Equal(time.Second))
		w.g.Expect(w.receivedBy()).To(HaveLen(1))
	})
}

// Guards against sending requests that must not be repeated to an unresponsive upstream
// one after the other, each until its deadline.
func TestUnresponsiveUpstreamIsSuspected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, atMostOnce, false, "a", "b")
		w.setBehavior(respondWith(http.StatusOK, "answer"), "b")
		w.setBehavior(neverRespond, "a")
		w.unresponsive["a"] = true
		failed := 0
		for range 60 {
			go func() {
				if w.request(t.Context(), nil).status != http.StatusOK {
					failed++
				}
			}()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		// The requests sent before the first one has had no response for twice the
		// latency goal.
		w.g.Expect(failed).To(BeNumerically("<=", 4))

		w.unresponsive["a"] = false
		w.setBehavior(respondWith(http.StatusOK, "answer"), "a")
		w.request(t.Context(), nil)
		time.Sleep(10 * time.Second)
		visits := len(w.receivedBy())
		for range 20 {
			w.request(t.Context(), nil)
		}
		w.g.Expect(w.receivedBy()[visits:]).To(ContainElement("a"))
	})
}

// Guards against upstreams that continue a request after its caller has disconnected,
// and against cancelling a request that must not be repeated, whose effect would be
// lost.
func TestCallerDisconnect(t *testing.T) {
	for _, c := range []struct {
		route     route.Route
		cancelled bool
	}{{idempotent, true}, {atMostOnce, false}} {
		inVirtualTime(t, func(t *testing.T) {
			w := newHarness(t, c.route, false, "a")
			w.setBehavior(neverRespond, "a")
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			got := w.request(ctx, nil)
			w.g.Expect(got.aborted).To(BeTrue())
			synctest.Wait()
			w.g.Expect(w.receivedAt(0).ctx.Err() != nil).To(Equal(c.cancelled))
			time.Sleep(2 * time.Second)
		})
	}
}

// Guards against a request that is modified in transit or gets more time than its
// caller has.
func TestRequestIsUnchanged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, atMostOnce, false, "a")
		w.setBehavior(respondWith(http.StatusOK, "answer"), "a")
		w.request(t.Context(), map[string]string{"Deadline": "700", "Other": "kept"})
		v := w.receivedAt(0)
		w.g.Expect(v.uri).To(Equal("/path/%2f?query=1"))
		w.g.Expect(v.body).To(Equal("body"))
		w.g.Expect(v.header.Get("Other")).To(Equal("kept"))
		w.g.Expect(v.header.Get("Left")).To(Equal("700"))
		w.g.Expect(v.header.Get("Upstream")).To(Equal("a"))
	})
}

// Guards against refusing a caller that reaches a restarted instance some milliseconds
// before its first reads from the store complete.
func TestCallerOfAStartingInstanceWaits(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, idempotent, false, "a")
		w.setBehavior(respondWith(http.StatusOK, "answer"), "a")
		known, over := w.table, make(chan struct{})
		w.table, w.f.Startup = nil, over
		time.AfterFunc(90*time.Millisecond, func() {
			w.table = known
			close(over)
		})
		got := w.request(t.Context(), nil)
		w.g.Expect(got.status).To(Equal(http.StatusOK))
		w.g.Expect(got.duration).To(Equal(90 * time.Millisecond))
	})
}

// Guards against serving requests that the configuration does not allow.
func TestRequestsThatAreNotAllowed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, atMostOnce, false, "a")
		w.setBehavior(respondWith(http.StatusOK, "answer"), "a")
		current := w.table
		w.table = nil
		early := w.request(t.Context(), map[string]string{"Deadline": "25000"})
		w.g.Expect(early.status).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(early.header.Get("Retry-After")).To(Equal(retryAfterStartup.String()))
		w.storeUnreachable = true
		for deadline, want := range map[string]string{"25000": "2s", "1000": "300ms", "": "2s"} {
			got := w.request(t.Context(), map[string]string{"Deadline": deadline})
			w.g.Expect(got.header.Get("Retry-After")).To(Equal(want))
		}
		w.table = route.NewTable(route.Document{Version: 2})
		w.g.Expect(w.request(t.Context(), nil).status).To(Equal(http.StatusNotFound))
		matched, _ := current.Match("host", "/")
		w.table = route.NewTable(route.Document{
			Version: 3, Routes: []route.Route{*matched},
			Workspaces: map[string]route.Workspace{"key": {Name: "workspace"}},
		})
		w.g.Expect(w.request(t.Context(), map[string]string{"Key": "other"}).status).To(Equal(http.StatusUnauthorized))
		w.g.Expect(w.request(t.Context(), map[string]string{"Key": "key"}).status).To(Equal(http.StatusOK))
		w.g.Expect(w.receivedBy()).To(HaveLen(1))
	})
}

// Guards against unlimited retries when upstreams refuse or fail all requests, and
// against spending the retry budget on upstreams that were not reached.
func TestRetryBudget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, idempotent, false, "a", "b", "c", "d")
		w.f.Budgets = NewBudgets(0.5)
		w.setBehavior(notRun, "a", "b", "c", "d")
		for range 100 {
			w.request(t.Context(), nil)
		}
		w.g.Expect(len(w.receivedBy())).To(BeNumerically("<=", 100+50+plainBurst))
	})
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, idempotent, false, "a", "b", "c", "d")
		w.f.Budgets = NewBudgets(0)
		w.setBehavior(respondWith(http.StatusOK, "answer"), "d")
		for range 2 * plainBurst {
			w.g.Expect(w.request(t.Context(), nil).status).To(Equal(http.StatusOK))
			time.Sleep(2 * time.Second) // the unreachable upstreams are tried again
		}
	})
}

// Guards against accepting a call so shortly before the process ends that it is cut
// off, and against refusing calls that can still end in time.
func TestLeavingInstanceRefusesLastCalls(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		w := newHarness(t, atMostOnce, false, "a")
		w.setBehavior(respondWith(http.StatusOK, "answer"), "a")
		w.f.Leaving.Begin(time.Now().Add(8 * time.Second))
		time.Sleep(6500 * time.Millisecond)
		w.g.Expect(w.request(t.Context(), nil).status).To(Equal(http.StatusOK))
		time.Sleep(500 * time.Millisecond)
		got := w.request(t.Context(), nil) // it may last a second
		w.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		w.g.Expect(w.request(t.Context(), map[string]string{"Deadline": "500"}).status).To(Equal(http.StatusOK))
		w.g.Expect(w.receivedBy()).To(HaveLen(2))
	})
}
