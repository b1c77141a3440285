package forward

import (
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a stream that waits until its deadline on a connection to a machine that is gone.
func TestConnectionsToUpstreamsHaveShortKeepAlive(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	transport := newTransport()
	conn, err := transport.DialContext(t.Context(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	option := func(level, name int) (value int) {
		g.Expect(raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), level, name)
		})).To(Succeed())
		g.Expect(err).NotTo(HaveOccurred())
		return value
	}
	g.Expect(option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)).To(Equal(1))
	seconds := int(keepAliveInterval.Seconds())
	g.Expect(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)).To(Equal(seconds))
	g.Expect(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)).To(Equal(seconds))
	g.Expect(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)).To(Equal(keepAliveCount))
}
