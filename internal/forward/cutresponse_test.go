package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/route"
)

// cutTimeout bounds a request in real time.
const cutTimeout = 10 * time.Second

// cutResponse is a response that a test cuts after each of its bytes.
type cutResponse struct {
	bytes string
	end   ending
}

// cutResponses returns a response with each framing. Those without a length are cut by a reset, or by a
// close of a process that is gone.
func cutResponses(body string) map[string]cutResponse {
	const fields = namesRequest + "\r\n" + signatureText + "\r\n"
	half := len(body) / 2
	chunks := chunk(body[:half]) + chunk(body[half:])
	length := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	return map[string]cutResponse{
		"length":             {length, closePlainly},
		"length, reset":      {length, resetAtOnce},
		"length after a 103": {interim + length, closePlainly},
		"chunks":             {chunkedHead + chunks + "0\r\n\r\n", closePlainly},
		"chunks after a 103": {interim + chunkedHead + chunks + "0\r\n\r\n", closePlainly},
		"chunks and trailer": {chunkedHead + chunks + "0\r\nChecksum: 12\r\nSize: 1200\r\n\r\n", closePlainly},
		"no length":          {unframedHead + body, resetAtOnce},
		"no length, closed":  {unframedHead + body, closePlainly},
	}
}

// restart makes a process take the address of an upstream.
func (h *harness) restart(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startTimes[address], h.ids[address] = 2, "new"
}

// serveCut makes the cut-th request get the first bytes of a response, after which the upstream's process is
// gone, and the others what respond returns.
func (h *harness) serveCut(cut int64, r cutResponse, length int, respond func(request *http.Request, n int64) string) (requests *atomic.Int64) {
	requests = &atomic.Int64{}
	handle := func(u *rawUpstream, conn *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		n := requests.Add(1)
		if n != cut {
			_, _ = io.WriteString(conn, respond(request, n))
			return
		}
		h.restart(conn.LocalAddr().String())
		_, _ = io.WriteString(conn, r.bytes[:length])
		r.end(conn)
	}
	upstreams := []*rawUpstream{newRawUpstream(h.t, handle), newRawUpstream(h.t, handle), newRawUpstream(h.t, handle)}
	h.useRawUpstreams(upstreams...)
	for _, u := range upstreams {
		h.startTimes[u.listener.Addr().String()] = 1
	}
	return requests
}

// Guards against a response that is cut, in its head, a chunk or its trailer, and reaches the caller as a whole one.
func TestCutResponseIsNotWhole(t *testing.T) {
	const body = "answer with some words"
	for name, r := range cutResponses(body) {
		for _, kind := range []route.Route{atMostOnce, idempotent} {
			t.Run(name+", "+kind.Name, func(t *testing.T) {
				t.Parallel()
				kind.Timeout = cutTimeout
				for length := range len(r.bytes) {
					h := newHarness(t, kind, false)
					requests := h.serveCut(1, r, length, func(*http.Request, int64) string {
						return message(http.StatusOK, "complete", namesRequest, signatureText)
					})
					got := h.request(t.Context(), nil)
					if kind.Kind == route.Idempotent {
						h.g.Expect(got.status).To(Equal(http.StatusOK), "cut after %d bytes", length)
						h.g.Expect(got.body).To(Equal("complete"), "cut after %d bytes", length)
						continue
					}
					h.g.Expect(got.status).To(Equal(http.StatusBadGateway), "cut after %d bytes", length)
					h.g.Expect(got.body).NotTo(ContainSubstring("answer"), "cut after %d bytes", length)
					h.g.Expect(requests.Load()).To(Equal(int64(1)))
				}
			})
		}
	}
}

// Guards against a stream that goes on at another upstream, is cut there and looks complete, or has events missing or twice.
func TestCutResumedStreamIsNotWhole(t *testing.T) {
	for name, r := range cutResponses(eventsText(4, 6)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for length := range len(r.bytes) {
				h := newHarness(t, streaming, true)
				h.serveCut(2, r, length, func(request *http.Request, n int64) string {
					if n == 1 {
						return chunkedHead + chunk(eventsText(1, 3))
					}
					last, _ := strconv.Atoi(request.Header.Get("Last"))
					return chunkedHead + chunk(eventsText(last+1, 8)) + "0\r\n\r\n"
				})
				got := h.request(t.Context(), nil)
				h.g.Expect(got.aborted).To(BeFalse(), "cut after %d bytes", length)
				h.g.Expect(got.body).To(Equal(eventsText(1, 8)), "cut after %d bytes", length)
			}
		})
	}
}
