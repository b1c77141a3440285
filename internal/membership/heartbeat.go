package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/failuredomain"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

// maxPushesInFlight bounds the unanswered heartbeats without sections per peer,
// so that goroutines for a silent peer do not accumulate.
const maxPushesInFlight = 4

// peerLink is the state of the heartbeat exchange with one instance.
type peerLink struct {
	table           peerTable
	introduced      bool // the peer has responded, so it has the entry of this instance
	regularInFlight bool // a heartbeat with sections waits for its response
	resend          bool // new data arrived meanwhile; send the next heartbeat immediately
	pushesInFlight  int  // heartbeats without sections that wait for their responses
}

// heartbeatLoop sends heartbeats and updates the selection of peers.
func (m *Membership) heartbeatLoop(ctx context.Context) {
	start := m.now()
	timer := time.NewTimer(heartbeatTick)
	defer timer.Stop()
	nextHeartbeat, nextPush := m.now(), m.now()
	nextEarly := m.now()
	pushPending, earlyPending := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.pushDue:
			pushPending = true
		case <-m.sendDue:
			earlyPending = true
		case <-timer.C:
		}
		now := m.now()
		if now >= nextHeartbeat || earlyPending && now >= nextEarly {
			nextHeartbeat = now.after(m.jitter(m.config.Interval))
			m.updatePeers(now)
			m.sendHeartbeats(ctx, earlyPending)
			earlyPending, nextEarly = false, now.after(pushInterval)
		}
		if pushPending && now >= nextPush {
			pushPending, nextPush = false, now.after(pushInterval)
			m.pushAll(ctx)
		}
		wait := untilNextTick(now.since(start), nextHeartbeat.since(start))
		if pushPending {
			wait = min(wait, nextPush.since(now))
		} else if earlyPending {
			wait = min(wait, nextEarly.since(now))
		}
		timer.Reset(wait)
	}
}

// untilNextTick returns the time from now until the first multiple of
// heartbeatTick at or after due.
func untilNextTick(now, due time.Duration) time.Duration {
	next := max(due, now+1) + heartbeatTick - 1
	return next.Truncate(heartbeatTick) - now
}

// jitter returns a duration within 10% of d, so that instances do not send in
// lockstep.
func (m *Membership) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d*9/10 + time.Duration(m.random.Int64N(int64(d/5)+1))
}

// updatePeers removes departed instances and reselects the peers if the
// candidates have changed.
func (m *Membership) updatePeers(now instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.sweep(now)
	m.viewOutdated.Store(true)
	if now.since(m.selectedAt) < selectInterval && len(m.peers) > 0 {
		return
	}
	var candidates []failuredomain.Member
	for _, r := range m.members.sortedRecords() {
		if r.peerCandidate(now) {
			candidates = append(candidates, r.member.candidate())
		}
	}
	if slices.Equal(candidates, m.candidates) {
		return
	}
	m.candidates, m.selectedAt = candidates, now
	m.setPeers(failuredomain.Peers(m.config.Self.candidate(), candidates, failuredomain.MaxPeers))
}

// setPeers replaces the peers. The caller holds mu.
func (m *Membership) setPeers(selected []failuredomain.Member) {
	peers := make([]contract.InstanceID, len(selected))
	for i, p := range selected {
		peers[i] = p.ID
	}
	if slices.Equal(peers, m.peers) {
		return
	}
	for _, id := range peers {
		if !slices.Contains(m.peers, id) {
			m.config.Recorder.Record(timeline.Event{Kind: timeline.PeerChanged, Detail: "peer=" + string(id) + " selected=true"})
		}
	}
	for _, id := range m.peers {
		if !slices.Contains(peers, id) {
			m.config.Recorder.Record(timeline.Event{Kind: timeline.PeerChanged, Detail: "peer=" + string(id) + " selected=false"})
			m.dropLink(id)
		}
	}
	m.peers = peers
	m.config.Transport.SetPeers(peers)
}

// dropLink discards the exchange state of an instance that is no longer a peer,
// unless a response is outstanding.
func (m *Membership) dropLink(id contract.InstanceID) {
	if p := m.links[id]; p != nil && !p.regularInFlight && p.pushesInFlight == 0 {
		delete(m.links, id)
	}
}

// sendHeartbeats sends a regular heartbeat to each peer and probes one silent
// instance, so that the two sides of a partition find each other again after it
// heals. If a peer has not responded to the last regular heartbeat yet, an
// early one is sent after its response.
func (m *Membership) sendHeartbeats(ctx context.Context, early bool) {
	m.mu.Lock()
	targets := slices.Clone(m.peers)
	for _, id := range targets {
		if p := m.links[id]; p != nil {
			p.resend = p.resend || early && p.regularInFlight
		}
	}
	if id, found := m.nextProbe(); found {
		targets = append(targets, id)
	}
	m.mu.Unlock()
	for _, id := range targets {
		m.send(ctx, id, true)
	}
}

