package checkedhttp

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against the data before a reset that looks like all data of a closed connection, because a
// write has already got the error of the reset.
func TestReadAfterFailedWriteReportsReset(t *testing.T) {
	for name, test := range map[string]struct {
		reset    bool
		expected error
	}{"reset": {true, syscall.ECONNRESET}, "closed": {false, nil}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := serveRaw(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, "part")
				if test.reset {
					_, _ = conn.Read(make([]byte, 1))
					_ = conn.SetLinger(0)
				}
			})
			c, err := checkedDial(nil)(t.Context(), "tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			for test.reset && err == nil {
				_, err = c.Write(make([]byte, 1<<10))
			}
			data, err := io.ReadAll(c)
			g.Expect(string(data)).To(Equal("part"))
			if test.expected == nil {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(test.expected))
		})
	}
}

// Guards against a response without a length that is taken as complete although its server stopped
// sending before it had the request, and against the loss of one whose end is known.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		complete bool
	}{
		"no length": {"HTTP/1.1 200 OK\r\n\r\nwhole", false},
		"length":    {valid, true},
		"chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := serveRaw(t, func(conn *net.TCPConn) {
				if _, err := conn.Read(make([]byte, 1)); err == nil {
					_, _ = io.WriteString(conn, test.response)
					_ = conn.CloseWrite()
					<-t.Context().Done() // the connection stays open
				}
			})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, strings.NewReader(strings.Repeat("x", 32<<20)))
			g.Expect(err).NotTo(HaveOccurred())
			response, err := New(&http.Transport{}).RoundTrip(request)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			g.Expect(string(body)).To(Equal("whole"))
			if test.complete {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		})
	}
}
