package checkedhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// fields returns a number of header fields.
func fields(count int) string {
	var text strings.Builder
	for i := range count {
		_, _ = fmt.Fprintf(&text, "X-%d: %d\r\n", i, i)
	}
	return text.String()
}

// Guards against a head that takes much memory when it is decoded, and against the loss of a response
// that only looks like one.
func TestLinesOfHeadAreBounded(t *testing.T) {
	manyLines := strings.Repeat("\n", 4*maxHeadLines)
	for name, test := range map[string]struct {
		response string
		body     string
		err      string
	}{
		"many fields":           {"HTTP/1.1 200 OK\r\n" + fields(maxHeadLines-2) + "Content-Length: 5\r\n\r\nwhole", "whole", ""},
		"too many fields":       {"HTTP/1.1 200 OK\r\n" + fields(maxHeadLines) + "Content-Length: 5\r\n\r\nwhole", "", "invalid response"},
		"too many, LF only":     {strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields(maxHeadLines)+"\r\nwhole", "\r", ""), "", "invalid response"},
		"too many folded lines": {"HTTP/1.1 200 OK\r\nX-A: b\r\n" + strings.Repeat(" c\r\n", maxHeadLines) + "\r\nwhole", "", "invalid response"},
		"too many in a 103":     {"HTTP/1.1 103 Early Hints\r\n" + fields(maxHeadLines) + "\r\n" + valid, "", "invalid response"},
		"too many after a 103":  {interim + "HTTP/1.1 200 OK\r\n" + fields(maxHeadLines) + "\r\nwhole", "", "invalid response"},
		"many interim":          {strings.Repeat(interim, maxHeadLines) + valid, "whole", ""},
		"lines in a body":       {"HTTP/1.1 200 OK\r\n\r\n" + manyLines, manyLines, ""},
		"lines after a 103":     {interim + "HTTP/1.1 200 OK\n\n" + manyLines, manyLines, ""},
		"too long":              {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\nwhole", "", "exceeded"},
	} {
		for kind, transport := range transports() {
			t.Run(name+", "+kind, func(t *testing.T) {
				g := NewWithT(t)
				defer transport.CloseIdleConnections()
				requests := 0
				address := serveRaw(t, func(conn *net.TCPConn) {
					for reader := bufio.NewReader(conn); ; requests++ {
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						if kind == "kept" && requests == 0 {
							_, _ = io.WriteString(conn, valid) // the connection is used again
							continue
						}
						_, _ = io.WriteString(conn, test.response)
						return
					}
				})
				if kind == "kept" {
					body, err := get(t, transport, address)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(body).To(Equal("whole"))
				}
				body, err := get(t, transport, address)
				if test.err != "" {
					g.Expect(err).To(MatchError(ContainSubstring(test.err)))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal(test.body))
			})
		}
	}
}

// Guards against a head that is not followed across the reads that it arrives in.
func TestHeadIsFollowedAcrossReads(t *testing.T) {
	g := NewWithT(t)
	body := strings.Repeat("\r\n", maxHeadLines)
	for _, response := range []string{interim + valid + body, "HTTP/1.1 200 OK\nX: a\n b\n\n" + body} {
		for size := 1; size < len(response); size++ {
			var s headScanner
			s.start()
			for rest := []byte(response); len(rest) > 0; {
				part := rest[:min(size, len(rest))]
				n, err := s.scan(part)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(n).To(Equal(len(part)))
				rest = rest[len(part):]
			}
			g.Expect(s.active).To(BeFalse())
		}
	}
}
