package membership

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
)

// counters count heartbeats and the bytes of their bodies, requests and
// responses alike.
type counters struct {
	messagesIn, messagesOut, bytesIn, bytesOut, failures, rejected atomic.Int64
}

func (c *counters) countIn(bytes int)  { c.messagesIn.Add(1); c.bytesIn.Add(int64(bytes)) }
func (c *counters) countOut(bytes int) { c.messagesOut.Add(1); c.bytesOut.Add(int64(bytes)) }

// Stats counts heartbeats since the start.
type Stats struct {
	MessagesIn, MessagesOut int64 // requests and responses
	BytesIn, BytesOut       int64 // message bodies, without transport overhead
	FailedRequests          int64 // requests without a response
	Rejected                int64 // invalid requests, responses and sections
}

// Stats returns the counters.
func (m *Membership) Stats() Stats {
	c := &m.counters
	return Stats{
		MessagesIn: c.messagesIn.Load(), MessagesOut: c.messagesOut.Load(),
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
		FailedRequests: c.failures.Load(), Rejected: c.rejected.Load(),
	}
}

func (m *Membership) reject(peer contract.InstanceID, err error) {
	m.counters.rejected.Add(1)
	m.log.WithField("peer", peer).WithError(err).Warn("refused part of a heartbeat")
}

// handleHeartbeat responds to the heartbeat of another instance. It does not
// count as a contact with the sender, because the response may not arrive
// there.
func (m *Membership) handleHeartbeat(_ context.Context, peer contract.InstanceID, body []byte) ([]byte, error) {
	m.counters.countIn(len(body))
	h, err := decodeHeartbeat(body)
	if err == nil && h.Self != nil && (h.Self.ID != peer || !m.accepts(h.Self.Region)) {
		err = errors.Wrapf(ErrHeartbeatInvalid, "entry of %s in region %s", h.Self.ID, h.Self.Region)
	}
	if err != nil {
		m.reject(peer, err)
		return nil, err
	}
	m.updateClock(peer, h.Status)
	resp := m.buildResponse(peer, h)
	m.receiveSections(peer, h.Sections)
	m.notifyPeerHead(peer, h.Status.HeadVersion)
	m.notifyNewerRoster(peer, h.Status.Sequence)
	reply, err := link.Encode(resp)
	if err == nil {
		m.counters.countOut(len(reply))
	}
	return reply, err
}

func (m *Membership) buildResponse(peer contract.InstanceID, h heartbeat) response {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.observeSender(peer, h, now)
	table := &peerTable{}
	if p := m.links[peer]; p != nil {
		table = &p.table
	}
	resp := response{Status: m.status}
	resp.Status.At = m.config.Clock.Now()
	m.members.writeResponse(&resp, h, peer, table, now)
	return resp
}

// observeSender applies the sender's own entry and state. The caller holds mu.
func (m *Membership) observeSender(peer contract.InstanceID, h heartbeat, now instant) {
	r := m.members.byID[peer]
	if h.Self != nil {
		r = m.members.add(h.Self.member(), now)
		if r != nil {
			r.member = h.Self.member()
		}
	}
	if r == nil {
		return
	}
	r.lastSeen = now
	if h.Status.State == Draining {
		r.applyState(Draining, now)
		m.viewOutdated.Store(true)
	}
}
