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

// maxPushes bounds the heartbeats without sections to one peer that wait for an answer at a time, so
// that a silent peer does not collect goroutines.
const maxPushes = 4

// peerLink is the state of the exchange with one instance.
type peerLink struct {
	table   peerTable
	greeted bool // the peer has answered: it knows the entry of this instance
	regular bool // a heartbeat with sections waits for its answer
	again   bool // news came meanwhile that the next one must carry at once
	pushes  int  // heartbeats without sections that wait for their answers
}

// beatLoop sends heartbeats and keeps the peers up to date.
func (m *Membership) beatLoop(ctx context.Context) {
	begin := m.now()
	timer := time.NewTimer(beatTick)
	defer timer.Stop()
	nextBeat, nextPush := m.now(), m.now()
	nextHastened := m.now()
	pushDue, beatDue := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.push:
			pushDue = true
		case <-m.hasten:
			beatDue = true
		case <-timer.C:
		}
		now := m.now()
		if now >= nextBeat || beatDue && now >= nextHastened {
			nextBeat = now.after(m.jitter(m.config.Interval))
			m.maintain(now)
			m.beatAll(ctx, beatDue)
			beatDue, nextHastened = false, now.after(pushInterval)
		}
		if pushDue && now >= nextPush {
			pushDue, nextPush = false, now.after(pushInterval)
			m.pushAll(ctx)
		}
		wait := untilTick(now.since(begin), nextBeat.since(begin))
		if pushDue {
			wait = min(wait, nextPush.since(now))
		} else if beatDue {
			wait = min(wait, nextHastened.since(now))
		}
		timer.Reset(wait)
	}
}

// untilTick returns the time from now until the next multiple of beatTick that
// is not before due.
func untilTick(now, due time.Duration) time.Duration {
	next := max(due, now+1) + beatTick - 1
	return next.Truncate(beatTick) - now
}

// jitter returns a duration within 10% of d, so that instances do not send in step.
func (m *Membership) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d*9/10 + time.Duration(m.random.Int64N(int64(d/5)+1))
}

// maintain removes departed instances and selects the peers anew if the
// candidates have changed.
func (m *Membership) maintain(now instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.sweep(now)
	m.dirty.Store(true)
	if now.since(m.selected) < selectInterval && len(m.peers) > 0 {
		return
	}
	var candidates []failuredomain.Member
	for _, r := range m.ledger.ordered() {
		if r.candidate(now) {
			candidates = append(candidates, r.member.candidate())
		}
	}
	if slices.Equal(candidates, m.chosen) {
		return
	}
	m.chosen, m.selected = candidates, now
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

// dropLink forgets the exchange with an instance that is no longer a peer,
// unless it waits for an answer.
func (m *Membership) dropLink(id contract.InstanceID) {
	if p := m.links[id]; p != nil && !p.regular && p.pushes == 0 {
		delete(m.links, id)
	}
}

// beatAll sends a regular heartbeat to each peer and to one silent instance:
// without the latter, the two sides of a partition would never find each other again.
// A peer that has not answered the last one yet gets hastened news after its answer.
func (m *Membership) beatAll(ctx context.Context, hastened bool) {
	m.mu.Lock()
	targets := slices.Clone(m.peers)
	for _, id := range targets {
		if p := m.links[id]; p != nil {
			p.again = p.again || hastened && p.regular
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

// nextProbe returns the silent instances in turn. The caller holds mu.
func (m *Membership) nextProbe() (contract.InstanceID, bool) {
	now := m.now()
	var first, next contract.InstanceID
	for _, r := range m.ledger.ordered() {
		id := r.member.ID
		if r.candidate(now) || r.departed != never || slices.Contains(m.peers, id) {
			continue
		}
		first = cmp.Or(first, id)
		if id > m.probe {
			next = id
			break
		}
	}
	m.probe = cmp.Or(next, first)
	return m.probe, m.probe != ""
}

func (m *Membership) pushAll(ctx context.Context) {
	m.mu.Lock()
	targets := slices.Clone(m.peers)
	m.mu.Unlock()
	for _, id := range targets {
		m.send(ctx, id, false)
	}
}

// send starts one heartbeat, unless too many wait for an answer already. While a
// regular one waits, further ones go without sections: a lost message must not
// delay the contact by the whole timeout.
func (m *Membership) send(ctx context.Context, id contract.InstanceID, regular bool) {
	m.mu.Lock()
	p := m.links[id]
	if p == nil {
		p = &peerLink{}
		m.links[id] = p
	}
	regular = regular && !p.regular
	if !regular && p.pushes >= maxPushes {
		m.mu.Unlock()
		return
	}
	if regular {
		p.regular = true
	} else {
		p.pushes++
	}
	h := m.compose(p)
	m.mu.Unlock()
	m.sending.Go(func() {
		m.exchange(ctx, id, p, h, regular)
		m.mu.Lock()
		defer m.mu.Unlock()
		if regular {
			p.regular = false
			if p.again {
				p.again = false
				m.Hasten()
			}
		} else {
			p.pushes--
		}
		if !slices.Contains(m.peers, id) {
			m.dropLink(id)
		}
	})
}

// compose returns a heartbeat without sections. The caller holds mu.
func (m *Membership) compose(p *peerLink) heartbeat {
	h := heartbeat{Status: m.status, Epoch: p.table.epoch, Have: len(p.table.names)}
	h.Status.At = m.config.Clock.Now()
	if !p.greeted {
		self := m.config.Self.entry()
		h.Self = &self
	}
	return h
}

// exchange carries out one round trip and merges its answer.
func (m *Membership) exchange(ctx context.Context, id contract.InstanceID, p *peerLink, h heartbeat, regular bool) {
	if regular {
		h.Sections = m.collectSections(id)
	}
	delivered := m.roundTrip(ctx, id, p, h)
	if regular {
		m.settleSections(id, delivered)
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
	m.counters.out(len(body))
	reply, err := m.config.Transport.Request(ctx, id, MessageHeartbeat, body)
	if err != nil {
		m.failed(p)
		return false
	}
	m.counters.in(len(reply))
	a, err := decodeAnswer(reply)
	if err != nil {
		m.refused(id, err)
		return false
	}
	m.updateClock(id, a.Status)
	m.announceRoster(id, a.Status.Sequence)
	m.merge(id, p, a, m.announceHead(id, a.Status.Head), sent)
	return true
}

func (m *Membership) failed(p *peerLink) {
	m.counters.failures.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	p.greeted = false
}

func (m *Membership) merge(id contract.InstanceID, p *peerLink, a answer, current bool, sent instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.ledger.byID[id]
	if r == nil {
		return
	}
	p.greeted = true
	m.ledger.readAnswer(a, r, &p.table, m.accepts, current, m.status.Sequence, sent, m.now())
	m.dirty.Store(true)
}

// announceHead passes the head version of a peer on and reports whether this
// instance is current.
func (m *Membership) announceHead(id contract.InstanceID, head int64) bool {
	return m.config.Announce == nil || m.config.Announce(id, head)
}

// announceRoster passes the sequence of a newer roster on.
func (m *Membership) announceRoster(id contract.InstanceID, sequence int64) {
	m.mu.Lock()
	newer := sequence > m.status.Sequence
	m.mu.Unlock()
	if newer && m.config.AnnounceRoster != nil {
		m.config.AnnounceRoster(id, sequence)
	}
}

func (m *Membership) updateClock(id contract.InstanceID, s status) {
	if err := m.config.Clock.Update(s.At); err != nil {
		m.refused(id, err)
	}
}
