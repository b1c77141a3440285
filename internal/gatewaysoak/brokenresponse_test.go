//go:build e2e

package gatewaysoak

import (
	"bufio"
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

// isCompleteAnswer reports whether a response is a success with its whole body.
func isCompleteAnswer(bytes string) bool {
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(bytes)), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

// Guards against a response that is not valid HTTP, or only the part of one, that a caller of a gateway gets as
// an answer, and against a gateway that such a response ends.
func TestBrokenResponsesReachNoCaller(t *testing.T) {
	const (
		tries      = 16
		uploadSize = 2 << 20
	)
	h := newHarnessWith(t, testfleet.Options{EnginesPerDomain: 1, Gateways: 1})
	plain, engine := h.newRawServers()
	body := "id: 1\ndata: broken\n\n"
	sendWhole := func(s *rawServer, status, field string) func(conn *net.TCPConn, request *http.Request) {
		return func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = fmt.Fprintf(conn, "%s%s\r\n%s", s.head(request, status), field, body)
		}
	}
	reset := func(s *rawServer) func(conn *net.TCPConn, request *http.Request) {
		return func(conn *net.TCPConn, request *http.Request) {
			_, _ = fmt.Fprintf(conn, "%sConnection: close\r\n\r\n%s", s.head(request, "200 OK"), body)
			_ = conn.SetLinger(0)
		}
	}
	for name, respond := range map[string]func(s *rawServer) func(conn *net.TCPConn, request *http.Request){
		"status 000":      func(s *rawServer) func(*net.TCPConn, *http.Request) { return sendWhole(s, "000 None", "") },
		"status 600":      func(s *rawServer) func(*net.TCPConn, *http.Request) { return sendWhole(s, "600 None", "") },
		"blank in a name": func(s *rawServer) func(*net.TCPConn, *http.Request) { return sendWhole(s, "200 OK", "X Y: 1\r\n") },
		"blank after a name": func(s *rawServer) func(*net.TCPConn, *http.Request) {
			return sendWhole(s, "200 OK", "Content-Length : 3\r\n")
		},
		"control byte": func(s *rawServer) func(*net.TCPConn, *http.Request) { return sendWhole(s, "200 OK", "X\x01Y: 1\r\n") },
		"reset upload": reset,
	} {
		plain.setResponse(respond(plain))
		engine.setResponse(respond(engine))
		for path, s := range map[string]*rawServer{"/book/": plain, "/read/": plain, "/draft/": engine, "/jot/": engine} {
			for try := range tries {
				if name != "reset upload" && try > 0 || path == "/draft/" && try > 0 {
					break // the result does not depend on chance, or takes until the deadline
				}
				before := s.received.Load()
				got := h.send(path+fmt.Sprint(try), strings.Repeat("x", uploadSize))
				switch {
				case name == "reset upload" && s == engine:
					// The events before the reset are forwarded, but their response must not look complete.
					h.g.Expect(isCompleteAnswer(got)).To(BeFalse(), "%s at %s: %s", name, path, got)
				default:
					h.g.Expect(got).To(MatchRegexp("^HTTP/1.1 50[234] "), "%s at %s", name, path)
					h.g.Expect(got).NotTo(ContainSubstring("broken"), "%s at %s", name, path)
				}
				h.g.Expect(got).NotTo(ContainSubstring("X-Not-Executed"), "%s at %s", name, path)
				if path == "/book/" {
					h.g.Expect(s.received.Load()-before).To(BeEquivalentTo(1), "requests that reached the server")
				}
			}
		}
		h.g.Expect(h.Gateways[0].Process().Exited()).NotTo(BeClosed(), name)
	}
	plain.setResponse(nil)
	engine.setResponse(nil)
	for _, s := range []*rawServer{plain, engine} {
		s.setReport("HTTP/1.1 000 None\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}")
	}
	for _, path := range []string{"/read/after", "/book/after", "/draft/after"} {
		h.g.Eventually(func() string { return h.send(path, "body") }, 10*time.Second, 100*time.Millisecond).Should(HavePrefix("HTTP/1.1 200 OK\r\n"))
	}
}

// Guards against a gateway that keeps the load reports and lists of cached prompts that faulty engines send
// without end, for each stream that it starts or that its caller resumes.
func TestReportsWithoutEndUseLittleMemory(t *testing.T) {
	const (
		crowd   = 900
		engines = 4
	)
	for name, report := range map[string]string{
		"one long text":           `{"held":[["","` + strings.Repeat("x", 4<<20),
		"one text, then nothing":  `{"held":[["","` + strings.Repeat("x", 900<<10),
		"many numbers":            `{"held":[[` + strings.Repeat("0,", 2<<20),
		"many runs":               `{"runs":[` + strings.Repeat("[],", 2<<20),
		"some runs, then nothing": `{"runs":[` + strings.Repeat("[],", 20<<10),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarnessWith(t, testfleet.Options{EnginesPerDomain: 1, Gateways: 1})
			_, engine := h.newRawServers()
			servers := []*rawServer{engine}
			for i := range engines - 1 {
				servers = append(servers, h.newRawServer(fmt.Sprint("engine-", i), testfleet.EngineService))
			}
			for _, s := range servers {
				s.setReport("HTTP/1.1 200 OK\r\nX-Instance-Id: " + s.id + "\r\n\r\n" + report)
			}
			var callers sync.WaitGroup
			for i := range crowd {
				callers.Go(func() {
					h.sendWith(fmt.Sprint("/draft/", i), "body", []string{"", "Last-Event-Id: 1\r\nX-Prompt-Prefix: part:1\r\n"}[i%2])
				})
			}
			callers.Wait()
			gateway := h.Gateways[0]
			h.g.Expect(gateway.Process().Exited()).NotTo(BeClosed())
			memory := h.peakMemoryKB(gateway)
			t.Logf("%s: at most %d MiB", name, memory>>10)
			h.g.Expect(memory).To(BeNumerically("<", machineMemoryMB<<10))
			for _, s := range servers {
				s.setReport("")
			}
			h.g.Eventually(func() string { return h.send("/draft/after", "body") }, 10*time.Second, 100*time.Millisecond).Should(HavePrefix("HTTP/1.1 200 OK\r\n"))
		})
	}
}
