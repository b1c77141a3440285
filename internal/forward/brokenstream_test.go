package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

// resumeWith makes the first upstream break its stream off after ten events, and the
// following ones respond in order.
func (h *harness) resumeWith(following []behaviour, names ...string) {
	all := append([]behaviour{sendEvents(10, time.Millisecond, errReset)}, following...)
	h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
		return all[min(len(h.receivedBy()), len(all))-1](req)
	}, names...)
}

var errorStatuses = []int{
	http.StatusCreated, http.StatusNoContent, http.StatusPartialContent, http.StatusFound, http.StatusNotModified, http.StatusBadRequest,
	http.StatusNotFound, http.StatusUnprocessableEntity, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable,
}

// Guards against a stream that looks complete although the upstream that was to resume it
// responded with an error.
func TestErrorOnResumptionDoesNotCompleteTheStream(t *testing.T) {
	for _, status := range errorStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				r := streaming
				r.MaxAttempts = 2
				h := newHarness(t, r, true, "a", "b", "c")
				h.resumeWith([]behaviour{respondWith(status, "error text\n\n")}, "a", "b", "c")
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeTrue())
				h.g.Expect(got.status).To(Equal(http.StatusOK))
				h.g.Expect(got.body).To(Equal(eventsText(1, 10)))
			})
		})
	}
}

// Guards against giving up a stream that a third upstream can resume after the second has
// responded with an error.
func TestStreamResumesAfterErrorOnResumption(t *testing.T) {
	for _, status := range errorStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, streaming, true, "a", "b", "c")
				h.resumeWith([]behaviour{respondWith(status, "error text\n\n"), sendEvents(20, time.Millisecond, nil)}, "a", "b", "c")
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(got.body).To(Equal(eventsText(1, 20)))
				h.g.Expect(h.receivedBy()).To(HaveLen(3))
			})
		})
	}
}

// Guards against counting an error response that was not delivered as a success of its
// upstream and of the request's content.
func TestErrorOnResumptionIsNoSuccess(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := streaming
		r.MaxAttempts = 2
		h := newHarness(t, r, true, "a", "b", "c")
		h.resumeWith([]behaviour{respondWith(http.StatusNotFound, "error text")}, "a", "b", "c")
		content := poison.NewContent("", http.MethodPost, "http://host/path/%2f?query=1", []byte("body"))
		h.f.Quarantine.Add(time.Now(), poison.RequestCrash{Content: content, Process: "earlier"})
		h.g.Expect(h.request(t.Context(), nil).aborted).To(BeTrue())
		h.g.Expect(h.f.Quarantine.Crashes(content)).NotTo(BeEmpty())
		h.g.Expect(h.log.String()).To(ContainSubstring("result=upstream_error"))
	})
}

// Guards against joining the response to another request to a stream.
func TestForeignResponseOnResumptionIsNotJoined(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, streaming, true, "a", "b", "c")
				h.resumeWith([]behaviour{func(req receivedRequest) (*http.Response, error) {
					foreign := response(status, eventsText(11, 12))
					foreign.Header.Set("Id", "request-2")
					return foreign, nil
				}, sendEvents(20, time.Millisecond, nil)}, "a", "b", "c")
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(got.body).To(Equal(eventsText(1, 20)))
				h.g.Expect(h.receivedBy()).To(HaveLen(3))
			})
		})
	}
}

// Guards against altering a response to the first attempt of a stream that is neither 200
// nor an error.
func TestFirstResponseOfStreamIsForwarded(t *testing.T) {
	for _, status := range []int{http.StatusCreated, http.StatusPartialContent, http.StatusFound, http.StatusNotFound} {
		inVirtualTime(t, func(t *testing.T) {
			h := newHarness(t, streaming, true, "a", "b")
			h.setBehaviour(respondWith(status, "text"), "a", "b")
			got := h.request(t.Context(), nil)
			h.g.Expect(got.status).To(Equal(status))
			h.g.Expect(got.header.Get("Signature")).To(Equal("signed"))
			h.g.Expect(got.body).To(Equal("text"))
			h.g.Expect(h.receivedBy()).To(HaveLen(1))
		})
	}
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b")
		h.setBehaviour(respondWith(http.StatusNoContent, ""), "a", "b")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusNoContent))
		h.g.Expect(got.body).To(BeEmpty())
	})
}

