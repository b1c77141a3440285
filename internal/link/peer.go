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
	// dialBackoff and maxDialBackoff are the initial and the maximum time between
	// two dials of a peer. The maximum is short so that the end of a network
	// partition is detected within seconds.
	dialBackoff    = 100 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	// retiredGracePeriod is how long a replaced connection must be unused before it is
	// closed. The peer may still use it if it has detected that the connection
	// preferred by this side is dead.
	retiredGracePeriod = time.Second
)

// peer holds the connections to one instance, guarded by QUICTransport.mu.
type peer struct {
	id      contract.InstanceID
	current *connection   // nil: none
	retired []*connection // replaced, open until their requests have ended
	dialing chan struct{} // closed when the dial has ended; nil: not dialling
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
func (q *QUICTransport) peer(id contract.InstanceID) *peer {
	p := q.peers[id]
	if p == nil {
		p = newPeer(id)
		q.peers[id] = p
	}
	return p
}

// acquire returns a connection to an instance, and dials if there is none. It
// begins a request on the connection, which the caller ends with endRequest.
func (q *QUICTransport) acquire(ctx context.Context, id contract.InstanceID) (*connection, error) {
	for {
		q.mu.Lock()
		if q.stopped {
			q.mu.Unlock()
			return nil, errors.Wrap(ErrUnreachable, "link has stopped")
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

// startDial dials in the background, so that a cancelled request does not cancel
// the dial that other requests wait for. The caller holds mu.
func (q *QUICTransport) startDial(p *peer) {
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

// dial connects to an instance from a new socket. If the network path drops the
// packets of an earlier connection's address pair, the new connection must not
// use the same pair.
func (q *QUICTransport) dial(id contract.InstanceID) (*connection, error) {
	q.counters.dials.Add(1)
	address, found := q.config.Resolve(id)
	if !found {
		return nil, errors.New("unknown address")
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
	conn, err := transport.Dial(ctx, remote, q.credentials.clientConfig(id, q.recordRejectedConnection), quicConfig())
	if err != nil {
		release()
		return nil, err
	}
	return newConnection(q, id, conn, true, release), nil
}

// attach registers a new connection and serves the peer's requests on it.
func (q *QUICTransport) attach(c *connection) {
	q.mu.Lock()
	if q.stopped {
		q.mu.Unlock()
		c.close(codeStopping, "instance stops")
		c.cleanUp()
		return
	}
	p := q.peer(c.peer)
	// A peer that rejects the certificate of this instance does so after the
	// handshake has completed on this side. Therefore only the first response
	// resets the backoff.
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

// resetBackoff resets the dial backoff of a peer at the first response on a connection.
func (q *QUICTransport) resetBackoff(c *connection) {
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

// isPreferred reports whether a new connection replaces an old one; both sides
// decide identically. A side dials again only when its earlier connection is
// unusable, so the later of two connections dialled by one side wins. If both
// sides dialled, the connection of the side with the smaller identifier wins.
func (q *QUICTransport) isPreferred(c, old *connection) bool {
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

// detach removes a closed connection. If it was the current one, the latest of the
// retired connections takes its place.
func (q *QUICTransport) detach(c *connection) {
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

func (q *QUICTransport) sweepLoop(ctx context.Context) {
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

// sweep closes idle and replaced connections, and removes peers without connections.
func (q *QUICTransport) sweep(now time.Time) {
	q.mu.Lock()
	var idle, replaced []*connection
	for id, p := range q.peers {
		if c := p.current; c != nil && !q.keepOpen[id] && c.idleTime(now) > idleTimeout {
			idle = append(idle, c)
		}
		for _, c := range p.retired {
			if now.Sub(c.retiredAt) > retiredGracePeriod && c.idleTime(now) > retiredGracePeriod {
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
