package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/route"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + namesRequest + "\r\n" + signatureText + "\r\n\r\n"
	chunkedHead  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + namesRequest + "\r\n" + signatureText + "\r\n\r\n"
	lengthHead   = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n" + namesRequest + "\r\n" + signatureText + "\r\n\r\n"
)

// ending is how an upstream ends its connection.
type ending func(conn *net.TCPConn)

func closePlainly(conn *net.TCPConn) { _ = conn.CloseWrite() }

func resetAtOnce(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// respondOnce makes the first upstream that gets the request write bytes and end the connection, and
// the later ones send a complete response.
func (h *harness) respondOnce(bytes string, end ending, complete string) (runs *atomic.Int64) {
	runs = &atomic.Int64{}
	handle := func(u *rawUpstream, conn *net.TCPConn) {
		if !u.run(conn) {
			return
		}
		if runs.Add(1) > 1 {
			_, _ = io.WriteString(conn, complete)
			return
		}
		_, _ = io.WriteString(conn, bytes)
		end(conn)
	}
	h.useRawUpstreams(newRawUpstream(h.t, handle), newRawUpstream(h.t, handle))
	return runs
}

// Guards against a response without a length that looks complete although its connection was reset, and
// against one that counts as broken off although its connection was closed.
func TestResponseWithoutLength(t *testing.T) {
	full := message(http.StatusOK, "complete", namesRequest, signatureText)
	for name, test := range map[string]struct {
		bytes    string
		end      ending
		complete bool
	}{
		"closed":                  {unframedHead + "answer", closePlainly, true},
		"closed, empty":           {unframedHead, closePlainly, true},
		"reset":                   {unframedHead + "answer", resetAtOnce, false},
		"reset, empty":            {unframedHead, resetAtOnce, false},
		"closed inside the head":  {unframedHead[:len(unframedHead)-2], closePlainly, false},
		"reset inside the head":   {unframedHead[:len(unframedHead)-2], resetAtOnce, false},
		"closed before the head":  {"", closePlainly, false},
		"closed before a chunk":   {chunkedHead + "6\r\nanswer\r\n", closePlainly, false},
		"closed before the end":   {lengthHead + "answer", closePlainly, false},
		"closed inside the chunk": {chunkedHead + "9\r\nanswer", closePlainly, false},
	} {
		for _, r := range []route.Route{atMostOnce, idempotent} {
			t.Run(name+" "+r.Name, func(t *testing.T) {
				h := newHarness(t, r, false)
				runs := h.respondOnce(test.bytes, test.end, full)
				got := h.request(t.Context(), nil)
				_, body, _ := strings.Cut(test.bytes, "\r\n\r\n")
				switch {
				case test.complete:
					h.g.Expect(got.status).To(Equal(http.StatusOK))
					h.g.Expect(got.body).To(Equal(body))
					h.g.Expect(runs.Load()).To(Equal(int64(1)))
				case r.Kind == route.Idempotent:
					h.g.Expect(got.status).To(Equal(http.StatusOK))
					h.g.Expect(got.body).To(Equal("complete"))
				default:
					h.g.Expect(got.status).To(Equal(http.StatusBadGateway))
					h.g.Expect(got.body).NotTo(ContainSubstring("answer"))
					h.g.Expect(runs.Load()).To(Equal(int64(1)))
				}
			})
		}
	}
}

// Guards against a stream that looks complete although it was broken off, and against one that is
// broken off although it is complete.
func TestEndOfStreamWithoutLength(t *testing.T) {
	events := eventsText(1, 3)
	for name, test := range map[string]struct {
		bytes     string
		end       ending
		complete  bool
		forwarded string // of the events, all if complete
	}{
		"closed after an event":        {unframedHead + events, closePlainly, true, events},
		"closed after a comment":       {unframedHead + events + ": end\n\n", closePlainly, true, events + ": end\n\n"},
		"reset after an event":         {unframedHead + events, resetAtOnce, false, ""},
		"closed inside a line":         {unframedHead + events + "id: 4\ndata: ev", closePlainly, false, events},
		"closed before a line's end":   {unframedHead + events + "id: 4\ndata: event 4", closePlainly, false, events},
		"closed before a blank line":   {unframedHead + events + "id: 4\ndata: event 4\n", closePlainly, false, events},
		"closed inside a blank line":   {unframedHead + events + "id: 4\r\ndata: event 4\r\n\r", closePlainly, false, events},
		"closed inside a comment":      {unframedHead + events + ": en", closePlainly, false, events},
		"reset inside a line":          {unframedHead + events + "id: 4\ndata: ev", resetAtOnce, false, ""},
		"closed inside the head":       {unframedHead[:len(unframedHead)-2], closePlainly, false, ""},
		"reset inside the head":        {unframedHead[:len(unframedHead)-2], resetAtOnce, false, ""},
		"closed before the last chunk": {chunkedHead + chunk(events), closePlainly, false, events},
		"last chunk":                   {chunkedHead + chunk(events) + "0\r\n\r\n", closePlainly, true, events},
		"closed before the length":     {lengthHead + events, closePlainly, false, events},
	} {
		for _, resumable := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", resumable: ", resumable), func(t *testing.T) {
				r := streaming
				r.Resumable = resumable
				h := newHarness(t, r, true)
				var resumed atomic.Int64
				handle := func(u *rawUpstream, conn *net.TCPConn) {
					request, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					if resumed.Add(1) == 1 {
						_, _ = io.WriteString(conn, test.bytes)
						test.end(conn)
						return
					}
					last, _ := strconv.Atoi(request.Header.Get("Last"))
					_, _ = io.WriteString(conn, unframedHead+eventsText(last+1, 6))
				}
				h.useRawUpstreams(newRawUpstream(t, handle), newRawUpstream(t, handle))
				got := h.request(t.Context(), nil)
				switch {
				case test.complete:
					h.g.Expect(got.aborted).To(BeFalse())
					h.g.Expect(got.body).To(Equal(test.forwarded))
					h.g.Expect(resumed.Load()).To(Equal(int64(1)))
				case resumable:
					h.g.Expect(got.aborted).To(BeFalse())
					h.g.Expect(got.body).To(Equal(eventsText(1, 6)))
				case got.status == http.StatusBadGateway: // nothing was forwarded
					h.g.Expect(test.forwarded).To(BeEmpty())
					h.g.Expect(resumed.Load()).To(Equal(int64(1)))
				default:
					h.g.Expect(got.aborted).To(BeTrue())
					h.g.Expect(events).To(HavePrefix(got.body))
					h.g.Expect(got.body).To(HavePrefix(test.forwarded))
					h.g.Expect(resumed.Load()).To(Equal(int64(1)))
				}
			})
		}
	}
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
