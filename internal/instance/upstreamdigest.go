package instance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Identifiers of the heartbeat sections. They are part of the protocol between
// instances and must never be reused.
const (
	sectionUpstreams uint8 = 1
	sectionDemand    uint8 = 2
)

// fullDigestInterval is how often a peer is sent a full digest. This repairs
// entries that the peer had to ignore, such as those of upstreams that were not
// in its configuration yet. A restart of a peer is detected by its run ID.
const fullDigestInterval = 10 * time.Minute

// repeatedContactsInterval is the minimum time between digests that contain only
// repeated contacts. In the meantime, the peer itself reports some of them or
// newer ones replace them. It is slightly less than two heartbeat intervals.
const repeatedContactsInterval = 850 * time.Millisecond

// upstreamSection sends the state of upstreams in heartbeats. Each peer gets only
// the changes since the last heartbeat that it acknowledged.
type upstreamSection struct {
	upstreams *upstream.Upstreams
	runID     uint32                         // random ID of this process, not 0
	onRestart func(peer contract.InstanceID) // called with peers that were restarted; optional

	mu    sync.Mutex // guards peers
	peers map[contract.InstanceID]*digestProgress
}

// digestProgress is the state of sending digests to one peer.
type digestProgress struct {
	acknowledged    uint64
	sent            uint64
	lastFullAt      time.Time
	runID           uint32 // of the peer's process; 0: unknown
	runAcknowledged bool   // the peer has the run ID of this process
	lastSentAt      time.Time
}

func newUpstreamSection(upstreams *upstream.Upstreams) *upstreamSection {
	return &upstreamSection{
		upstreams: upstreams,
		runID:     1 + rand.Uint32N(math.MaxUint32),
		peers:     map[contract.InstanceID]*digestProgress{},
	}
}

func (s *upstreamSection) section() membership.Section {
	return membership.Section{ID: sectionUpstreams, Collect: s.collect, Receive: s.receive, OnResult: s.recordResult}
}

func (s *upstreamSection) collect(peer contract.InstanceID) []byte {
	now := time.Now()
	digest := s.upstreams.DigestFor(peer, s.startDigest(peer, now))
	if !s.finishDigest(peer, &digest, now) {
		return nil
	}
	data, err := link.Encode(digest)
	contract.Invariant(err == nil, "digest of upstreams can be encoded", "error", err)
	return data
}

// finishDigest completes a digest and reports whether to send it now.
func (s *upstreamSection) finishDigest(peer contract.InstanceID, digest *upstream.Digest, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.progressOf(peer)
	progress.sent = progress.acknowledged
	if !progress.runAcknowledged {
		digest.SenderRun = s.runID
	}
	if digest.OnlyCompactContacts() && now.Sub(progress.lastSentAt) < repeatedContactsInterval {
		return false
	}
	progress.sent, progress.lastSentAt = digest.Seq, now
	digest.Seq = 0 // not needed by the peer
	return !digest.Empty() || digest.SenderRun != 0
}

// startDigest returns the sequence number up to which the peer has all changes;
// 0 if a full digest is due.
func (s *upstreamSection) startDigest(peer contract.InstanceID, now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.progressOf(peer)
	if now.Sub(progress.lastFullAt) >= fullDigestInterval {
		progress.lastFullAt = now
		progress.acknowledged = 0
	}
	return progress.acknowledged
}

// progressOf returns the state of a peer. Callers must hold mu.
func (s *upstreamSection) progressOf(peer contract.InstanceID) *digestProgress {
	progress := s.peers[peer]
	if progress == nil {
		progress = &digestProgress{}
		s.peers[peer] = progress
	}
	return progress
}

func (s *upstreamSection) receive(peer contract.InstanceID, data []byte) error {
	var digest upstream.Digest
	if err := link.Decode(data, &digest); err != nil {
		return err
	}
	if s.recordRun(peer, digest.SenderRun) {
		s.upstreams.PeerRestarted()
		if s.onRestart != nil {
			s.onRestart(peer)
		}
	}
	s.upstreams.ApplyDigest(peer, digest)
	return nil
}

// recordRun resets the state of a peer that was restarted: the peer has lost the
// acknowledged changes, and may have acknowledged a partial digest since.
func (s *upstreamSection) recordRun(peer contract.InstanceID, run uint32) (restarted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.progressOf(peer)
	if run == 0 || run == progress.runID {
		return false
	}
	restarted = progress.runID != 0
	if restarted {
		progress.acknowledged, progress.sent, progress.runAcknowledged = 0, 0, false
	}
	progress.runID = run
	return restarted
}

// recordResult records whether the last digest was delivered. Changes in a lost
// heartbeat are sent again.
func (s *upstreamSection) recordResult(peer contract.InstanceID, delivered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.peers[peer]
	if progress == nil {
		return
	}
	if !delivered {
		progress.runAcknowledged = false
		return
	}
	progress.acknowledged, progress.runAcknowledged = progress.sent, true
}
