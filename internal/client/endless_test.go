package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/api/oas"
)

// Guards against a caller that keeps a response of an instance that never ends until it is out of memory.
func TestEndlessResponseIsNotKept(t *testing.T) {
	const most = 512 << 20 // bytes that the instance sends; without a bound the client would keep them
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	sent := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		n := 0
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n\"")
		for text := strings.Repeat("x", 64<<10); err == nil && n < most; n += len(text) {
			_, err = io.WriteString(conn, text)
		}
		sent <- n
	}()
	c, err := New([]string{"http://" + listener.Addr().String()})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Call(t.Context(), request, "orders", oas.CallRequest{Path: oas.NewOptString("/orders")})
	g.Expect(err).To(HaveOccurred())
	g.Expect(<-sent).To(BeNumerically("<", most/2))
}
