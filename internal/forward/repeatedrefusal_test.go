package forward

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

// rawUpstream is an upstream that a test writes byte by byte.
type rawUpstream struct {
	listener net.Listener
	accepted atomic.Int64
	runs     atomic.Int64
}

// newRawUpstream returns an upstream that handles each connection with a function.
func newRawUpstream(t *testing.T, handle func(u *rawUpstream, conn *net.TCPConn)) *rawUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &rawUpstream{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.accepted.Add(1)
			go func() {
				defer conn.Close()
				handle(u, conn.(*net.TCPConn))
			}()
		}
	}()
	return u
}

// run reads a request and counts it as run.
func (u *rawUpstream) run(conn net.Conn) bool {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	if err != nil {
		return false
	}
	u.runs.Add(1)
	return true
}

// useRawUpstreams makes upstreams the only ones of the harness, reached over TCP.
func (h *harness) useRawUpstreams(upstreams ...*rawUpstream) {
	var list []pool.Upstream
	for i, u := range upstreams {
		address := u.listener.Addr().String()
		list = append(list, pool.Upstream{ID: address, Service: "service", Address: address, FailureDomain: fmt.Sprint("d", i), Slots: 8, StartedAt: 1})
	}
	h.pool.Replace(list)
	h.f.sender.transport = newSender(nil, nil).transport
}

func message(status int, body string, fields ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), strings.Join(append(fields, ""), "\r\n"), body)
}

const (
	interim       = "HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\nId: request-0\r\n\r\n"
	namesRequest  = "Id: request-1"
	namesOther    = "Id: request-0"
	notRunField   = "Not-Run: 1"
	signatureText = "Signature: signed"
)

// Guards against taking a refusal of another request for one of this request, which a server that
// wrote it may run nevertheless: the caller would be told that it has not run, or it would run twice.
func TestRefusalOfAnotherRequestIsNoPromise(t *testing.T) {
	log.SetOutput(io.Discard) // net/http logs responses without a request
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	answer := message(http.StatusOK, "answer", namesRequest, signatureText)
	for name, early := range map[string]string{
		"another ID":                      message(http.StatusServiceUnavailable, "", notRunField, namesOther),
		"no ID":                           message(http.StatusServiceUnavailable, "", notRunField),
		"429 with another ID":             message(http.StatusTooManyRequests, "", notRunField, namesOther),
		"429 without ID":                  message(http.StatusTooManyRequests, "", notRunField),
		"421 with another ID":             message(http.StatusMisdirectedRequest, "", namesOther),
		"421 without ID":                  message(http.StatusMisdirectedRequest, ""),
		"another ID after an interim one": interim + message(http.StatusServiceUnavailable, "", notRunField, namesOther),
		"no ID after an interim one":      interim + message(http.StatusServiceUnavailable, "", notRunField),
		"interim only":                    interim,
	} {
		for _, before := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", before the request was read: ", before), func(t *testing.T) {
				h := newHarness(t, atMostOnce, false)
				handle := func(u *rawUpstream, conn *net.TCPConn) {
					if before {
						_, _ = io.WriteString(conn, early)
					}
					if !u.run(conn) {
						return
					}
					if !before {
						_, _ = io.WriteString(conn, early)
					}
					_, _ = io.WriteString(conn, answer)
				}
				a, b := newRawUpstream(t, handle), newRawUpstream(t, handle)
				h.useRawUpstreams(a, b)
				got := h.request(t.Context(), nil)
				h.g.Expect(got.status).To(Or(Equal(http.StatusBadGateway), Equal(http.StatusOK)))
				h.g.Expect(a.accepted.Load() + b.accepted.Load()).To(Equal(int64(1)))
				if got.status == http.StatusOK {
					h.g.Expect(got.body).To(Equal("answer"))
				}
			})
		}
	}
}

// Guards against an additional response on a connection that meets another request.
func TestAdditionalResponseMeetsNoOtherRequest(t *testing.T) {
	additional := map[string]string{
		"refusal":        message(http.StatusServiceUnavailable, "", notRunField),
		"named refusal":  message(http.StatusServiceUnavailable, "", notRunField, namesRequest),
		"answer":         message(http.StatusOK, "additional", signatureText),
		"named answer":   message(http.StatusOK, "additional", signatureText, namesRequest),
		"not a response": "bytes\r\n\r\n",
	}
	for name, bytes := range additional {
		for _, r := range []route.Route{atMostOnce, idempotent} {
			t.Run(name+" "+r.Name, func(t *testing.T) {
				h := newHarness(t, r, false)
				u := newRawUpstream(t, func(u *rawUpstream, conn *net.TCPConn) {
					for u.run(conn) { // keeps the connection
						_, _ = io.WriteString(conn, message(http.StatusOK, "answer", signatureText, namesRequest)+bytes)
					}
				})
				h.useRawUpstreams(u)
				for range 5 {
					got := h.request(t.Context(), nil)
					h.g.Expect(got.status).To(Equal(http.StatusOK))
					h.g.Expect(got.body).To(Equal("answer"))
				}
				h.g.Expect(u.accepted.Load()).To(Equal(int64(5)))
			})
		}
	}
}
