package servicehttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/servicehttp"
)

// serveRaw accepts connections until the test ends, each handled by a function that gets the
// connection, its reader and its number.
func serveRaw(t *testing.T, handle func(conn *net.TCPConn, reader *bufio.Reader, number int)) (listener net.Listener) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn.(*net.TCPConn), bufio.NewReader(conn), number)
			}()
		}
	}()
	return listener
}

// readRequest reads a request to its end.
func readRequest(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	return err == nil
}

const (
	cutBody     = "reserved: wig 1200 of 2"
	cutInterim  = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	cutChunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nreserved\r\nf\r\n: wig 1200 of 2\r\n0\r\n"
	cutUnframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + cutBody
)

// Guards against a response that is cut, also one on a connection in use again, and taken as whole.
func TestCutResponseIsLostConnection(t *testing.T) {
	length := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(cutBody), cutBody)
	for name, response := range map[string]string{
		"length":             length,
		"length after a 103": cutInterim + length,
		"chunks":             cutChunked + "\r\n",
		"chunks and trailer": cutChunked + "Checksum: 12\r\nSize: 1200\r\n\r\n",
	} {
		for _, once := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", once: ", once), func(t *testing.T) {
				t.Parallel()
				for cut := range len(response) {
					g := NewWithT(t)
					listener := serveRaw(t, func(conn *net.TCPConn, reader *bufio.Reader, number int) {
						if !once && number == 1 && readRequest(reader) {
							_, _ = io.WriteString(conn, response) // the connection is used again
						}
						if readRequest(reader) {
							_, _ = io.WriteString(conn, response[:cut])
						}
					})
					dialer := servicehttp.New(servicehttp.Config{})
					client := dialer.Service(target(listener.Addr().String()))
					send := client.CallOnce
					if !once {
						send = client.CallIdempotent
						whole, err := send(t.Context(), call("k"))
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(string(whole.Body)).To(Equal(cutBody))
					}
					_, err := send(t.Context(), call("k"))
					g.Expect(err).To(MatchError(upstream.ErrConnectionLost), "cut after %d bytes", cut)
					dialer.Close()
				}
			})
		}
	}
}

// Guards against a part of a response without a length that is taken as whole because the kernel closed the
// connection of a server that crashed, and against the loss of one whose server goes on.
func TestUnframedResponseOfEndedServerIsLostConnection(t *testing.T) {
	const restarted = `{"incarnation":"2"}`
	for name, test := range map[string]struct {
		incarnation string // in the response
		reset       bool
		ends        bool
		report      string
		whole       bool
	}{
		"reset":                           {reset: true},
		"server has ended":                {ends: true},
		"server has restarted":            {incarnation: "1", report: restarted},
		"server goes on":                  {incarnation: "2", report: restarted, whole: true},
		"server without incarnation":      {report: restarted, whole: true},
		"server without a load interface": {incarnation: "1", whole: true},
	} {
		for _, once := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", once: ", once), func(t *testing.T) {
				g := NewWithT(t)
				var listener net.Listener
				listener = serveRaw(t, func(conn *net.TCPConn, reader *bufio.Reader, number int) {
					if !readRequest(reader) {
						return
					}
					if number > 1 {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(test.report), test.report)
						return
					}
					if test.ends {
						_ = listener.Close()
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", servicehttp.HeaderIncarnation, test.incarnation, cutBody[:10])
					if test.reset {
						_ = conn.SetLinger(0)
					}
				})
				dialer := servicehttp.New(servicehttp.Config{})
				defer dialer.Close()
				client := dialer.Service(target(listener.Addr().String()))
				send := map[bool]func(context.Context, upstream.CallRequest) (upstream.CallResponse, error){true: client.CallOnce, false: client.CallIdempotent}[once]
				response, err := send(t.Context(), call("k"))
				if !test.whole {
					g.Expect(err).To(MatchError(upstream.ErrConnectionLost))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(response.Body)).To(Equal(cutBody[:10]))
			})
		}
	}
}

// Guards against the part of a response without a length that is taken as whole, cut after each byte.
func TestCutUnframedResponseIsLostConnection(t *testing.T) {
	for _, once := range []bool{true, false} {
		for cut := range len(cutUnframed) {
			g := NewWithT(t)
			var listener net.Listener
			listener = serveRaw(t, func(conn *net.TCPConn, reader *bufio.Reader, _ int) {
				if readRequest(reader) {
					_ = listener.Close()
					_, _ = io.WriteString(conn, cutUnframed[:cut])
				}
			})
			dialer := servicehttp.New(servicehttp.Config{})
			client := dialer.Service(target(listener.Addr().String()))
			send := client.CallIdempotent
			if once {
				send = client.CallOnce
			}
			_, err := send(t.Context(), call("k"))
			g.Expect(err).To(MatchError(upstream.ErrConnectionLost), "cut after %d bytes", cut)
			dialer.Close()
		}
	}
}

// Guards against a response without a length that waits for its confirmation beyond its time, or is given up because a server that
// goes on is silent.
func TestSilentServerConfirmsResponseWithoutLength(t *testing.T) {
	for timeout, expected := range map[time.Duration]error{500 * time.Millisecond: context.DeadlineExceeded, 10 * time.Second: nil} {
		t.Run(timeout.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var dials atomic.Int64
				dialer := servicehttp.New(servicehttp.Config{Dial: func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					number := dials.Add(1)
					go func() {
						defer far.Close()
						reader := bufio.NewReader(far)
						if !readRequest(reader) {
							return
						}
						if number == 1 {
							_, _ = io.WriteString(far, cutUnframed)
							return
						}
						_, _ = reader.ReadByte() // silent until the caller closes
					}()
					return near, nil
				}})
				defer dialer.Close()
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				start := time.Now()
				response, err := dialer.Service(target("server:1")).CallOnce(ctx, call("k"))
				g.Expect(time.Since(start)).To(BeNumerically("<=", time.Second))
				if expected != nil {
					g.Expect(err).To(MatchError(expected))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(response.Body)).To(Equal(cutBody))
			})
		})
	}
}
