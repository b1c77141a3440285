package client

import (
	"io"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/rawserver"
)

// Guards against a caller that keeps a response of an instance that never ends until it is out of memory.
func TestEndlessResponseIsNotKept(t *testing.T) {
	const most = 512 << 20 // bytes that the instance sends; without a bound the client would keep them
	g := NewWithT(t)
	sent := make(chan int, 1)
	listener, err := rawserver.Listen(rawserver.Loopback, func(conn *net.TCPConn) {
		n := 0
		rawserver.Respond("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n\"", "")(conn)
		for text := strings.Repeat("x", 64<<10); n < most; n += len(text) {
			if _, err := io.WriteString(conn, text); err != nil {
				break
			}
		}
		sent <- n
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	c, err := New([]string{"http://" + listener.Addr().String()})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Call(t.Context(), request, "orders", oas.CallRequest{Path: oas.NewOptString("/orders")})
	g.Expect(err).To(HaveOccurred())
	g.Expect(<-sent).To(BeNumerically("<", most/2))
}
