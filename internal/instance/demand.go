package instance

import (
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

// demandRefresh is how often an unchanged demand is sent again. Half of the time
// after which workspace drops a demand leaves room for a lost heartbeat.
const demandRefresh = 15 * time.Second

// demandSection passes on this instance's demand per active workspace: to each
// peer what has changed since it acknowledged it.
type demandSection struct {
	admission *workspace.Admission

	mu    sync.Mutex // guards peers
	peers map[contract.InstanceID]*demandProgress
}

// demandProgress is what a peer has been told.
type demandProgress struct {
	acknowledged map[contract.WorkspaceID]toldDemand
	sent         []workspace.DemandEntry // waits for the acknowledgement
	sentAt       time.Time
}

type toldDemand struct {
	entry workspace.DemandEntry
	at    time.Time
}

func newDemandSection(admission *workspace.Admission) *demandSection {
	return &demandSection{admission: admission, peers: map[contract.InstanceID]*demandProgress{}}
}

func (s *demandSection) section() membership.Section {
	return membership.Section{ID: sectionDemand, Collect: s.collect, Learn: s.learn, Settled: s.settled}
}

func (s *demandSection) collect(peer contract.InstanceID) []byte {
	entries := s.changes(peer, s.admission.Demand(), time.Now())
	if len(entries) == 0 {
		return nil
	}
	data, err := link.Encode(entries)
	contract.Invariant(err == nil, "demand can be encoded", "error", err)
	return data
}

// changes returns the entries that the peer lacks.
func (s *demandSection) changes(peer contract.InstanceID, entries []workspace.DemandEntry, now time.Time) []workspace.DemandEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress := s.peers[peer]
	if progress == nil {
		progress = &demandProgress{acknowledged: map[contract.WorkspaceID]toldDemand{}}
		s.peers[peer] = progress
	}
	progress.sent, progress.sentAt = nil, now
	for _, entry := range entries {
		told, found := progress.acknowledged[entry.Workspace]
		if !found || told.entry != entry || now.Sub(told.at) >= demandRefresh {
			progress.sent = append(progress.sent, entry)
		}
	}
	return progress.sent
}

func (s *demandSection) learn(peer contract.InstanceID, data []byte) error {
	var entries []workspace.DemandEntry
	if err := link.Decode(data, &entries); err != nil {
		return err
	}
	s.admission.Learn(peer, entries)
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
		if delivered {
			progress.acknowledged[entry.Workspace] = toldDemand{entry: entry, at: progress.sentAt}
		} else {
			delete(progress.acknowledged, entry.Workspace)
		}
	}
	progress.sent = nil
	for id, told := range progress.acknowledged {
		if progress.sentAt.Sub(told.at) > 2*demandRefresh { // no longer active
			delete(progress.acknowledged, id)
		}
	}
}

// forget drops what a peer has acknowledged: it was restarted.
func (s *demandSection) forget(peer contract.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, peer)
}
