package link

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"foxtailhub.example/foxtailhub/internal/contract"
)

const (
	// dialBackoff and maxDialBackoff bound the time between two attempts to
	// reach a peer. The maximum is short because a healed partition has to be
	// noticed within seconds.
	dialBackoff    = 100 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	// retireAfter is how long a replaced connection must be unused before it is
	// closed. The other side may still use it, where it knows that the connection
	// that this side prefers is dead.
	retireAfter = time.Second
)

// peer holds the connections to one instance. Its fields are guarded by QUIC.mu.
type peer struct {
	id      contract.InstanceID
	current *connection   // nil: none
	retired []*connection // replaced, until what runs on them has ended
	dialing chan struct{} // closed at the end of the attempt; nil: no attempt runs
	backoff *backoff.ExponentialBackOff
	retryAt time.Time
	lastErr error
}

func newPeer(id contract.InstanceID) *peer {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = dialBackoff
	b.MaxInterval = maxDialBackoff
	return &peer{id: id, backoff: b}
}

func (p *peer) connections() []*connection {
	all := slices.Clone(p.retired)
	if p.current != nil {
		all = append(all, p.current)
	}
	return all
}

// peer returns the entry of an instance. The caller holds mu.
func (q *QUIC) peer(id contract.InstanceID) *peer {
	p := q.peers[id]
	if p == nil {
		p = newPeer(id)
		q.peers[id] = p
	}
	return p
}

// acquire returns a connection to an instance, and dials if there is none. The
// caller releases it.
func (q *QUIC) acquire(ctx context.Context, id contract.InstanceID) (*connection, error) {
	for {
		q.mu.Lock()
		if q.stopped {
			q.mu.Unlock()
			return nil, errors.Wrap(ErrUnreachable, "link is stopped")
		}
		p := q.peer(id)
		if c := p.current; c != nil {
			c.beginRequest()
			q.mu.Unlock()
			return c, nil
		}
		if p.dialing == nil {
			if time.Now().Before(p.retryAt) {
				err := p.lastErr
				q.mu.Unlock()
				return nil, errors.Wrapf(ErrUnreachable, "%s: %v", id, err)
			}
			q.startDial(p)
		}
		attempt := p.dialing
		q.mu.Unlock()
		select {
		case <-attempt:
		case <-ctx.Done():
			return nil, errors.Wrapf(ErrUnreachable, "%s: %v", id, ctx.Err())
		}
	}
}

// startDial dials in the background, so that the end of one request does not
// end the attempt that others wait for. The caller holds mu.
func (q *QUIC) startDial(p *peer) {
	attempt := make(chan struct{})
	p.dialing = attempt
	q.running.Go(func() {
		c, err := q.dial(p.id)
		q.mu.Lock()
		p.dialing = nil
		p.lastErr = err
		if err != nil {
			p.retryAt = time.Now().Add(p.backoff.NextBackOff())
			q.counters.dialFailures.Add(1)
		}
		q.mu.Unlock()
		if err == nil {
			q.attach(c)
		}
		close(attempt)
	})
}

// dial connects to an instance from a socket of its own: where something on the
// path has stopped to forward the packets of a connection's address pair, a new
// connection must not use the same pair.
func (q *QUIC) dial(id contract.InstanceID) (*connection, error) {
	q.counters.dials.Add(1)
	address, found := q.config.Resolve(id)
	if !found {
		return nil, errors.New("address is not known")
	}
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	local := &net.UDPAddr{IP: q.socket.LocalAddr().(*net.UDPAddr).IP}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	release := func() {
		_ = transport.Close()
		_ = socket.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, remote, q.credentials.clientConfig(id, q.rejectedConnection), quicConfig())
	if err != nil {
		release()
		return nil, err
	}
	return newConnection(q, id, conn, true, release), nil
}

// attach puts a new connection into use.
func (q *QUIC) attach(c *connection) {
	q.mu.Lock()
	if q.stopped {
		q.mu.Unlock()
		c.close(codeStopping, "instance stops")
		c.cleanUp()
		return
	}
	p := q.peer(c.peer)
	// A peer that refuses the certificate of this instance does so after the
	// handshake has ended here. The backoff ends with the first answer.
	p.retryAt = time.Now().Add(p.backoff.NextBackOff())
	p.lastErr = errors.New("connection was closed")
	switch old := p.current; {
	case old == nil:
		p.current = c
	case q.isPreferred(c, old):
		p.retire(old)
		p.current = c
	default:
		p.retire(c)
	}
	q.running.Go(c.serve)
	q.mu.Unlock()
}

// resetBackoff ends the backoff of a peer that has answered.
func (q *QUIC) resetBackoff(c *connection) {
	if c.responded.Swap(true) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.peers[c.peer]; p != nil {
		p.backoff.Reset()
		p.retryAt = time.Time{}
	}
}

// isPreferred decides between two connections the same way on both sides. A side
// dials again only when its earlier connection is of no use to it, so the later
// of two connections by the same side wins. If both sides dialled, the one of
// the smaller identifier wins.
func (q *QUIC) isPreferred(c, old *connection) bool {
	if c.dialled == old.dialled {
		return true
	}
	smaller := q.credentials.self.Instance < c.peer
	return c.dialled == smaller
}

func (p *peer) retire(c *connection) {
	c.retiredAt = time.Now()
	p.retired = append(p.retired, c)
}

// detach removes a connection that has ended. A replaced connection that still
// works takes its place.
func (q *QUIC) detach(c *connection) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peers[c.peer]
	if p == nil {
		return
	}
	p.retired = slices.DeleteFunc(p.retired, func(other *connection) bool { return other == c })
	if p.current != c {
		return
	}
	p.current = nil
	if n := len(p.retired); n > 0 {
		p.current = p.retired[n-1]
		p.retired = p.retired[:n-1]
	}
}

func (q *QUIC) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.sweep(time.Now())
		}
	}
}

// sweep closes connections that are idle or replaced, and forgets instances
// without any.
func (q *QUIC) sweep(now time.Time) {
	q.mu.Lock()
	var idle, replaced []*connection
	for id, p := range q.peers {
		if c := p.current; c != nil && !q.keepOpen[id] && c.idleTime(now) > idleTimeout {
			idle = append(idle, c)
		}
		for _, c := range p.retired {
			if now.Sub(c.retiredAt) > retireAfter && c.idleTime(now) > retireAfter {
				replaced = append(replaced, c)
			}
		}
		if p.current == nil && len(p.retired) == 0 && p.dialing == nil && now.Sub(p.retryAt) > idleTimeout {
			delete(q.peers, id)
		}
	}
	q.mu.Unlock()
	for _, c := range idle {
		c.close(codeIdle, "idle")
	}
	for _, c := range replaced {
		c.close(codeDuplicate, "replaced")
	}
}
