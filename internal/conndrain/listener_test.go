package conndrain

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// connect returns a listener over loopback and both ends of a connection.
func connect(t *testing.T) (l *Listener, caller net.Conn, accepted *Conn) {
	g := NewWithT(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l = NewListener(tcp)
	caller, err = net.Dial("tcp", tcp.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err = l.AcceptConn()
	g.Expect(err).NotTo(HaveOccurred())
	for _, conn := range []net.Conn{caller, accepted} {
		g.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		t.Cleanup(func() { _ = conn.Close() })
	}
	return l, caller, accepted
}

// Guards against an exit that waits forever for a request whose rest never comes, and against closing its connection before.
func TestDrainWaitsForRequestUntilItsContextEnds(t *testing.T) {
	g := NewWithT(t)
	l, caller, accepted := connect(t)
	_, err := io.WriteString(caller, "G")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = accepted.Read(make([]byte, 10))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(t.Context(), 3*pollInterval)
	defer cancel()
	g.Expect(l.Drain(ctx)).To(MatchError(ContainSubstring("1 connections are still open")))
	_, err = accepted.Write([]byte("answer"))
	g.Expect(err).NotTo(HaveOccurred())
	accepted.EndUse()
	g.Expect(l.closeIdle()).To(BeZero())
	g.Expect(io.ReadAll(caller)).To(Equal([]byte("answer")))
}

// Guards against a request that reaches the server although its connection was closed as idle: it would run without an answer.
func TestNothingIsReadFromAConnectionClosedAsIdle(t *testing.T) {
	g := NewWithT(t)
	l := NewListener(nil)
	caller, server := net.Pipe()
	defer caller.Close()
	c := &Conn{Conn: stillOpen{server}, onClose: l.remove}
	l.open[c] = struct{}{}
	go func() { _, _ = io.WriteString(caller, "G") }() // sent before the close, read after it
	g.Expect(l.closeIdle()).To(BeZero())
	n, err := c.Read(make([]byte, 10))
	g.Expect(n).To(BeZero())
	g.Expect(err).To(MatchError(net.ErrClosed))
}

// stillOpen is a connection that a read still returns data from after its close.
type stillOpen struct{ net.Conn }

func (stillOpen) Close() error { return nil }

// Guards against a response that is discarded by the close of a connection whose caller still sends.
func TestConnectionClosesOneDirection(t *testing.T) {
	g := NewWithT(t)
	_, caller, accepted := connect(t)
	g.Expect(accepted.CloseWrite()).To(Succeed())
	g.Expect(io.ReadAll(caller)).To(BeEmpty())
	_, err := io.WriteString(caller, "body")
	g.Expect(err).NotTo(HaveOccurred())
	got := make([]byte, 4)
	_, err = io.ReadFull(accepted, got)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal("body"))
}
