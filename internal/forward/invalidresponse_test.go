package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"foxtailhub.example/foxtailhub/internal/checkedhttp"
	"foxtailhub.example/foxtailhub/internal/route"
)

// requestOnWire sends a request to an HTTP server in front of the forwarder and returns all bytes
// of its response.
func (h *harness) requestOnWire(body string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	h.g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: h.f}
	go func() { _ = server.Serve(listener) }() // ends with the test
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	h.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	h.g.Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	request, err := http.NewRequest(http.MethodPost, "http://host/path", strings.NewReader(body))
	h.g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Id", "request-1")
	request.Close = true
	h.g.Expect(request.Write(conn)).To(Succeed())
	response, err := io.ReadAll(conn)
	h.g.Expect(err).NotTo(HaveOccurred())
	return string(response)
}

// expectRejected expects that the response of the first upstream did not reach the caller: it got
// the complete one of another upstream, or a 502 if the request must not be repeated.
func (h *harness) expectRejected(r route.Route, got, complete string, runs int64) {
	if r.Kind == route.AtMostOnce {
		h.g.Expect(got).To(HavePrefix("HTTP/1.1 502 "))
		h.g.Expect(got).NotTo(ContainSubstring("broken"))
		h.g.Expect(got).NotTo(ContainSubstring("Not-Run"))
		h.g.Expect(runs).To(BeEquivalentTo(1))
		return
	}
	h.g.Expect(got).To(HavePrefix("HTTP/1.1 200 OK\r\n"))
	h.g.Expect(got).To(ContainSubstring(complete))
	h.g.Expect(got).NotTo(ContainSubstring("broken"))
	h.g.Expect(runs).To(BeEquivalentTo(2))
}

// invalidReason matches the reason of a rejected response in a log line.
var invalidReason = regexp.MustCompile(`(` + checkedhttp.ErrInvalidResponse.Error() + `|malformed MIME header)`)

// rejectsResponses expects that no caller gets one of the responses, in any kind of route.
func rejectsResponses(t *testing.T, responses map[string]string) {
	for name, bytes := range responses {
		for _, r := range []route.Route{atMostOnce, idempotent, streaming} {
			t.Run(name+", "+r.Name, func(t *testing.T) {
				h := newHarness(t, r, r.Kind == route.Stream)
				complete := "complete"
				if r.Kind == route.Stream {
					complete = eventsText(1, 3)
				}
				runs := h.respondOnce(bytes, closePlainly, message(http.StatusOK, complete, namesRequest, signatureText))
				got := h.requestOnWire("body")
				h.expectRejected(r, got, complete, runs.Load())
				h.g.Expect(invalidReason.FindAllString(h.logText(), -1)).To(HaveLen(1), "log lines with the reason")
			})
		}
	}
}

// Guards against a response whose status is not one of HTTP and that reaches the caller, or ends its
// connection without a response.
func TestInvalidStatusDoesNotReachCaller(t *testing.T) {
	responses := map[string]string{}
	for _, status := range []string{"000", "-00", "+20", "099", "600", "999"} {
		responses[status] = "HTTP/1.1 " + status + " broken\r\nContent-Length: 6\r\n" + namesRequest + "\r\n" + signatureText + "\r\n\r\nbroken"
	}
	responses["000 after a 103"] = interim + responses["000"]
	rejectsResponses(t, responses)
}

// Guards against a response with an invalid field name that reaches the caller, without the line or with
// a body that is not the upstream's: net/http takes a blank in a name for a part of it, and so ignores
// a length or an identification that the upstream has stated.
func TestInvalidFieldNameDoesNotReachCaller(t *testing.T) {
	const named = namesRequest + "\r\n" + signatureText + "\r\n"
	responses := map[string]string{
		"blank before the colon of a length": "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n" + named + "\r\nbroken",
		"blank before the colon of chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + named + "\r\n" + chunk("broken") + "0\r\n\r\n",
		"blank in the name of a request":     "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nId : request-0\r\n" + signatureText + "\r\n\r\nbroken",
		"after a 103":                        interim + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Broken : 1\r\n" + named + "\r\nbroken",
		"error response":                     "HTTP/1.1 500 Error\r\nContent-Length: 6\r\nX Broken: 1\r\n" + named + "\r\nbroken",
	}
	for _, name := range invalidNames {
		responses[fmt.Sprintf("%q", name)] = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n" + named + name + ": 1\r\n\r\nbroken"
	}
	rejectsResponses(t, responses)
}

