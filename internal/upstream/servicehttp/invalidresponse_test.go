package servicehttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/servicehttp"
)

// Guards against a response that is not valid HTTP and becomes the outcome of a call.
func TestInvalidResponseIsLostConnection(t *testing.T) {
	for name, response := range map[string]string{
		"status 000": "HTTP/1.1 000 None\r\nContent-Length: 6\r\n\r\nbroken",
		"status 600": "HTTP/1.1 600 None\r\nContent-Length: 6\r\n\r\nbroken",
		"field name": "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nbroken",
	} {
		for _, once := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", once: ", once), func(t *testing.T) {
				g := NewWithT(t)
				listener := serveRaw(t, func(conn *net.TCPConn, reader *bufio.Reader, _ int) {
					if readRequest(reader) {
						_, _ = io.WriteString(conn, response)
					}
				})
				dialer := servicehttp.New(servicehttp.Config{})
				defer dialer.Close()
				client := dialer.Service(target(listener.Addr().String()))
				send := client.CallIdempotent
				if once {
					send = client.CallOnce
				}
				_, err := send(t.Context(), call("k"))
				g.Expect(err).To(MatchError(upstream.ErrConnectionLost))
			})
		}
	}
}

// Guards against a part of a response without a length that is taken as whole, because the server reset the
// connection while the call was still being written to it.
func TestResponseOfResetUploadIsLostConnection(t *testing.T) {
	for _, once := range []bool{true, false} {
		t.Run(fmt.Sprint("once: ", once), func(t *testing.T) {
			for range 24 {
				g := NewWithT(t)
				listener := serveRaw(t, func(conn *net.TCPConn, reader *bufio.Reader, number int) {
					if number > 1 { // confirms the first response
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
						return
					}
					if _, err := reader.ReadByte(); err == nil {
						_, _ = io.WriteString(conn, cutUnframed)
						_ = conn.SetLinger(0)
					}
				})
				dialer := servicehttp.New(servicehttp.Config{})
				client := dialer.Service(target(listener.Addr().String()))
				send := client.CallIdempotent
				if once {
					send = client.CallOnce
				}
				upload := call("k")
				upload.Body = make([]byte, 2<<20)
				_, err := send(t.Context(), upload)
				g.Expect(err).To(MatchError(upstream.ErrConnectionLost))
				dialer.Close()
			}
		})
	}
}
