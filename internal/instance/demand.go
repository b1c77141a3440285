package instance

import (
	"maps"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

// demandRefresh is how often an unchanged demand is sent again. Package workspace
// drops a demand after 30 s; a third of that is left for lost heartbeats.
const demandRefresh = 20 * time.Second

// demandSection sends this instance's demand per active workspace in heartbeats.
// Each peer gets only the entries that changed since its last acknowledgement.
type demandSection struct {
	admission *workspace.Admission

	mu          sync.Mutex // guards all fields below
	peers       map[contract.InstanceID]*demandProgress
	namesByPeer map[contract.InstanceID]*receivedNames
}

// receivedNames maps labels to the workspace names that a peer has sent. A label
// shared by two names maps to "" and identifies neither.
type receivedNames struct {
	byLabel      map[demandLabel]contract.WorkspaceID
	lastDigestAt time.Time
}

// receivedNamesLifetime is how long the names from a peer are kept after its last
// digest. It must exceed labelLifetime, the time for which the peer assumes that
// this instance has them.
const (
	receivedNamesLifetime = 5 * time.Minute
	labelLifetime         = 2 * demandRefresh
)

// maxReceivedNames bounds the memory that a faulty peer can make this instance use.
const maxReceivedNames = 4096

// demandProgress is the state of sending demand to one peer.
type demandProgress struct {
	acknowledged map[contract.WorkspaceID]acknowledgedDemand
	labels       map[demandLabel]contract.WorkspaceID // of acknowledged
	sent         []workspace.WorkspaceDemand          // not yet acknowledged
	sentAt       time.Time
}

type acknowledgedDemand struct {
	entry  workspace.WorkspaceDemand
	sentAt time.Time
}

func newDemandSection(admission *workspace.Admission) *demandSection {
	return &demandSection{
		admission:   admission,
		peers:       map[contract.InstanceID]*demandProgress{},
		namesByPeer: map[contract.InstanceID]*receivedNames{},
	}
}

func (s *demandSection) section() membership.Section {
	return membership.Section{ID: sectionDemand, Collect: s.collect, Receive: s.receive, OnResult: s.recordResult}
}

func (s *demandSection) collect(peer contract.InstanceID) []byte {
	entries := s.unacknowledged(peer, s.admission.Demand(), time.Now())
	if len(entries) == 0 {
		return nil
	}
	data, err := link.Encode(s.buildDigest(peer, entries))
	contract.Invariant(err == nil, "demand can be encoded", "error", err)
	return data
}

// buildDigest encodes entries, with labels instead of names where the peer has the name.
func (s *demandSection) buildDigest(peer contract.InstanceID, entries []workspace.WorkspaceDemand) (digest demandDigest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.peers[peer]
	if progress == nil { // reset concurrently
		return demandDigest{Named: entries}
	}
	for _, e := range entries {
		acked, known := progress.acknowledged[e.Workspace]
		known = known && progress.sentAt.Sub(acked.sentAt) <= labelLifetime
		if label := labelFor(e.Workspace); known && progress.labels[label] == e.Workspace {
			digest.addLabeled(label, e)
		} else {
			digest.Named = append(digest.Named, e)
		}
	}
	return digest
}

// resolveNames returns the entries of a digest with labels replaced by names.
func (s *demandSection) resolveNames(peer contract.InstanceID, digest demandDigest) []workspace.WorkspaceDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	received := s.namesFrom(peer, time.Now())
	for _, e := range digest.Named {
		if len(received) < maxReceivedNames {
			assignLabel(received, e.Workspace)
		}
	}
	return append(digest.Named, digest.resolveLabels(received)...)
}

// namesFrom returns the names received from a peer and removes those of peers
// that have been silent for too long. Callers must hold mu.
func (s *demandSection) namesFrom(peer contract.InstanceID, now time.Time) map[demandLabel]contract.WorkspaceID {
	if s.namesByPeer[peer] == nil {
		s.namesByPeer[peer] = &receivedNames{byLabel: map[demandLabel]contract.WorkspaceID{}}
		maps.DeleteFunc(s.namesByPeer, func(id contract.InstanceID, n *receivedNames) bool {
			return id != peer && now.Sub(n.lastDigestAt) > receivedNamesLifetime
		})
	}
	s.namesByPeer[peer].lastDigestAt = now
	return s.namesByPeer[peer].byLabel
}

// unacknowledged returns the entries that the peer lacks or that are due for a refresh.
func (s *demandSection) unacknowledged(peer contract.InstanceID, entries []workspace.WorkspaceDemand, now time.Time) []workspace.WorkspaceDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.peers[peer]
	if progress == nil {
		progress = &demandProgress{
			acknowledged: map[contract.WorkspaceID]acknowledgedDemand{},
			labels:       map[demandLabel]contract.WorkspaceID{},
		}
		s.peers[peer] = progress
	}
	progress.sent, progress.sentAt = nil, now
	for _, entry := range entries {
		acked, found := progress.acknowledged[entry.Workspace]
		if !found || acked.entry != entry || now.Sub(acked.sentAt) >= demandRefresh {
			progress.sent = append(progress.sent, entry)
		}
	}
	return progress.sent
}

func (s *demandSection) receive(peer contract.InstanceID, data []byte) error {
	var digest demandDigest
	if err := link.Decode(data, &digest); err != nil {
		return err
	}
	if err := digest.check(); err != nil {
		return err
	}
	s.admission.ApplyDemand(peer, s.resolveNames(peer, digest))
	return nil
}

// recordResult records whether the last digest was delivered. Entries of a lost
// heartbeat are sent again.
func (s *demandSection) recordResult(peer contract.InstanceID, delivered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.peers[peer]
	if progress == nil {
		return
	}
	for _, entry := range progress.sent {
		progress.recordEntryResult(entry, delivered)
	}
	progress.sent = nil
	for id, acked := range progress.acknowledged {
		if progress.sentAt.Sub(acked.sentAt) > labelLifetime { // no longer active
			progress.dropAcknowledged(id)
		}
	}
}

func (p *demandProgress) recordEntryResult(entry workspace.WorkspaceDemand, delivered bool) {
	if !delivered {
		p.dropAcknowledged(entry.Workspace)
		return
	}
	p.acknowledged[entry.Workspace] = acknowledgedDemand{entry: entry, sentAt: p.sentAt}
	assignLabel(p.labels, entry.Workspace)
}

// dropAcknowledged removes an acknowledgement, so that the next entry carries the
// name. The label stays assigned to the name, as it does at the peer.
func (p *demandProgress) dropAcknowledged(id contract.WorkspaceID) {
	delete(p.acknowledged, id)
}

// resetPeer discards all acknowledgements of a peer that was restarted.
func (s *demandSection) resetPeer(peer contract.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, peer)
}