var invalidNames = []string{"X Broken", "X-Broken ", "X-Broken\t", "X\tBroken", "X\x00Broken", "X\x01Broken", "X\x7fBroken", "X\x80Broken", "X\rBroken", "X(Broken)", "\x0bX", ""}

// Guards against the sizes of chunks as a part of the body: net/http ignores the transfer coding of a
// response of HTTP/1.0.
func TestTransferCodingOfHTTP10DoesNotReachCaller(t *testing.T) {
	const named = namesRequest + "\r\n" + signatureText + "\r\n"
	chunks := chunk("broken") + "0\r\n\r\n"
	rejectsResponses(t, map[string]string{
		"no length":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + named + "\r\n" + chunks,
		"length":     fmt.Sprintf("HTTP/1.0 200 OK\r\ntransfer-encoding:chunked\r\nContent-Length: %d\r\n%s\r\n%s", len(chunks), named, chunks),
		"last field": "HTTP/1.0 200 OK\n" + strings.ReplaceAll(named, "\r", "") + "Transfer-Encoding: chunked\n\n" + chunks,
	})
}

// Guards against invalid fields of interim responses and trailers, which are not forwarded, that reach the
// caller.
func TestFieldsOfInterimResponsesAndTrailersAreNotForwarded(t *testing.T) {
	const named = namesRequest + "\r\n" + signatureText + "\r\n"
	for name, bytes := range map[string]string{
		"interim": "HTTP/1.1 103 Early Hints\r\nX Broken: 1\r\nContent-Length : 3\r\n\r\n" + message(http.StatusOK, "complete", namesRequest, signatureText),
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Broken\r\n" + named + "\r\n" + chunk("complete") + "0\r\nX-Broken: 1\r\nX Broken: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, atMostOnce, false)
			runs := h.respondOnce(bytes, closePlainly, "")
			got := h.requestOnWire("body")
			h.g.Expect(got).To(HavePrefix("HTTP/1.1 200 OK\r\n"))
			h.g.Expect(got).To(HaveSuffix("\r\n\r\ncomplete"))
			h.g.Expect(got).NotTo(ContainSubstring("Broken: 1"))
			h.g.Expect(runs.Load()).To(BeEquivalentTo(1))
		})
	}
}

// Guards against a part of a response without a length that looks complete, because the upstream
// reset the connection, or left, while the request was still being written to it. Of the read and the
// write that a reset interrupts, only one gets its error, and which one is random.
func TestResponseOfResetUploadIsNotComplete(t *testing.T) {
	upload := strings.Repeat("x", 2<<20)
	for name, read := range map[string]int64{"at once": 1, "after a part of the upload": 64 << 10} {
		for endName, end := range map[string]ending{"reset": resetAtOnce, "closed": func(*net.TCPConn) {}, "closed after its end": closePlainly} {
			for _, r := range []route.Route{atMostOnce, idempotent, streaming} {
				t.Run(name+", "+endName+", "+r.Name, func(t *testing.T) {
					broken, complete := "broken", "complete"
					if r.Kind == route.Stream {
						broken, complete = "id: 1\ndata: broken\n\n", eventsText(1, 3)
					}
					for range 24 {
						h := newHarness(t, r, r.Kind == route.Stream)
						var runs atomic.Int64
						handle := func(u *rawUpstream, conn *net.TCPConn) {
							if runs.Add(1) > 1 {
								if u.run(conn) {
									_, _ = io.WriteString(conn, message(http.StatusOK, complete, namesRequest, signatureText))
								}
								return
							}
							if _, err := io.CopyN(io.Discard, conn, read); err != nil {
								return
							}
							_, _ = io.WriteString(conn, unframedHead+broken)
							waitForUpload(conn)
							end(conn)
						}
						h.useRawUpstreams(newRawUpstream(t, handle), newRawUpstream(t, handle))
						got := h.requestOnWire(upload)
						if r.Kind != route.Stream {
							h.expectRejected(r, got, complete, runs.Load())
							continue
						}
						// Events before the reset are forwarded, and the stream goes on after them.
						response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
						h.g.Expect(err).NotTo(HaveOccurred())
						body, err := io.ReadAll(response.Body)
						h.g.Expect(err).NotTo(HaveOccurred(), "the response is not complete")
						h.g.Expect(string(body)).To(HaveSuffix(eventText(2) + eventText(3)))
					}
				})
			}
		}
	}
}

// waitForUpload waits until no more bytes arrive because the receive buffer of a connection is full.
func waitForUpload(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	for last := -1; ; {
		unread := 0
		_ = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }) // fails on a closed connection only
		if unread == last && unread > 0 {
			return
		}
		last = unread
		runtime.Gosched()
	}
}
