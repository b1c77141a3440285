//go:build e2e

package gatewaysoak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/rawserver"
	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/testfleet"
)

// rawServer is a server in the process of the test that writes the bytes of its responses itself.
type rawServer struct {
	id       string
	received atomic.Int64 // requests, without health checks and calls of the control API

	mu      sync.Mutex // guards the fields below
	respond func(conn *net.TCPConn, request *http.Request)
	report  string // response to health checks and calls of the control API; empty: a valid one
}

// newRawServers replaces the servers of the fleet by two raw ones: one for calls, one for streams.
func (h *harness) newRawServers() (plain, engine *rawServer) {
	for _, n := range append(append([]*testfleet.Node{}, h.Engines...), h.PlainServers...) {
		h.g.Expect(h.SetFault(n, emulator.ServerFault{Withdrawn: true})).To(Succeed())
	}
	plain, engine = h.newRawServer("plain", testfleet.PlainService), h.newRawServer("engine", testfleet.EngineService)
	for path, s := range map[string]*rawServer{"/read/first": plain, "/draft/first": engine} {
		h.g.Eventually(func() int64 {
			h.send(path, "")
			return s.received.Load()
		}, 5*time.Second).Should(BeNumerically(">", 0))
	}
	return plain, engine
}

func (h *harness) newRawServer(id, service string) *rawServer {
	s := &rawServer{id: "raw-" + id}
	s.setResponse(nil)
	listener, err := rawserver.Listen(rawserver.Loopback, s.serve)
	h.g.Expect(err).NotTo(HaveOccurred())
	h.t.Cleanup(func() { _ = listener.Close() })
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": "domain-0", "slots": 1000, "state": "ready", "born": time.Now().UnixMilli(),
	})
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(h.WriteRow("servers", s.id, entry)).To(Succeed())
	return s
}

// setResponse sets how requests are answered: nil is a valid response.
func (s *rawServer) setResponse(respond func(conn *net.TCPConn, request *http.Request)) {
	if respond == nil {
		respond = func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			body := "id: 1\ndata: whole\n\n"
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", s.head(request, "200 OK"), len(body), body)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respond = respond
}

// head returns the beginning of the head of a response to a request.
func (s *rawServer) head(request *http.Request, status string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp\r\n", status, s.id, request.Header.Get("X-Attempt-Id"))
}

// setReport sets the response to health checks and calls of the control API; empty: a valid one.
func (s *rawServer) setReport(response string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = response
}

func (s *rawServer) serve(conn *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.mu.Lock()
	respond, report := s.respond, s.report
	s.mu.Unlock()
	switch request.URL.Path {
	case "/healthz", "/v1/report", "/v1/kv-list":
		if report != "" {
			defer func() { _, _ = io.Copy(io.Discard, conn) }() // until the gateway closes the connection
		} else {
			const body = `{"running":0,"waiting":0,"runs":[],"state":"ready","kv_total":88000,"held":[]}`
			report = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", s.head(request, "200 OK"), len(body), body)
		}
		_, _ = io.WriteString(conn, report)
	default:
		s.received.Add(1)
		respond(conn, request)
	}
}

var rawRequests atomic.Int64

// send sends a request to the first gateway and returns all bytes of the response.
func (h *harness) send(path, body string) string { return h.sendWith(path, body, "") }

// sendWith is send with further header fields.
func (h *harness) sendWith(path, body, fields string) string {
	conn, err := net.DialTimeout("tcp", h.Gateways[0].Address, 5*time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	go func() {
		_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: raw-%d\r\nX-Deadline-Ms: 8000\r\nX-Token-Counts: 1,1\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			method, path, testfleet.Host, rawRequests.Add(1), fields, len(body), body)
	}()
	response, _ := io.ReadAll(conn)
	return string(response)
}
