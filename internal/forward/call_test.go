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
		h := newHarness(t, atMostOnce, false, "a", "b")
		h.setBehaviour(resetConnection, "a", "b")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusBadGateway))
		h.g.Expect(h.receivedBy()).To(HaveLen(1))
	})
}

// Guards against losing a request that no upstream has run.
func TestUnsentRequestGoesToAnotherUpstream(t *testing.T) {
	for name, first := range map[string]behaviour{"refused connection": nil, "not run": refuseAsNotRun, "misdirected": respondWith(http.StatusMisdirectedRequest, "")} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, atMostOnce, false, "a", "b")
				h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
					if first != nil && len(h.receivedBy()) == 1 {
						return first(req)
					}
					return response(http.StatusOK, "answer"), nil
				}, "a", "b")
				if first == nil {
					h.setBehaviour(nil, "a")
				}
				got := h.request(t.Context(), nil)
				h.g.Expect(got.status).To(Equal(http.StatusOK))
				h.g.Expect(got.body).To(Equal("answer"))
			})
		})
	}
}

// Guards against delaying a request that no upstream can take, and against a refusal
// without Retry-After.
func TestUnservableRequestIsRefusedImmediately(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, atMostOnce, false, "a", "b", "c")
		h.setBehaviour(refuseAsNotRun, "a", "b", "c")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		h.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		h.g.Expect(got.duration).To(BeZero())
	})
}

// Guards against forwarding an upstream status that implies to the caller that its
// request has not run, when the upstream does not state that.
func TestUnconfirmedRefusalIsNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout} {
		inVirtualTime(t, func(t *testing.T) {
			h := newHarness(t, atMostOnce, false, "a")
			h.setBehaviour(respondWith(status, ""), "a")
			h.g.Expect(h.request(t.Context(), nil).status).To(Equal(http.StatusBadGateway))
		})
	}
}

// Guards against a second run of a request that must not be repeated, whatever the
// first upstream did after it received the request.
func TestAtMostOnceIsSentOnce(t *testing.T) {
	truncated := func(receivedRequest) (*http.Response, error) {
		r := response(http.StatusOK, "")
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), errorReader{errReset}))
		return r, nil
	}
	otherRequest := func(receivedRequest) (*http.Response, error) {
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
	for name, behave := range map[string]behaviour{"reset": resetConnection, "cut answer": truncated, "foreign answer": otherRequest, "unsigned answer": unsigned, "encoded answer": encoded} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, atMostOnce, false, "a", "b")
				h.setBehaviour(behave, "a", "b")
				got := h.request(t.Context(), nil)
				h.g.Expect(got.status).To(Equal(http.StatusBadGateway))
				h.g.Expect(got.body).NotTo(ContainSubstring("answer"))
				h.g.Expect(h.receivedBy()).To(HaveLen(1))
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
		h := newHarness(t, idempotent, false, "a", "b", "c")
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			if len(h.receivedBy()) == 1 {
				return response(http.StatusInternalServerError, "broken"), nil
			}
			return response(http.StatusOK, "answer"), nil
		}, "a", "b", "c")
		h.g.Expect(h.request(t.Context(), nil).body).To(Equal("answer"))
		h.g.Expect(h.receivedBy()).To(HaveLen(2))

		h.setBehaviour(respondWith(http.StatusInternalServerError, "broken"), "a", "b", "c")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusInternalServerError))
		h.g.Expect(got.header.Get("Signature")).To(Equal("signed"))
		h.g.Expect(h.receivedBy()).To(HaveLen(4))
	})
}

// Guards against an idempotent request that waits for an unresponsive upstream beyond
// its latency goal, and against hedging a request that must not be repeated.
func TestHedge(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, idempotent, false, "a", "b")
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			if len(h.receivedBy()) == 1 {
				return neverRespond(req)
			}
			return response(http.StatusOK, "answer"), nil
		}, "a", "b")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.body).To(Equal("answer"))
		h.g.Expect(got.duration).To(BeNumerically("<", testGoal))
	})
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, atMostOnce, false, "a", "b")
		h.setBehaviour(neverRespond, "a", "b")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		h.g.Expect(got.duration).To(Equal(time.Second))
		h.g.Expect(h.receivedBy()).To(HaveLen(1))
	})
}

// Guards against sending requests that must not be repeated to an unresponsive upstream
// one after the other, each until its deadline.
func TestUnresponsiveUpstreamIsSuspected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, atMostOnce, false, "a", "b")
		h.setBehaviour(respondWith(http.StatusOK, "answer"), "b")
		h.setBehaviour(neverRespond, "a")
		h.unresponsive["a"] = true
		failed := 0
		for range 60 {
			go func() {
				if h.request(t.Context(), nil).status != http.StatusOK {
					failed++
				}
			}()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		// Requests sent before the upstream is suspected, after twice the latency goal.
		h.g.Expect(failed).To(BeNumerically("<=", 4))

		h.unresponsive["a"] = false
		h.setBehaviour(respondWith(http.StatusOK, "answer"), "a")
		h.request(t.Context(), nil)
		time.Sleep(10 * time.Second)
		visits := len(h.receivedBy())
		for range 20 {
			h.request(t.Context(), nil)
		}
		h.g.Expect(h.receivedBy()[visits:]).To(ContainElement("a"))
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
			h := newHarness(t, c.route, false, "a")
			h.setBehaviour(neverRespond, "a")
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			got := h.request(ctx, nil)
			h.g.Expect(got.aborted).To(BeTrue())
			synctest.Wait()
			h.g.Expect(h.receivedAt(0).ctx.Err() != nil).To(Equal(c.cancelled))
			time.Sleep(2 * time.Second)
		})
	}
}

