package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/route"
)

// endlessBody is a body without an end. It counts the bytes that were read.
type endlessBody struct {
	ctx  context.Context
	read *atomic.Int64
}

func (e endlessBody) Read(p []byte) (int, error) {
	if err := e.ctx.Err(); err != nil {
		return 0, err
	}
	for i := range p {
		p[i] = 'x'
	}
	e.read.Add(int64(len(p)))
	return len(p), nil
}

func (e endlessBody) Close() error { return nil }

// withEndlessBody gives the responses of an upstream an endless body.
func withEndlessBody(behave behaviour, read *atomic.Int64) behaviour {
	return func(req receivedRequest) (*http.Response, error) {
		r, err := behave(req)
		if r != nil {
			r.Body, r.ContentLength = endlessBody{req.ctx, read}, -1
		}
		return r, err
	}
}

// Guards against reading the body of a refusal, which is not needed and may never end.
func TestRefusalBodyIsNotRead(t *testing.T) {
	for name, behave := range map[string]behaviour{"not run": refuseAsNotRun, "misdirected": respondWith(http.StatusMisdirectedRequest, "")} {
		for _, r := range []route.Route{atMostOnce, streaming} {
			t.Run(name+" "+r.Name, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					var read atomic.Int64
					h := newHarness(t, r, r.Kind == route.Stream, "a", "b", "c")
					h.setBehaviour(withEndlessBody(behave, &read), "a", "b", "c")
					h.g.Expect(h.request(t.Context(), nil).status).To(Equal(http.StatusServiceUnavailable))
					h.g.Expect(read.Load()).To(BeZero())
				})
			})
		}
	}
}

// Guards against buffering an endless response, and against one that looks complete
// when it is cut off.
func TestEndlessResponseIsNotBuffered(t *testing.T) {
	for _, r := range []route.Route{atMostOnce, idempotent, streaming} {
		t.Run(r.Name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				var read atomic.Int64
				h := newHarness(t, r, r.Kind == route.Stream, "a")
				status := http.StatusOK
				if r.Kind == route.Stream {
					status = http.StatusNotFound // a response that is not a stream
				}
				h.setBehaviour(withEndlessBody(respondWith(status, ""), &read), "a")
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeTrue())
				h.g.Expect(h.f.BodyMemory.Used()).To(BeZero())
				h.g.Expect(read.Load()).To(BeNumerically("<=", maxResponseBytes+readChunkBytes))
			})
		})
	}
}

// Guards against truncating a long response.
func TestLongResponseIsForwardedCompletely(t *testing.T) {
	long := strings.Repeat("0123456789", bufferedResponseBytes/4)
	for name, length := range map[string]int64{"with its length": int64(len(long)), "without": -1} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, idempotent, false, "a")
				h.setBehaviour(func(receivedRequest) (*http.Response, error) {
					r := response(http.StatusOK, long)
					r.ContentLength = length
					return r, nil
				}, "a")
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(got.body == long).To(BeTrue())
				if length >= 0 {
					h.g.Expect(got.header.Get("Content-Length")).To(Equal(strconv.Itoa(len(long))))
				}
			})
		})
	}
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, idempotent, false, "a")
		h.setBehaviour(func(receivedRequest) (*http.Response, error) {
			r := response(http.StatusOK, "")
			r.Body = io.NopCloser(io.MultiReader(strings.NewReader(long), errorReader{errReset}))
			return r, nil
		}, "a")
		h.g.Expect(h.request(t.Context(), nil).aborted).To(BeTrue(), "a long response that was cut off")
	})
}

