package checkedhttp

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checkedDial returns a dial function whose connections check the heads of responses, and report a
// reset at the end of their data.
func checkedDial(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// conn is a connection that checks the heads of responses, and that does not end like one closed by
// its peer if it was reset.
type conn struct {
	net.Conn
	responseDue atomic.Bool // a request is about to be sent
	head        headScanner // owned by the reader, like headErr
	headErr     error       // result of all reads after an invalid line
}

// expectResponse checks the head of the response to the next request.
func (c *conn) expectResponse() { c.responseDue.Store(true) }

// errReset is the error of a reset that a write has already returned.
var errReset = os.NewSyscallError("read", syscall.ECONNRESET)

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	if c.headErr != nil {
		return 0, c.headErr
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.responseDue.Swap(false) {
		c.head.start()
	}
	if readable, headErr := c.head.scan(p[:n]); headErr != nil {
		c.headErr = headErr
		return readable, headErr
	}
	if err == io.EOF && wasReset(c.Conn) { // connections do not wrap io.EOF
		err = errReset
	}
	return n, err
}

// tcpClose is the state of a TCP socket after a reset (TCP_CLOSE in include/net/tcp_states.h).
// After an orderly close by the peer the state is TCP_CLOSE_WAIT.
const tcpClose = 7

// wasReset reports whether the peer has reset a connection that has no more data. The kernel returns
// the error of a reset to one system call only. If that is a write, reads return the end of the data.
func wasReset(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClose
	})
	return reset || err != nil // the transport closes a connection after a failed write
}
