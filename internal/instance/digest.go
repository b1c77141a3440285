package instance

import (
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

// Identifiers of the digest sections. They are part of the protocol between
// instances and must never be reused.
const (
	sectionUpstreams uint8 = 1
	sectionDemand    uint8 = 2
)

// fullDigestInterval is how often a peer is sent everything. A peer that was
// restarted between two heartbeats has forgotten what it once acknowledged.
const fullDigestInterval = 30 * time.Second

// upstreamSection passes on what is known of upstreams: to each peer what has
// changed since the last heartbeat that it acknowledged.
type upstreamSection struct {
	upstreams *upstream.Upstreams

	mu    sync.Mutex // guards peers
	peers map[contract.InstanceID]*digestProgress
}

// digestProgress is how far a peer has followed.
type digestProgress struct {
	acknowledged uint64
	sent         uint64
	fullAt       time.Time
}

func newUpstreamSection(upstreams *upstream.Upstreams) *upstreamSection {
	return &upstreamSection{upstreams: upstreams, peers: map[contract.InstanceID]*digestProgress{}}
}

func (s *upstreamSection) section() membership.Section {
	return membership.Section{ID: sectionUpstreams, Collect: s.collect, Learn: s.learn, Settled: s.settled}
}

func (s *upstreamSection) collect(peer contract.InstanceID) []byte {
	digest := s.upstreams.DigestFor(peer, s.begin(peer, time.Now()))
	s.mu.Lock()
	s.peers[peer].sent = digest.Seq
	s.mu.Unlock()
	if digest.Empty() {
		return nil
	}
	data, err := link.Encode(digest)
	contract.Invariant(err == nil, "digest of upstreams can be encoded", "error", err)
	return data
}

// begin returns the number after which the peer lacks changes.
func (s *upstreamSection) begin(peer contract.InstanceID, now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.peers[peer]
	if progress == nil {
		progress = &digestProgress{}
		s.peers[peer] = progress
	}
	if now.Sub(progress.fullAt) >= fullDigestInterval {
		progress.fullAt = now
		progress.acknowledged = 0
	}
	return progress.acknowledged
}

func (s *upstreamSection) learn(peer contract.InstanceID, data []byte) error {
	var digest upstream.Digest
	if err := link.Decode(data, &digest); err != nil {
		return err
	}
	s.upstreams.Learn(peer, digest)
	return nil
}

// settled notes what the peer has learned. After a lost heartbeat everything is
// sent again: the peer may have been restarted.
func (s *upstreamSection) settled(peer contract.InstanceID, delivered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.peers[peer]
	if progress == nil {
		return
	}
	if !delivered {
		progress.acknowledged = 0
		return
	}
	progress.acknowledged = progress.sent
}

// demandSection passes on this instance's demand per active workspace.
func demandSection(admission *workspace.Admission) membership.Section {
	return membership.Section{
		ID: sectionDemand,
		Collect: func(contract.InstanceID) []byte {
			entries := admission.Demand()
			if len(entries) == 0 {
				return nil
			}
			data, err := link.Encode(entries)
			contract.Invariant(err == nil, "demand can be encoded", "error", err)
			return data
		},
		Learn: func(peer contract.InstanceID, data []byte) error {
			var entries []workspace.DemandEntry
			if err := link.Decode(data, &entries); err != nil {
				return err
			}
			admission.Learn(peer, entries)
			return nil
		},
	}
}
