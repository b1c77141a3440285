//go:build e2e

package gatewaysoak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/testfleet"
)

// peakMemoryKB returns the highest resident memory of a process so far.
func (h *harness) peakMemoryKB(n *testfleet.Node) (kilobytes int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Process().PID()))
	h.g.Expect(err).NotTo(HaveOccurred())
	match := peakMemory.FindStringSubmatch(string(status))
	h.g.Expect(match).NotTo(BeNil())
	_, err = fmt.Sscan(match[1], &kilobytes)
	h.g.Expect(err).NotTo(HaveOccurred())
	return kilobytes
}

// Guards against a gateway that keeps what a server sends instead of a response until it is out of
// memory, with the requests of all callers.
func TestServerThatSendsNoResponseUsesLittleMemory(t *testing.T) {
	const crowd = 900 // close to the requests that a gateway has in progress by default
	held := func(head string) func(conn *net.TCPConn, _ *http.Request) {
		return func(conn *net.TCPConn, _ *http.Request) {
			if _, err := io.WriteString(conn, head); err == nil {
				_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
			}
		}
	}
	endless := func(begin, repeated string) func(conn *net.TCPConn, _ *http.Request) {
		repeated = strings.Repeat(repeated, 1+(16<<10)/len(repeated))
		return func(conn *net.TCPConn, _ *http.Request) {
			_, err := io.WriteString(conn, begin)
			for err == nil {
				_, err = io.WriteString(conn, repeated)
			}
		}
	}
	const head = "HTTP/1.1 200 OK\r\n"
	var shortFields, fields strings.Builder
	for i := 0; shortFields.Len() < 60<<10; i++ {
		_, _ = fmt.Fprintf(&shortFields, "%x:\r\n", i)
	}
	for i := range 240 {
		_, _ = fmt.Fprintf(&fields, "%x: %0100d\r\n", i, i)
	}
	for name, respond := range map[string]func(conn *net.TCPConn, request *http.Request){
		"short fields, then nothing":     held(head + shortFields.String()),
		"some fields, then nothing":      held(head + fields.String()),
		"one field, then nothing":        held(head + "X-Long: " + strings.Repeat("x", 60<<10)),
		"one shorter field, and nothing": held(head + "X-Long: " + strings.Repeat("x", 30<<10)),
		"short fields without end":       endless(head, "A:\r\n"),
		"one field without end":          endless(head+"X-Long: ", "x"),
		"folded lines without end":       endless(head+"X-Long: x\r\n", " x\r\n"),
		"status line without end":        endless("HTTP/1.1 200 ", "x"),
		"no HTTP without end":            endless("", "\x00\xff"),
		"empty lines without end":        endless("", "\r\n"),
		"interim without end":            endless("", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"),
		"body without end":               endless(head+"\r\n", "x"),
		"chunk size without end":         endless(head+"Transfer-Encoding: chunked\r\n\r\n", "0"),
		"chunks without end":             endless(head+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		"trailer without end":            endless(head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarnessWith(t, testfleet.Options{EnginesPerDomain: 1, Gateways: 1})
			plain, engine := h.newRawServers()
			plain.setResponse(respond)
			engine.setResponse(respond)
			var callers sync.WaitGroup
			for i := range crowd {
				callers.Go(func() { h.send([]string{"/read/", "/book/", "/draft/"}[i%3]+fmt.Sprint(i), "body") })
			}
			callers.Wait()
			plain.setResponse(nil)
			engine.setResponse(nil)
			gateway := h.Gateways[0]
			h.g.Expect(gateway.Process().Exited()).NotTo(BeClosed())
			memory := h.peakMemoryKB(gateway)
			t.Logf("%s: at most %d MiB", name, memory>>10)
			h.g.Expect(memory).To(BeNumerically("<", machineMemoryMB<<10))
			h.g.Eventually(func() string { return h.send("/read/after", "") }, 10*time.Second, 100*time.Millisecond).Should(HavePrefix("HTTP/1.1 200 OK\r\n"))
		})
	}
}