// Guards against bodies of requests and responses that together exceed the memory of
// the process: new requests are refused, those in progress continue.
func TestMemoryForBodiesIsBounded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, atMostOnce, false, "a")
		h.f.BodyMemory = NewBodyMemory(1<<20, h.f.Log)
		release := make(chan struct{})
		h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
			<-release
			return response(http.StatusOK, strings.Repeat("y", 4*readChunkBytes)), nil
		}, "a")
		body := strings.Repeat("x", 100<<10)
		var waiting sync.WaitGroup
		var answered, refused atomic.Int64
		for range 20 {
			waiting.Go(func() {
				got := h.requestWithBody(t.Context(), body)
				switch got.status {
				case http.StatusOK:
					h.g.Expect(got.body).To(HaveLen(4 * readChunkBytes))
					answered.Add(1)
				case http.StatusServiceUnavailable:
					h.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
					h.g.Expect(got.duration).To(BeZero())
					refused.Add(1)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		h.g.Expect(h.f.BodyMemory.Used()).To(BeNumerically("<=", 1<<20))
		close(release)
		waiting.Wait()
		h.g.Expect(answered.Load()).To(BeEquivalentTo(1<<20/len(body)), "the requests whose bodies fit")
		h.g.Expect(answered.Load() + refused.Load()).To(BeEquivalentTo(20))
		h.g.Expect(h.f.BodyMemory.Used()).To(BeZero())
		h.g.Expect(h.requestWithBody(t.Context(), body).status).To(Equal(http.StatusOK))
		h.g.Expect(h.log.String()).To(ContainSubstring("memory for bodies is used up"))
	})
}

// Guards against more requests in progress than there are file descriptors for.
func TestRequestsInProgressAreBounded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, atMostOnce, false, "a")
		h.f.MaxRequests = 2
		h.setBehaviour(respondAfter(50*time.Millisecond, respondWith(http.StatusOK, "answer")), "a")
		var statuses [3]callerResult
		var waiting sync.WaitGroup
		for i := range statuses {
			waiting.Go(func() { statuses[i] = h.request(t.Context(), nil) })
			time.Sleep(time.Millisecond)
		}
		waiting.Wait()
		h.g.Expect([]int{statuses[0].status, statuses[1].status, statuses[2].status}).To(Equal([]int{200, 200, 503}))
		h.g.Expect(statuses[2].duration).To(BeZero())
		h.g.Expect(statuses[2].header.Get("Retry-After")).NotTo(BeEmpty())
	})
}

// stallAndSend makes an upstream stop after some events and then send the same text
// repeatedly.
func stallAndSend(events int, text string, interval time.Duration) behaviour {
	return func(req receivedRequest) (*http.Response, error) {
		reader, writer := io.Pipe()
		go func() {
			for id := 1; id <= events; id++ {
				if !pause(req.ctx, 30*time.Millisecond) {
					return
				}
				_, _ = io.WriteString(writer, eventText(id))
			}
			for pause(req.ctx, interval) {
				if _, err := io.WriteString(writer, text); err != nil {
					return
				}
			}
			_ = writer.CloseWithError(req.ctx.Err())
		}()
		r := response(http.StatusOK, "")
		r.Body = reader
		return r, nil
	}
}

// Guards against a stream that stays with a stalled upstream which still sends bytes
// that make no progress for the caller.
func TestRepeatedBytesAreNoProgress(t *testing.T) {
	for name, text := range map[string]string{
		"comments":              ": still here\n\n",
		"an old event":          eventText(7),
		"events without number": "data: noise\n\n",
		"bytes of no event":     "x",
		"an event without end":  strings.Repeat("y", 1<<10),
	} {
		for _, events := range []int{0, 10} {
			t.Run(fmt.Sprint(name, " after ", events), func(t *testing.T) {
				if events == 0 && strings.Contains(text, "data:") {
					return // a valid beginning of a stream
				}
				inVirtualTime(t, func(t *testing.T) {
					h := newHarness(t, streaming, true, "a", "b")
					h.setBehaviour(func(req receivedRequest) (*http.Response, error) {
						if len(h.receivedBy()) == 1 {
							return stallAndSend(events, text, 200*time.Millisecond)(req)
						}
						return sendEvents(30, 30*time.Millisecond, nil)(req)
					}, "a", "b")
					got := h.request(t.Context(), nil)
					h.g.Expect(got.aborted).To(BeFalse())
					h.g.Expect(withoutRepeated(got.body, text)).To(Equal(eventsText(1, 30)))
					h.g.Expect(h.receivedBy()).To(HaveLen(2))
					h.g.Expect(got.duration).To(BeNumerically("<", firstEventTimeout+2*time.Second))
					h.g.Expect(h.f.BodyMemory.Used()).To(BeZero())
				})
			})
		}
	}
}

func withoutRepeated(body, text string) string {
	if strings.HasPrefix(text, "id:") {
		return body
	}
	return strings.ReplaceAll(body, text, "")
}

