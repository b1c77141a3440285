package link_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/link/linktest"
)

const (
	echo   link.MessageType = "echo"
	count  link.MessageType = "count"
	region                  = "pohjola"
)

// directory resolves the link addresses of a test's instances.
type directory struct{ addresses sync.Map }

func (d *directory) resolve(id contract.InstanceID) (string, bool) {
	address, found := d.addresses.Load(id)
	if !found {
		return "", false
	}
	return address.(string), true
}

func newAuthority(t *testing.T) *linktest.Authority {
	a, err := linktest.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func start(t *testing.T, a *linktest.Authority, d *directory, in, id string) *link.QUICTransport {
	return startWithAuthority(t, a, a.CertificateFile, d, in, id)
}

func startWithAuthority(t *testing.T, a *linktest.Authority, authority string, d *directory, in, id string) *link.QUICTransport {
	g := NewWithT(t)
	certificate, key, err := a.Issue(in, id)
	g.Expect(err).NotTo(HaveOccurred())
	log := logrus.New()
	log.SetOutput(io.Discard)
	q, err := link.NewQUICTransport(link.Config{
		Address: "127.0.0.1:0", AuthorityFile: authority, CertificateFile: certificate, KeyFile: key, Resolve: d.resolve, Log: log,
	})
	g.Expect(err).NotTo(HaveOccurred())
	d.addresses.Store(contract.InstanceID(id), q.Address())
	q.Handle(echo, func(_ context.Context, peer contract.InstanceID, body []byte) ([]byte, error) {
		return append([]byte(peer+":"), body...), nil
	})
	q.Handle("refuse", func(context.Context, contract.InstanceID, []byte) ([]byte, error) { return nil, errors.New("no") })
	q.HandleStream(count, func(ctx context.Context, _ contract.InstanceID, body []byte, send func([]byte) error) error {
		for i := byte(0); i < body[0]; i++ {
			if err := send([]byte{i}); err != nil {
				return err
			}
		}
		if len(body) > 1 {
			<-ctx.Done()
		}
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = q.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return q
}

func request(q *link.QUICTransport, to contract.InstanceID, kind link.MessageType, body string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := q.Request(ctx, to, kind, []byte(body))
	return string(response), err
}

// Guards against responses to the wrong request and wrong peer identities, against
// one connection per request, and against duplicate connections that stay open
// when both sides dial.
func TestManyPeersShareOneConnectionPerPair(t *testing.T) {
	const instances, requests = 6, 20
	g := NewWithT(t)
	a, d := newAuthority(t), &directory{}
	var all []*link.QUICTransport
	for i := range instances {
		all = append(all, start(t, a, d, region, fmt.Sprintf("i%d", i)))
	}
	var wg sync.WaitGroup
	var failures atomic.Int64
	for _, q := range all {
		for _, other := range all {
			for n := range requests {
				if other == q {
					continue
				}
				wg.Go(func() {
					body := fmt.Sprint(n)
					response, err := request(q, other.Self().Instance, echo, body, 10*time.Second)
					if err != nil || response != string(q.Self().Instance)+":"+body {
						failures.Add(1)
					}
				})
			}
		}
	}
	wg.Wait()
	g.Expect(failures.Load()).To(BeZero())
	for _, q := range all {
		g.Eventually(func() int { return q.Stats().Connections }, "8s", "50ms").Should(Equal(instances - 1))
	}
}

// Guards against lost or reordered frames, and against handlers that continue after
// their consumer has closed the stream.
func TestFrames(t *testing.T) {
	g := NewWithT(t)
	a, d := newAuthority(t), &directory{}
	q := start(t, a, d, region, "a")
	start(t, a, d, region, "b")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	f, err := q.OpenStream(ctx, "b", count, []byte{200})
	g.Expect(err).NotTo(HaveOccurred())
	for i := range 200 {
		frame, err := f.Next(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(frame).To(Equal([]byte{byte(i)}))
	}
	_, err = f.Next(ctx)
	g.Expect(err).To(MatchError(io.EOF))
	f.Close()

	f, err = q.OpenStream(ctx, "b", count, []byte{1, 1})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.Next(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	f.Close()
	_, err = f.Next(ctx)
	g.Expect(err).To(HaveOccurred())
}

// Guards against accepting instances of another deployment or region, and against
// connection attempts of such instances that disturb accepted ones.
func TestForeignInstancesAreRefused(t *testing.T) {
	g := NewWithT(t)
	a, other, d := newAuthority(t), newAuthority(t), &directory{}
	own, second := start(t, a, d, region, "own"), start(t, a, d, region, "second")
	for _, foreign := range []*link.QUICTransport{
		start(t, other, d, region, "foreign"),
		startWithAuthority(t, other, a.CertificateFile, d, region, "trusting"), // trusts the authority, but its certificate is not trusted
		startWithAuthority(t, a, a.CertificateFile, d, "hokkaido", "distant"),
	} {
		before := own.Stats().RejectedConnections
		_, err := request(foreign, "own", echo, "x", 3*time.Second)
		g.Expect(err).To(HaveOccurred())
		_, err = request(own, foreign.Self().Instance, echo, "x", 3*time.Second)
		g.Expect(err).To(HaveOccurred())
		g.Expect(own.Stats().RejectedConnections).To(BeNumerically(">", before))
	}
	_, err := request(second, "own", echo, "x", 5*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against accepting an instance that responds at the address of another one.
func TestWrongInstanceAtAddressIsRefused(t *testing.T) {
	g := NewWithT(t)
	a, d := newAuthority(t), &directory{}
	q, b := start(t, a, d, region, "a"), start(t, a, d, region, "b")
	d.addresses.Store(contract.InstanceID("c"), b.Address())
	_, err := request(q, "c", echo, "x", 3*time.Second)
	g.Expect(err).To(MatchError(link.ErrUnreachable))
	g.Expect(q.Stats().RejectedConnections).To(BeNumerically(">=", 1))
}

// Guards against a rejected request that breaks the connection for other requests.
func TestRefusedRequestsLeaveConnectionInUse(t *testing.T) {
	g := NewWithT(t)
	a, d := newAuthority(t), &directory{}
	q, b := start(t, a, d, region, "a"), start(t, a, d, region, "b")
	_, err := request(q, "b", "refuse", "x", 5*time.Second)
	g.Expect(err).To(MatchError(link.ErrRejected))
	_, err = request(q, "b", "unknown", "x", 5*time.Second)
	g.Expect(err).To(MatchError(link.ErrRejected))
	_, err = request(q, "b", echo, string(make([]byte, link.MaxFrameBytes)), 5*time.Second)
	g.Expect(err).To(MatchError(link.ErrFrameTooLarge))
	_, err = request(q, "b", echo, "x", 5*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Stats().RejectedMessages).To(BeNumerically("==", 2))
	g.Expect(q.Stats().Dials).To(BeNumerically("==", 1))
}

// relay forwards UDP packets between clients and a target. blackhole drops the
// packets of all clients seen so far, permanently; new clients are not affected.
type relay struct {
	clientConn  *net.UDPConn
	target      *net.UDPAddr
	mu          sync.Mutex // guards the fields below
	targetConns map[string]*net.UDPConn
	blackholed  map[string]bool // clients whose packets to the target are dropped
	oneWay      bool            // a blackholed client still receives packets
	closing     bool
}

func newRelay(t *testing.T, target string) *relay {
	g := NewWithT(t)
	address, err := net.ResolveUDPAddr("udp", target)
	g.Expect(err).NotTo(HaveOccurred())
	clientConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	r := &relay{clientConn: clientConn, target: address, targetConns: map[string]*net.UDPConn{}, blackholed: map[string]bool{}}
	go r.run()
	t.Cleanup(r.close)
	return r
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing = true
	_ = r.clientConn.Close()
	for _, b := range r.targetConns {
		_ = b.Close()
	}
}

func (r *relay) blackhole(oneWay bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oneWay = oneWay
	for client := range r.targetConns {
		r.blackholed[client] = true
	}
}

func (r *relay) isBlackholed(client string, fromTarget bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blackholed[client] && !(fromTarget && r.oneWay)
}

func (r *relay) run() {
	buffer := make([]byte, 2048)
	for {
		n, client, err := r.clientConn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if conn := r.targetConn(client); conn != nil && !r.isBlackholed(client.String(), false) {
			_, _ = conn.Write(buffer[:n])
		}
	}
}

func (r *relay) targetConn(client *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.targetConns[client.String()]; b != nil || r.closing {
		return b
	}
	b, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.targetConns[client.String()] = b
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, err := b.Read(buffer)
			if err != nil {
				return
			}
			if !r.isBlackholed(client.String(), true) {
				_, _ = r.clientConn.WriteToUDP(buffer[:n], client)
			}
		}
	}()
	return b
}

// Guards against a connection whose packets are dropped permanently, in one or both
// directions, while new connections work: it must be replaced without waiting for
// its recovery.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, oneWay := range map[string]bool{"both directions": false, "one direction": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, d := newAuthority(t), &directory{}
			q, b := start(t, a, d, region, "a"), start(t, a, d, region, "b")
			r := newRelay(t, b.Address())
			d.addresses.Store(contract.InstanceID("b"), r.clientConn.LocalAddr().String())
			_, err := request(q, "b", echo, "x", 5*time.Second)
			g.Expect(err).NotTo(HaveOccurred())
			r.blackhole(oneWay)
			silentSince := time.Now()
			_, err = request(q, "b", echo, "x", time.Second)
			g.Expect(err).To(HaveOccurred())
			g.Eventually(func() error {
				_, err := request(q, "b", echo, "x", time.Second)
				return err
			}, "5s", "20ms").Should(Succeed())
			t.Logf("a response arrived %s after the connection became unresponsive", time.Since(silentSince).Round(time.Millisecond))
			g.Expect(q.Stats().UnresponsiveConnections).To(BeNumerically("==", 1))
		})
	}
}

// Guards against peers that cannot reach each other: the side whose connection is
// preferred does not detect that it is dead, and closes the working connection
// that the other side has dialled.
func TestReplacedConnectionStaysWhileInUse(t *testing.T) {
	g := NewWithT(t)
	a, d := newAuthority(t), &directory{}
	preferred, other := start(t, a, d, region, "a"), start(t, a, d, region, "b")
	r := newRelay(t, other.Address())
	d.addresses.Store(contract.InstanceID("b"), r.clientConn.LocalAddr().String())
	_, err := request(preferred, "b", echo, "x", 5*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	r.blackhole(false)
	_, err = request(other, "a", echo, "x", time.Second)
	g.Expect(err).To(HaveOccurred())
	dials := func() int64 { return other.Stats().Dials }
	g.Eventually(func() error {
		_, err := request(other, "a", echo, "x", time.Second)
		return err
	}, "5s", "20ms").Should(Succeed())
	before := dials()
	g.Consistently(func() error {
		_, err := request(other, "a", echo, "x", time.Second)
		return err
	}, "5s", "200ms").Should(Succeed())
	g.Expect(dials()).To(Equal(before))
}

// Guards against on-demand connections that accumulate to a full mesh, and against
// closing the connections of peers.
func TestIdleConnectionsToNonPeersClose(t *testing.T) {
	g := NewWithT(t)
	a, d := newAuthority(t), &directory{}
	q := start(t, a, d, region, "a")
	peer, other := start(t, a, d, region, "peer"), start(t, a, d, region, "other")
	q.SetPeers([]contract.InstanceID{"peer"})
	peer.SetPeers([]contract.InstanceID{"a"})
	for _, id := range []contract.InstanceID{"peer", "other"} {
		_, err := request(q, id, echo, "x", 5*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(func() int { return other.Stats().Connections }, "14s", "200ms").Should(BeZero())
	g.Expect(peer.Stats().Connections).To(Equal(1))
	g.Expect(q.Stats().Connections).To(Equal(1))
}