// nextProbe returns the next silent instance in round-robin order. The caller holds
// mu.
func (m *Membership) nextProbe() (contract.InstanceID, bool) {
	now := m.now()
	var first, next contract.InstanceID
	for _, r := range m.members.sortedRecords() {
		id := r.member.ID
		if r.peerCandidate(now) || r.departedAt != never || slices.Contains(m.peers, id) {
			continue
		}
		first = cmp.Or(first, id)
		if id > m.lastProbed {
			next = id
			break
		}
	}
	m.lastProbed = cmp.Or(next, first)
	return m.lastProbed, m.lastProbed != ""
}

func (m *Membership) pushAll(ctx context.Context) {
	m.mu.Lock()
	targets := slices.Clone(m.peers)
	m.mu.Unlock()
	for _, id := range targets {
		m.send(ctx, id, false)
	}
}

// send starts one heartbeat, unless too many are in flight to the instance.
// While a regular heartbeat is in flight, further ones carry no sections: a
// lost message must not delay the next contact by the whole request timeout.
func (m *Membership) send(ctx context.Context, id contract.InstanceID, regular bool) {
	m.mu.Lock()
	p := m.links[id]
	if p == nil {
		p = &peerLink{}
		m.links[id] = p
	}
	regular = regular && !p.regularInFlight
	if !regular && p.pushesInFlight >= maxPushesInFlight {
		m.mu.Unlock()
		return
	}
	if regular {
		p.regularInFlight = true
	} else {
		p.pushesInFlight++
	}
	h := m.newHeartbeat(p)
	m.mu.Unlock()
	m.inFlight.Go(func() {
		m.exchange(ctx, id, p, h, regular)
		m.mu.Lock()
		defer m.mu.Unlock()
		if regular {
			p.regularInFlight = false
			if p.resend {
				p.resend = false
				m.SendNow()
			}
		} else {
			p.pushesInFlight--
		}
		if !slices.Contains(m.peers, id) {
			m.dropLink(id)
		}
	})
}

// newHeartbeat returns a heartbeat without sections. The caller holds mu.
func (m *Membership) newHeartbeat(p *peerLink) heartbeat {
	h := heartbeat{Status: m.status, Epoch: p.table.epoch, HaveEntries: len(p.table.records)}
	h.Status.At = m.config.Clock.Now()
	if !p.introduced {
		self := m.config.Self.entry()
		h.Self = &self
	}
	return h
}

// exchange performs one round trip, with the sections if regular is set.
func (m *Membership) exchange(ctx context.Context, id contract.InstanceID, p *peerLink, h heartbeat, regular bool) {
	if regular {
		h.Sections = m.collectSections(id)
	}
	delivered := m.roundTrip(ctx, id, p, h)
	if regular {
		m.reportDelivery(id, delivered)
	}
}

func (m *Membership) roundTrip(ctx context.Context, id contract.InstanceID, p *peerLink, h heartbeat) bool {
	body, err := link.Encode(h)
	if err != nil {
		m.log.WithError(err).Error("cannot encode a heartbeat")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.RequestTimeout)
	defer cancel()
	sent := m.now()
	m.counters.countOut(len(body))
	reply, err := m.config.Transport.Request(ctx, id, MessageHeartbeat, body)
	if err != nil {
		m.countFailure(p)
		return false
	}
	m.counters.countIn(len(reply))
	resp, err := decodeResponse(reply)
	if err != nil {
		m.reject(id, err)
		return false
	}
	m.updateClock(id, resp.Status)
	m.notifyNewerRoster(id, resp.Status.Sequence)
	m.mergeResponse(id, p, resp, m.notifyPeerHead(id, resp.Status.HeadVersion), sent)
	return true
}

func (m *Membership) countFailure(p *peerLink) {
	m.counters.failures.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	p.introduced = false
}

func (m *Membership) mergeResponse(id contract.InstanceID, p *peerLink, resp response, current bool, sent instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.members.byID[id]
	if r == nil {
		return
	}
	p.introduced = true
	m.members.mergeResponse(resp, r, &p.table, m.accepts, current, m.status.Sequence, sent, m.now())
	m.viewOutdated.Store(true)
}

// notifyPeerHead passes on the head version of a peer and returns whether this
// instance is current.
func (m *Membership) notifyPeerHead(id contract.InstanceID, head int64) bool {
	return m.config.OnPeerHead == nil || m.config.OnPeerHead(id, head)
}

// notifyNewerRoster passes on the sequence of a roster newer than the own one.
func (m *Membership) notifyNewerRoster(id contract.InstanceID, sequence int64) {
	m.mu.Lock()
	newer := sequence > m.status.Sequence
	m.mu.Unlock()
	if newer && m.config.OnNewerRoster != nil {
		m.config.OnNewerRoster(id, sequence)
	}
}

func (m *Membership) updateClock(id contract.InstanceID, s status) {
	if err := m.config.Clock.Update(s.At); err != nil {
		m.reject(id, err)
	}
}
