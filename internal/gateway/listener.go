package gateway

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/conndrain"
	"foxtailhub.example/foxtailhub/internal/route"
)

// Limits for callers before a configuration is loaded, or where it sets none.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the bytes read of a header. Headers up to this size that
	// exceed the limit of the configuration get a 431.
	maxHeaderBytes = 256 << 10
)

var errHeaderTooLong = errors.New("request header too long")

// callerListener applies the time-outs of the configuration in force to connections of
// callers. The time-outs of http.Server are fixed, and connections outlive configurations.
type callerListener struct {
	*conndrain.Listener
	limits func() route.Limits
}

func newCallerListener(listener net.Listener, limits func() route.Limits) callerListener {
	return callerListener{Listener: conndrain.NewListener(listener), limits: limits}
}

// Accept returns the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptConn()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, limits: l.limits}
	c.beginIdle()
	return c, nil
}

// connPhase is the state of a connection of a caller.
type connPhase int

const (
	idle          connPhase = iota // waits for the first byte of a request
	readingHeader                  // waits for the rest of a header
	serving                        // serves a request, whose handler sets the deadlines
)

// callerConn is a connection of a caller. While it waits for a request, its read deadline
// follows the configuration, and deadlines set by the server are ignored. A shorter idle
// time-out applies only to connections opened after the change.
type callerConn struct {
	*conndrain.Conn
	limits func() route.Limits

	mu          sync.Mutex // guards the fields below
	phase       connPhase
	phaseStart  time.Time     // start of the phase
	idleTimeout time.Duration // longest idle time-out since the connection was opened
	headerBytes int
}

// beginIdle starts the wait for a request and sets the idle deadline.
func (c *callerConn) beginIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseStart, c.headerBytes = idle, time.Now(), 0
	// A caller may still rely on a longer time-out that was in force before.
	c.idleTimeout = max(c.idleTimeout, orDefault(c.limits().IdleTimeout, defaultIdleTimeout))
	_ = c.Conn.SetReadDeadline(c.phaseStart.Add(c.idleTimeout)) // fails on a closed connection only
}

// beginServing clears the read deadline when a request has arrived.
func (c *callerConn) beginServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = serving
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection only
}

// SetReadDeadline sets the read deadline of the request being served. In the other phases
// it has an effect only for a deadline in the past.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving {
		// The server sets a deadline in the past to interrupt a read.
		if !t.IsZero() && t.Before(time.Now()) {
			return c.Conn.SetReadDeadline(t)
		}
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the caller, and applies the idle time-out and the bounds of the header.
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

// extendIdle extends the idle deadline if the configuration has changed to a longer
// time-out since the connection became idle, and reports whether it did.
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

// headerBytesReceived counts bytes of a header; the first starts the header time-out.
func (c *callerConn) headerBytesReceived(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == serving:
		return nil
	case c.phase == idle:
		c.phase, c.phaseStart = readingHeader, time.Now()
		timeout := orDefault(c.limits().HeaderTimeout, defaultHeaderTimeout)
		if err := c.Conn.SetReadDeadline(c.phaseStart.Add(timeout)); err != nil {
			return err
		}
	}
	// The bytes may include the start of a body, so they bound the header only roughly.
	if c.headerBytes += n; c.headerBytes > 2*maxHeaderBytes {
		return errHeaderTooLong
	}
	return nil
}

// trackConnState is the ConnState hook of the server.
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
		c.EndUse()
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