// Guards against a request that is modified in transit or gets more time than its
// caller has.
func TestRequestIsUnchanged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, atMostOnce, false, "a")
		h.setBehaviour(respondWith(http.StatusOK, "answer"), "a")
		h.request(t.Context(), map[string]string{"Deadline": "700", "Other": "kept"})
		req := h.receivedAt(0)
		h.g.Expect(req.uri).To(Equal("/path/%2f?query=1"))
		h.g.Expect(req.body).To(Equal("body"))
		h.g.Expect(req.header.Get("Other")).To(Equal("kept"))
		h.g.Expect(req.header.Get("Left")).To(Equal("700"))
		h.g.Expect(req.header.Get("Upstream")).To(Equal("a"))
	})
}

// Guards against refusing a caller that reaches a restarted instance some milliseconds
// before its first reads from the store complete.
func TestCallerOfAStartingInstanceWaits(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, idempotent, false, "a")
		h.setBehaviour(respondWith(http.StatusOK, "answer"), "a")
		known, over := h.table, make(chan struct{})
		h.table, h.f.Startup = nil, over
		time.AfterFunc(90*time.Millisecond, func() {
			h.table = known
			close(over)
		})
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusOK))
		h.g.Expect(got.duration).To(Equal(90 * time.Millisecond))
	})
}

// Guards against serving requests that the configuration does not allow.
func TestRequestsThatAreNotAllowed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, atMostOnce, false, "a")
		h.setBehaviour(respondWith(http.StatusOK, "answer"), "a")
		current := h.table
		h.table = nil
		early := h.request(t.Context(), map[string]string{"Deadline": "25000"})
		h.g.Expect(early.status).To(Equal(http.StatusServiceUnavailable))
		h.g.Expect(early.header.Get("Retry-After")).To(Equal(retryAfterStartup.String()))
		h.storeUnreachable = true
		for deadline, want := range map[string]string{"25000": "2s", "1000": "300ms", "": "2s"} {
			got := h.request(t.Context(), map[string]string{"Deadline": deadline})
			h.g.Expect(got.header.Get("Retry-After")).To(Equal(want))
		}
		h.table = route.NewTable(route.Document{Version: 2})
		h.g.Expect(h.request(t.Context(), nil).status).To(Equal(http.StatusNotFound))
		matched, _ := current.Match("host", "/")
		h.table = route.NewTable(route.Document{
			Version: 3, Routes: []route.Route{*matched},
			Workspaces: map[string]route.Workspace{"key": {Name: "workspace"}},
		})
		h.g.Expect(h.request(t.Context(), map[string]string{"Key": "other"}).status).To(Equal(http.StatusUnauthorized))
		h.g.Expect(h.request(t.Context(), map[string]string{"Key": "key"}).status).To(Equal(http.StatusOK))
		h.g.Expect(h.receivedBy()).To(HaveLen(1))
	})
}

// Guards against unlimited retries when upstreams refuse or fail all requests, and
// against spending the retry budget on upstreams that were not reached.
func TestRetryBudget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, idempotent, false, "a", "b", "c", "d")
		h.f.RetryBudgets = NewRetryBudgets(0.5)
		h.setBehaviour(refuseAsNotRun, "a", "b", "c", "d")
		for range 100 {
			h.request(t.Context(), nil)
		}
		h.g.Expect(len(h.receivedBy())).To(BeNumerically("<=", 100+50+plainBurst))
	})
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, idempotent, false, "a", "b", "c", "d")
		h.f.RetryBudgets = NewRetryBudgets(0)
		h.setBehaviour(respondWith(http.StatusOK, "answer"), "d")
		for range 2 * plainBurst {
			h.g.Expect(h.request(t.Context(), nil).status).To(Equal(http.StatusOK))
			time.Sleep(2 * time.Second) // the unreachable upstreams are tried again
		}
	})
}

// Guards against accepting a call so shortly before the process ends that it is cut
// off, and against refusing calls that can still end in time.
func TestLeavingInstanceRefusesLastCalls(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, atMostOnce, false, "a")
		h.setBehaviour(respondWith(http.StatusOK, "answer"), "a")
		h.f.Drain.Start(time.Now().Add(8 * time.Second))
		time.Sleep(6500 * time.Millisecond)
		h.g.Expect(h.request(t.Context(), nil).status).To(Equal(http.StatusOK))
		time.Sleep(500 * time.Millisecond)
		got := h.request(t.Context(), nil) // it may last a second
		h.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		h.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		h.g.Expect(h.request(t.Context(), map[string]string{"Deadline": "500"}).status).To(Equal(http.StatusOK))
		h.g.Expect(h.receivedBy()).To(HaveLen(2))
	})
}