// truncated returns a response that is cut off after its beginning has been forwarded.
func truncated(status int) behaviour {
	return func(receivedRequest) (*http.Response, error) {
		r := response(status, "")
		r.ContentLength = -1
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", 2*bufferedResponseBytes)), errorReader{errReset}))
		return r, nil
	}
}

// Guards against counting a response that was truncated within its delivery as a success of
// its upstream and of the request's content, and against a KV copy that is counted forever.
func TestTruncatedLongResponseIsNoSuccess(t *testing.T) {
	for _, r := range []route.Route{atMostOnce, idempotent, streaming} {
		t.Run(r.Name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, r, r.Kind == route.Stream, "a", "b")
				status := http.StatusOK
				if r.Kind == route.Stream {
					status = http.StatusNotFound
				}
				h.setBehaviour(truncated(status), "a", "b")
				content := poison.NewContent("", http.MethodPost, "http://host/path/%2f?query=1", []byte("body"))
				h.f.Quarantine.Add(time.Now(), poison.RequestCrash{Content: content, Process: "earlier"})
				got := h.request(t.Context(), nil)
				synctest.Wait()
				h.g.Expect(got.aborted).To(BeTrue())
				h.g.Expect(got.status).To(Equal(status))
				h.g.Expect(h.receivedBy()).To(HaveLen(1))
				h.g.Expect(h.f.Quarantine.Crashes(content)).NotTo(BeEmpty())
				h.g.Expect(h.log.String()).To(ContainSubstring("result=failed"))
				time.Sleep(time.Minute) // the failure does not count any more
				holders := map[string]bool{}
				for range 64 {
					m, _ := pool.Pick(h.pool.Members("service"), pool.Requirements{KVCopy: true}, time.Now())
					holders[m.ID] = true
				}
				h.g.Expect(holders).To(HaveLen(2))
			})
		})
	}
}

// Guards against joining a body of another media type to a stream, such as an error page with
// status 200.
func TestBodyOfAnotherMediaTypeIsNotJoined(t *testing.T) {
	withType := func(mediaType string, next behaviour) behaviour {
		return func(req receivedRequest) (*http.Response, error) {
			r, err := next(req)
			if mediaType != "" {
				r.Header.Set("Content-Type", mediaType)
			}
			return r, err
		}
	}
	events := sendEvents(20, time.Millisecond, nil)
	for name, second := range map[string]behaviour{
		"error page": withType("text/html", respondWith(http.StatusOK, "<h1>error</h1>\n\n")),
		"json":       withType("application/json", respondWith(http.StatusOK, "{}\n\n")),
		"parameter":  withType("Text/Event-Stream; charset=utf-8", events),
		"no type":    events,
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, streaming, true, "a", "b", "c")
				h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
					switch len(h.receivedBy()) {
					case 1:
						return withType("text/event-stream", sendEvents(10, time.Millisecond, errReset))(req)
					case 2:
						return second(req)
					}
					return withType("text/event-stream", events)(req)
				}, "a", "b", "c")
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(got.body).To(Equal(eventsText(1, 20)))
			})
		})
	}
}

// Guards against forwarding a change of the protocol, which no request asks for, as a response.
func TestSwitchedProtocolIsNoResponse(t *testing.T) {
	for _, r := range []route.Route{atMostOnce, streaming} {
		inVirtualTime(t, func(t *testing.T) {
			r.MaxAttempts = 1
			h := newHarness(t, r, r.Kind == route.Stream, "a")
			h.setBehaviour(respondWith(http.StatusSwitchingProtocols, "bytes"), "a")
			h.g.Expect(h.request(t.Context(), nil).status).To(Equal(http.StatusBadGateway))
		})
	}
}
