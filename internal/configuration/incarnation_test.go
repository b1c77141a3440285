package configuration_test

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/roster"
)

// removalDelay is the silence after which an unlisted node leaves the roster.
const removalDelay = time.Minute

// linkMatrix holds the running nodes and which of them reach each other.
type linkMatrix struct {
	mu           sync.Mutex // guards the fields below
	incarnations []*incarnation
	group        []int // nodes of different groups do not reach each other
}

func newLinkMatrix(size int) *linkMatrix {
	return &linkMatrix{incarnations: make([]*incarnation, size), group: make([]int, size)}
}

func (m *linkMatrix) setIncarnation(i int, inc *incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnations[i] = inc
}

// split puts each node in the group given for its index.
func (m *linkMatrix) split(group ...int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	copy(m.group, group)
}

// peer returns the incarnation of node j if node i reaches it, else nil.
func (m *linkMatrix) peer(i, j int) *incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i == j || m.group[i] != m.group[j] {
		return nil
	}
	return m.incarnations[j]
}

// peerState is the state of another node as observed by an incarnation.
type peerState struct {
	lastContact time.Time
	sequence    int64
	listed      bool
	leaving     bool
}

// incarnation is one run of a node, from start to stop.
type incarnation struct {
	index    int
	links    *linkMatrix
	holder   *configuration.Holder
	follower *configuration.Follower
	acceptor *configuration.Acceptor
	manager  *roster.Manager
	started  time.Time

	mu          sync.Mutex // guards the fields below
	initialized bool
	peers       []peerState // by index; the own entry is unused
	leaving     bool
}

func newIncarnation(n *realNode) *incarnation {
	inc := &incarnation{index: n.index, links: n.cluster.links, holder: configuration.NewHolder(), started: time.Now()}
	for range n.cluster.links.group {
		inc.peers = append(inc.peers, peerState{listed: true})
	}
	store := configuration.NewStore(n.tableClient)
	inc.follower = configuration.NewFollower(configuration.FollowerConfig{
		Store: store, Holder: inc.holder, Fetch: inc.fetch, Seed: uint64(n.index) + 1, Log: quietLog(),
	})
	inc.acceptor = configuration.NewAcceptor(configuration.AcceptorConfig{
		Store: store, Holder: inc.holder, Publish: inc.publish, Log: quietLog(),
		CheckMajority: inc.mayAccept,
	})
	inc.manager = roster.NewManager(roster.Config{
		Self: nodeID(n.index), Table: n.tableClient, Fetch: inc.fetchRoster, Observe: inc.observe, Log: quietLog(), RemovalDelay: removalDelay,
		Head: func(ctx context.Context) (int64, platform.Condition, error) {
			version, unchanged, err := store.HeadWithCondition(ctx)
			return int64(version), unchanged, err
		},
	})
	return inc
}

func (inc *incarnation) confirm() configuration.Confirmation {
	status := inc.follower.Status()
	inc.mu.Lock()
	defer inc.mu.Unlock()
	in := configuration.ConfirmInput{
		Now: time.Now(), Self: nodeID(inc.index), Started: inc.started, Initialized: inc.initialized, HeadRead: status.HeadRead,
		HeldVersion: status.HeldVersion, BehindSince: status.BehindSince, Roster: inc.manager.State(),
	}
	for i, o := range inc.peers {
		if i != inc.index {
			in.OtherInstances = append(in.OtherInstances, configuration.PeerContact{ID: nodeID(i), LastContact: o.lastContact})
		}
	}
	c := configuration.Confirm(in)
	inc.initialized = c.Initialized
	return c
}

func (inc *incarnation) mayAccept(ctx context.Context) (platform.Condition, error) {
	r, unchanged, err := inc.manager.Read(ctx)
	if err != nil {
		return platform.Condition{}, err
	}
	if c := inc.confirm(); !c.MayAcceptPatches || c.Sequence != r.Sequence {
		return platform.Condition{}, errors.New(c.Reason)
	}
	return unchanged, nil
}

func (inc *incarnation) observe() roster.Observation {
	c := inc.confirm()
	inc.mu.Lock()
	defer inc.mu.Unlock()
	o := roster.Observation{HeadConfirmed: c.HeadConfirmed, Current: c.Current, Leaving: inc.leaving}
	for i, peer := range inc.peers {
		if i != inc.index {
			o.OtherInstances = append(o.OtherInstances, roster.Peer{
				ID: nodeID(i), LastContact: peer.lastContact, Sequence: peer.sequence, Listed: peer.listed, Leaving: peer.leaving,
			})
		}
	}
	return o
}

// setLeaving makes the node drain.
func (inc *incarnation) setLeaving() {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	inc.leaving = true
}

func (inc *incarnation) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range inc.peers {
			if p := inc.links.peer(inc.index, i); p != nil {
				inc.receiveHeartbeat(i, p)
			}
		}
	}
}

func (inc *incarnation) receiveHeartbeat(i int, p *incarnation) {
	sequence, leaving, peerCurrent := p.manager.State().Roster.Sequence, p.isLeaving(), p.confirm().Current
	inc.manager.ObservePeerSequence(nodeID(i), sequence)
	current := inc.follower.ObservePeerVersion(p.follower.Status().VerifiedVersion, nodeID(i))
	inc.mu.Lock()
	defer inc.mu.Unlock()
	inc.peers[i].leaving = leaving
	if current && peerCurrent && sequence <= inc.manager.State().Roster.Sequence {
		inc.peers[i].lastContact, inc.peers[i].sequence = time.Now(), sequence
	}
}

// unlist removes a node from the list that this node reads.
func (inc *incarnation) unlist(i int) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	inc.peers[i].listed = false
}

func (inc *incarnation) isLeaving() bool {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	return inc.leaving
}

func (inc *incarnation) fetchRoster(_ context.Context, id contract.InstanceID) ([]byte, error) {
	for i := range inc.peers {
		if p := inc.links.peer(inc.index, i); p != nil && nodeID(i) == id {
			return p.manager.State().Roster.Encode()
		}
	}
	return nil, errPartitioned
}

func (inc *incarnation) fetch(_ context.Context, id contract.InstanceID, _ configuration.Version) ([]byte, error) {
	for i := range inc.peers {
		if p := inc.links.peer(inc.index, i); p != nil && nodeID(i) == id {
			return configuration.EncodeSnapshot(p.holder.Accepted())
		}
	}
	return nil, errPartitioned
}

func (inc *incarnation) publish(ctx context.Context, s *configuration.Snapshot) error {
	for ctx.Err() == nil {
		current := inc.manager.State().Roster
		holders := []contract.InstanceID{nodeID(inc.index)}
		for i := range inc.peers {
			p := inc.links.peer(inc.index, i)
			if p == nil {
				continue
			}
			p.follower.ObservePeerVersion(s.Version, nodeID(inc.index))
			held := p.holder.Current().Version >= s.Version
			if held && p.manager.State().Roster.Sequence <= current.Sequence {
				holders = append(holders, nodeID(i))
			}
		}
		if current.Majority(holders) {
			return nil
		}
		time.Sleep(20 * time.Millisecond) // virtual time
	}
	return ctx.Err()
}
