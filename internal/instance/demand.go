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

// demandRefresh is how often an unchanged demand is sent again. A third of the
// time after which workspace drops it (30 s) is left for lost heartbeats.
const demandRefresh = 20 * time.Second

// demandSection passes on this instance's demand per active workspace: to each
// peer what has changed since it acknowledged it.
type demandSection struct {
	admission *workspace.Admission

	mu       sync.Mutex // guards all fields below
	peers    map[contract.InstanceID]*demandProgress
	received map[contract.InstanceID]*receivedNames
}

// receivedNames are the names that a peer has sent. A label that two names share
// stands for neither; it has the name "".
type receivedNames struct {
	byLabel      map[demandLabel]contract.WorkspaceID
	lastDigestAt time.Time // of the last digest
}

// receivedNamesLifetime is how long names of a silent peer are kept. It must
// exceed the time for which the peer takes them for known, labelLifetime.
const (
	receivedNamesLifetime = 5 * time.Minute
	labelLifetime         = 2 * demandRefresh
)

// maxReceivedNames bounds the names that a faulty peer can make this instance keep.
const maxReceivedNames = 4096

// demandProgress is what a peer has been told.
type demandProgress struct {
	acknowledged map[contract.WorkspaceID]acknowledgedDemand
	labels       map[demandLabel]contract.WorkspaceID // of acknowledged
	sent         []workspace.DemandEntry              // waits for the acknowledgement
	sentAt       time.Time
}

type acknowledgedDemand struct {
	entry  workspace.DemandEntry
	sentAt time.Time
}

func newDemandSection(admission *workspace.Admission) *demandSection {
	return &demandSection{
		admission: admission,
		peers:     map[contract.InstanceID]*demandProgress{},
		received:  map[contract.InstanceID]*receivedNames{},
	}
}

func (s *demandSection) section() membership.Section {
	return membership.Section{ID: sectionDemand, Collect: s.collect, Learn: s.learn, Settled: s.settled}
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

// buildDigest returns the entries with labels where the peer knows them.
func (s *demandSection) buildDigest(peer contract.InstanceID, entries []workspace.DemandEntry) (digest demandDigest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.peers[peer]
	if progress == nil { // forgotten meanwhile
		return demandDigest{Named: entries}
	}
	for _, e := range entries {
		told, known := progress.acknowledged[e.Workspace]
		known = known && progress.sentAt.Sub(told.sentAt) <= labelLifetime
		if label := labelOf(e.Workspace); known && progress.labels[label] == e.Workspace {
			digest.addLabeled(label, e)
		} else {
			digest.Named = append(digest.Named, e)
		}
	}
	return digest
}

// resolveNames returns the entries of a digest with their names.
func (s *demandSection) resolveNames(peer contract.InstanceID, digest demandDigest) []workspace.DemandEntry {
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

// namesFrom must be called with mu held.
func (s *demandSection) namesFrom(peer contract.InstanceID, now time.Time) map[demandLabel]contract.WorkspaceID {
	if s.received[peer] == nil {
		s.received[peer] = &receivedNames{byLabel: map[demandLabel]contract.WorkspaceID{}}
		maps.DeleteFunc(s.received, func(id contract.InstanceID, n *receivedNames) bool {
			return id != peer && now.Sub(n.lastDigestAt) > receivedNamesLifetime
		})
	}
	s.received[peer].lastDigestAt = now
	return s.received[peer].byLabel
}

// unacknowledged returns the entries that the peer lacks.
func (s *demandSection) unacknowledged(peer contract.InstanceID, entries []workspace.DemandEntry, now time.Time) []workspace.DemandEntry {
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
		told, found := progress.acknowledged[entry.Workspace]
		if !found || told.entry != entry || now.Sub(told.sentAt) >= demandRefresh {
			progress.sent = append(progress.sent, entry)
		}
	}
	return progress.sent
}

func (s *demandSection) learn(peer contract.InstanceID, data []byte) error {
	var digest demandDigest
	if err := link.Decode(data, &digest); err != nil {
		return err
	}
	if err := digest.check(); err != nil {
		return err
	}
	s.admission.Learn(peer, s.resolveNames(peer, digest))
	return nil
}

// settled notes what the peer has learned. After a lost heartbeat, what it
// carried is sent again.
func (s *demandSection) settled(peer contract.InstanceID, delivered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.peers[peer]
	if progress == nil {
		return
	}
	for _, entry := range progress.sent {
		progress.settleEntry(entry, delivered)
	}
	progress.sent = nil
	for id, told := range progress.acknowledged {
		if progress.sentAt.Sub(told.sentAt) > labelLifetime { // no longer active
			progress.dropAcknowledged(id)
		}
	}
}

func (p *demandProgress) settleEntry(entry workspace.DemandEntry, delivered bool) {
	if !delivered {
		p.dropAcknowledged(entry.Workspace)
		return
	}
	p.acknowledged[entry.Workspace] = acknowledgedDemand{entry: entry, sentAt: p.sentAt}
	assignLabel(p.labels, entry.Workspace)
}

// dropAcknowledged forgets an acknowledgement; the next entry carries the name. The label
// stays with its name: the peer does not give it to another one either.
func (p *demandProgress) dropAcknowledged(id contract.WorkspaceID) {
	delete(p.acknowledged, id)
}

// resetPeer drops what a peer has acknowledged: it was restarted.
func (s *demandSection) resetPeer(peer contract.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, peer)
}
