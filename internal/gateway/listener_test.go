package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/route"
)

// pipeListener is an in-memory listener, for virtual time.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close ends Accept. The server calls it once.
func (p pipeListener) Close() error {
	close(p)
	return nil
}

func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// onceListener is closed by a test and by the server.
type onceListener struct {
	net.Listener
	close func() error
}

func (l onceListener) Close() error { return l.close() }

// testServer serves callers under limits that a test can change.
type testServer struct {
	g         Gomega
	listener  pipeListener
	front     callerListener
	limits    atomic.Pointer[route.Limits]
	serveTime atomic.Int64 // duration of a request, in nanoseconds
}

// withServer runs a test with a server in virtual time.
func withServer(t *testing.T, limits route.Limits, test func(s *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testServer{g: NewWithT(t), listener: make(pipeListener)}
		s.limits.Store(&limits)
		server := &http.Server{
			Handler:        http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Duration(s.serveTime.Load())) }),
			MaxHeaderBytes: maxHeaderBytes, ConnState: trackConnState,
		}
		s.front = newCallerListener(onceListener{s.listener, sync.OnceValue(s.listener.Close)}, func() route.Limits { return *s.limits.Load() })
		go func() { _ = server.Serve(s.front) }()
		defer server.Close()
		test(s)
	})
}

// caller is the caller's end of a connection.
type caller struct {
	g      Gomega
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *caller {
	callerEnd, serverEnd := net.Pipe()
	s.listener <- serverEnd
	return &caller{g: s.g, conn: callerEnd, reader: bufio.NewReader(callerEnd)}
}

func (c *caller) request() int {
	if _, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// closedAfter waits until the server closes the connection and returns the time that took.
func (c *caller) closedAfter() time.Duration {
	began := time.Now()
	line, err := c.reader.ReadString('\n')
	c.g.Expect(err).To(MatchError(io.EOF), line)

	return time.Since(began)
}

// Guards against limits of callers that do not follow the configuration: idle connections
// that are closed too early or never, headers that take longer than allowed, and requests
// that are interrupted by either time-out.
func TestLimitsOfCallersFollowTheConfiguration(t *testing.T) {
	limits := route.Limits{IdleTimeout: 15 * time.Second, HeaderTimeout: 3 * time.Second}
	withServer(t, limits, func(s *testServer) {
		c := s.dial()
		s.g.Expect(c.closedAfter()).To(Equal(15*time.Second), "before the first request")

		c = s.dial()
		s.g.Expect(c.request()).To(Equal(http.StatusOK))
		s.g.Expect(c.closedAfter()).To(Equal(15 * time.Second))

		c = s.dial()
		s.g.Expect(c.request()).To(Equal(http.StatusOK))
		_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n")
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(c.closedAfter()).To(Equal(3 * time.Second))

		s.serveTime.Store(int64(20 * time.Second))
		c = s.dial()
		s.g.Expect(c.request()).To(Equal(http.StatusOK))
		time.Sleep(12 * time.Second)
		s.g.Expect(c.request()).To(Equal(http.StatusOK))
		s.serveTime.Store(0)

		c = s.dial()
		s.g.Expect(c.request()).To(Equal(http.StatusOK))
		s.limits.Store(&route.Limits{IdleTimeout: time.Minute})
		s.g.Expect(c.closedAfter()).To(Equal(60*time.Second), "a connection that was idle before the change")

		c = s.dial()
		s.g.Expect(c.request()).To(Equal(http.StatusOK))
		s.limits.Store(&route.Limits{IdleTimeout: 5 * time.Second})
		time.Sleep(40 * time.Second)
		s.g.Expect(c.request()).To(Equal(http.StatusOK), "the caller may rely on the earlier idle time-out of a minute")
		s.g.Expect(s.dial().closedAfter()).To(Equal(5 * time.Second))

		s.limits.Store(&route.Limits{})
		s.g.Expect(s.dial().closedAfter()).To(Equal(defaultIdleTimeout))
	})
}

// Guards against a caller that sends a header without end.
func TestEndlessHeader(t *testing.T) {
	withServer(t, route.Limits{HeaderTimeout: 30 * time.Second}, func(s *testServer) {
		c := s.dial()
		_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n")
		s.g.Expect(err).NotTo(HaveOccurred())
		go func() { _, _ = io.Copy(io.Discard, c.reader) }() // the response
		sent := 0
		for ; err == nil && sent < 16<<20; sent += 8 << 10 {
			_, err = fmt.Fprintf(c.conn, "X-Field-%d: %s\r\n", sent, strings.Repeat("x", 8<<10))
		}
		s.g.Expect(sent).To(BeNumerically("<=", 3*maxHeaderBytes))
		_ = c.conn.Close()
	})
}

// Guards against limits that leave no room for requests, or exceed the descriptors and the
// memory of the machine.
func TestLimitsFollowMachineSize(t *testing.T) {
	g := NewWithT(t)
	with := func(more string) string { return minimal[:len(minimal)-1] + "," + more + "}" }
	s, err := ParseSettings([]byte(with(`"memory_mb":184,"descriptors":4100`)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.bodyMemory()).To(BeNumerically("<", 184<<20/2))
	g.Expect(s.maxRequests()).To(Equal(925))
	g.Expect(s.maxConnections() + 2*s.maxRequests()).To(BeNumerically("<=", 4100-reservedDescriptors))
	for _, invalid := range []string{`"memory_mb":1`, `"descriptors":10`, `"configuration_ms":0`} {
		_, err := ParseSettings([]byte(with(invalid)))
		g.Expect(err).To(HaveOccurred(), invalid)
	}
}
