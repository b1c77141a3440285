package gateway

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/route"
)

// Limits for callers while no configuration is known, or where it sets none.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds what is read of a header at all. Longer headers than the
	// configuration allows are answered with 431 up to this size.
	maxHeaderBytes = 256 << 10
)

var errHeaderTooLong = errors.New("the header is too long")

// callerListener gives connections of callers the time limits of the configuration
// in force. The HTTP server has fixed ones, and a connection outlives configurations.
type callerListener struct {
	net.Listener
	limits func() route.Limits
}

// Accept returns the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, limits: l.limits}
	c.beginIdle()
	return c, nil
}

// connPhase is what a connection of a caller waits for.
type connPhase int

const (
	idle          connPhase = iota // for the first byte of a request
	readingHeader                  // for the rest of a header
	serving                        // the request is being served; its handler sets deadlines
)

// callerConn is a connection of a caller. While it waits for a request, its read
// deadline follows the configuration; the server's own deadlines are ignored then. A
// shorter idle time holds for connections that are opened later.
type callerConn struct {
	net.Conn
	limits func() route.Limits

	mu          sync.Mutex // guards the fields below
	phase       connPhase
	phaseStart  time.Time     // beginning of the phase
	idleTimeout time.Duration // the longest since the connection was opened
	headerBytes int
}

// beginIdle begins the wait for a request.
func (c *callerConn) beginIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseStart, c.headerBytes = idle, time.Now(), 0
	// A caller that was allowed a longer time may still rely on it.
	c.idleTimeout = max(c.idleTimeout, orDefault(c.limits().IdleTimeout, defaultIdleTimeout))
	_ = c.Conn.SetReadDeadline(c.phaseStart.Add(c.idleTimeout)) // fails on a closed connection only
}

// beginServing ends the wait: a request has arrived.
func (c *callerConn) beginServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = serving
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection only
}

// SetReadDeadline sets the deadline of a request that is being served.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving {
		// The server's way to interrupt a read at shutdown is a deadline in the past.
		if !t.IsZero() && t.Before(time.Now()) {
			return c.Conn.SetReadDeadline(t)
		}
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the caller.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendIdle() {
			continue
		}
		if n > 0 {
			if headerErr := c.headerBytesReceived(n); headerErr != nil {
				return 0, headerErr
			}
		}
		return n, err
	}
}

// extendIdle reports whether a caller may be idle for longer than when it became idle,
// because the configuration has changed.
func (c *callerConn) extendIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	timeout := orDefault(c.limits().IdleTimeout, defaultIdleTimeout)
	if c.phase != idle || timeout <= c.idleTimeout || now.Sub(c.phaseStart) >= timeout {
		return false
	}
	c.idleTimeout = timeout
	return c.Conn.SetReadDeadline(c.phaseStart.Add(timeout)) == nil
}

// headerBytesReceived notes bytes of a header.
func (c *callerConn) headerBytesReceived(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		return nil
	}
	if c.phase == idle {
		c.phase, c.phaseStart = readingHeader, time.Now()
		timeout := orDefault(c.limits().HeaderTimeout, defaultHeaderTimeout)
		if err := c.Conn.SetReadDeadline(c.phaseStart.Add(timeout)); err != nil {
			return err
		}
	}
	// A body may follow at once, so the bytes bound the header only roughly.
	if c.headerBytes += n; c.headerBytes > 2*maxHeaderBytes {
		return errHeaderTooLong
	}
	return nil
}

// trackConnState is the server's hook for changes of a connection's state.
func trackConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.beginServing()
	case http.StateIdle:
		c.beginIdle()
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