// Guards against cutting off a slow but healthy stream that cannot resume at another
// upstream, or that has used all attempts of its route.
func TestSlowStreamIsNeverCut(t *testing.T) {
	for name, c := range map[string]struct {
		attempts int
		names    []string
	}{"one upstream": {5, []string{"a"}}, "no further attempt": {1, []string{"a", "b"}}, "all are slow": {3, []string{"a", "b", "c"}}} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				slow := streaming
				slow.MaxAttempts = c.attempts
				h := newHarness(t, slow, true, c.names...)
				h.setBehaviour(sendEvents(12, 1500*time.Millisecond, nil), c.names...)
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(got.body).To(Equal(eventsText(1, 12)))
				h.g.Expect(len(h.receivedBy())).To(BeNumerically("<=", c.attempts))
			})
		})
	}
}

// Guards against concatenating two runs in one response because the events of the first
// had no numbers.
func TestUnnumberedStreamIsNotContinued(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b")
		h.setBehaviour(func(receivedRequest) (*http.Response, error) {
			r := response(http.StatusOK, "")
			r.Body = io.NopCloser(io.MultiReader(strings.NewReader("data: one\n\ndata: two\n\n"), errorReader{errReset}))
			return r, nil
		}, "a", "b")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.aborted).To(BeTrue())
		h.g.Expect(h.receivedBy()).To(HaveLen(1))
	})
}

// Guards against an endless response head: many interim responses, one long field, or
// many fields.
func TestEndlessResponseHeadIsRejected(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 1<<10)
	for name, head := range map[string]func(w io.Writer) error{
		"interim answers": func(w io.Writer) error {
			_, err := io.WriteString(w, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			return err
		},
		"one long field": func(w io.Writer) error { _, err := w.Write(long); return err },
		"many fields":    func(w io.Writer) error { _, err := io.WriteString(w, "X-Field: value\r\n"); return err },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer listener.Close()
			written := make(chan int, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				if name != "interim answers" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Long: ")
				}
				n := 0
				for head(conn) == nil {
					n++
				}
				written <- n
			}()
			s := newSender(testProtocol{}, nil)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			x := &exchange{request: httptest.NewRequest(http.MethodGet, "/", nil)}
			var before, afterwards runtime.MemStats
			runtime.ReadMemStats(&before)
			r := s.send(ctx, x, Attempt{Upstream: upstreamWithAddress(listener.Addr().String())})
			runtime.ReadMemStats(&afterwards)
			g.Expect(r.result).To(Equal(Failed))
			g.Expect(errors.Is(r.err, context.DeadlineExceeded)).To(BeFalse())
			g.Expect(afterwards.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 4<<20))
			g.Eventually(written, 5*time.Second).Should(Receive())
		})
	}
}

// Guards against a request header that is longer than the configuration in force
// allows.
func TestLongHeaderIsRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, atMostOnce, false, "a")
		h.setBehaviour(respondWith(http.StatusOK, "answer"), "a")
		matched, _ := h.table.Match("host", "/")
		h.table = route.NewTable(route.Document{Version: 2, Routes: []route.Route{*matched}, Limits: route.Limits{HeaderBytes: 300}})
		h.g.Expect(h.request(t.Context(), map[string]string{"Other": strings.Repeat("x", 100)}).status).To(Equal(http.StatusOK))
		h.g.Expect(h.request(t.Context(), map[string]string{"Other": strings.Repeat("x", 300)}).status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})
}

// FuzzEvents guards against stream bytes that crash the process, are lost, or turn a
// truncated event into a complete one.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n: comment\n\ndata: y\r\n\r\nid: z\n\nid: 2"))
	f.Fuzz(func(t *testing.T, data []byte) {
		memory := NewBodyMemory(1<<20, nil)
		r := &reservation{memory: memory}
		reader := newEventReader(bytes.NewReader(data), r)
		var read []byte
		for {
			e, err := reader.next()
			if err != nil {
				if errors.Is(err, io.EOF) && !bytes.Equal(read, data) {
					t.Fatalf("complete after %d of %d bytes", len(read), len(data))
				}
				break
			}
			read = append(read, e.raw...)
			if !bytes.HasPrefix(data, read) || len(e.raw) == 0 {
				t.Fatal("bytes were changed")
			}
			e.release(r)
		}
		r.releaseAll()
		if memory.Used() != 0 {
			t.Fatalf("%d bytes are still taken", memory.Used())
		}
	})
}
