package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/settings"
)

// exitTimeout bounds the exit of an instance in real time.
const exitTimeout = 10 * time.Second

func dialInstance(g Gomega, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetDeadline(time.Now().Add(exitTimeout))).To(Succeed())
	return conn, bufio.NewReader(conn)
}

// exchangeLivez makes a request, after which the connection is kept.
func exchangeLivez(g Gomega, conn net.Conn, reader *bufio.Reader) {
	_, err := io.WriteString(conn, "GET /livez HTTP/1.1\r\nHost: i\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Close).To(BeFalse())
}

// Guards against closing a connection without an answer because a draining instance exits while the head of a request
// arrives (incident LOST).
func TestRequestThatArrivesWhileAnInstanceExitsIsAnswered(t *testing.T) {
	for name, kept := range map[string]bool{"kept connection": true, "new connection": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			address := listener.Addr().String()
			s := serveInstanceAt(t, settings.Settings{}, 0, listener, (&net.Dialer{}).DialContext)
			conn, reader := dialInstance(g, address)
			defer conn.Close()
			if kept {
				exchangeLivez(g, conn, reader)
			}
			idle, idleReader := dialInstance(g, address)
			defer idle.Close()
			exchangeLivez(g, idle, idleReader)
			request := fmt.Sprintf("POST /v1/workspaces/shop-a/services/stock/calls HTTP/1.1\r\nHost: i\r\n"+
				"Content-Type: application/json\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\n{}", contract.NewKey())
			half := strings.Index(request, "Content-Type")
			_, err = io.WriteString(conn, request[:half])
			g.Expect(err).NotTo(HaveOccurred())
			s.drain()
			_, err = idleReader.ReadByte()
			g.Expect(err).To(MatchError(io.EOF), "the instance does not close a connection without a request")
			_, err = io.WriteString(conn, request[half:])
			g.Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusOK))
			body, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(ContainSubstring(`"completed"`))
			g.Eventually(s.exited, exitTimeout).Should(BeClosed())
			g.Expect(s.server.runCount()).To(Equal(1))
		})
	}
}

// Guards against an instance that never exits because a caller does not send the rest of a head.
func TestHalfHeadDoesNotKeepAnInstanceFromItsExit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		s := serveInstanceAt(t, settings.Settings{}, 0, listener, listener.dial)
		conn, err := listener.dial(t.Context(), "", "")
		s.g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "GET /livez HTTP/1.1\r\n")
		s.g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		s.drain()
		time.Sleep(drainLinger + closeTimeout + time.Second)
		s.g.Expect(s.exited).To(BeClosed())
	})
}
