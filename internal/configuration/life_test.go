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

// rosterHold is the silence after which an unlisted node leaves the roster.
const rosterHold = time.Minute

// linkMatrix holds the running nodes and which of them reach each other.
type linkMatrix struct {
	mu           sync.Mutex // guards the fields below
	incarnations []*incarnation
	group        []int // nodes of different groups do not reach each other
}

func newLinkMatrix(size int) *linkMatrix {
	return &linkMatrix{incarnations: make([]*incarnation, size), group: make([]int, size)}
}

func (m *linkMatrix) setIncarnation(i int, l *incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnations[i] = l
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
	manager  *roster.Keeper
	started  time.Time

	mu          sync.Mutex // guards the fields below
	initialized bool
	peers       []peerState // by index; the own entry is unused
	leaving     bool
}

func newIncarnation(n *realNode) *incarnation {
	l := &incarnation{index: n.index, links: n.cluster.links, holder: configuration.NewHolder(), started: time.Now()}
	for range n.cluster.links.group {
		l.peers = append(l.peers, peerState{listed: true})
	}
	store := configuration.NewStore(n.tableClient)
	l.follower = configuration.NewFollower(configuration.FollowerConfig{
		Store: store, Holder: l.holder, Fetch: l.fetch, Seed: uint64(n.index) + 1, Log: quietLog(),
	})
	l.acceptor = configuration.NewAcceptor(configuration.AcceptorConfig{
		Store: store, Holder: l.holder, Publish: l.publish, Log: quietLog(),
		MayAccept: l.mayAccept,
	})
	l.manager = roster.NewKeeper(roster.Config{
		Self: nodeID(n.index), Table: n.tableClient, Fetch: l.fetchRoster, Observe: l.observe, Log: quietLog(), Hold: rosterHold,
		Head: func(ctx context.Context) (int64, platform.Condition, error) {
			version, unchanged, err := store.HeadUnchanged(ctx)
			return int64(version), unchanged, err
		},
	})
	return l
}

func (l *incarnation) confirm() configuration.Confirmation {
	standing := l.follower.Standing()
	l.mu.Lock()
	defer l.mu.Unlock()
	in := configuration.ConfirmInput{
		Now: time.Now(), Self: nodeID(l.index), Started: l.started, Initialized: l.initialized, HeadRead: standing.HeadRead,
		Held: standing.Held, BehindSince: standing.BehindSince, Roster: l.manager.Standing(),
	}
	for i, o := range l.peers {
		if i != l.index {
			in.Others = append(in.Others, configuration.KnownInstance{ID: nodeID(i), Heard: o.lastContact})
		}
	}
	c := configuration.Confirm(in)
	l.initialized = c.Initialized
	return c
}

func (l *incarnation) mayAccept(ctx context.Context) (platform.Condition, error) {
	r, unchanged, err := l.manager.Read(ctx)
	if err != nil {
		return platform.Condition{}, err
	}
	if c := l.confirm(); !c.MayAccept || c.Sequence != r.Sequence {
		return platform.Condition{}, errors.New(c.Reason)
	}
	return unchanged, nil
}

func (l *incarnation) observe() roster.Observation {
	c := l.confirm()
	l.mu.Lock()
	defer l.mu.Unlock()
	o := roster.Observation{Reads: c.FromStore, Current: c.Current, Leaving: l.leaving}
	for i, peer := range l.peers {
		if i != l.index {
			o.Others = append(o.Others, roster.Peer{
				ID: nodeID(i), Heard: peer.lastContact, Sequence: peer.sequence, Listed: peer.listed, Leaving: peer.leaving,
			})
		}
	}
	return o
}

// setLeaving makes the node drain.
func (l *incarnation) setLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

func (l *incarnation) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range l.peers {
			if p := l.links.peer(l.index, i); p != nil {
				l.receiveHeartbeat(i, p)
			}
		}
	}
}

func (l *incarnation) receiveHeartbeat(i int, p *incarnation) {
	sequence, leaving, peerCurrent := p.manager.Standing().Roster.Sequence, p.isLeaving(), p.confirm().Current
	l.manager.Announce(nodeID(i), sequence)
	current := l.follower.Announce(p.follower.Standing().Verified, nodeID(i))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[i].leaving = leaving
	if current && peerCurrent && sequence <= l.manager.Standing().Roster.Sequence {
		l.peers[i].lastContact, l.peers[i].sequence = time.Now(), sequence
	}
}

// unlist removes a node from the list that this node reads.
func (l *incarnation) unlist(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[i].listed = false
}

func (l *incarnation) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

func (l *incarnation) fetchRoster(_ context.Context, id contract.InstanceID) ([]byte, error) {
	for i := range l.peers {
		if p := l.links.peer(l.index, i); p != nil && nodeID(i) == id {
			return p.manager.Standing().Roster.Encode()
		}
	}
	return nil, errPartitioned
}

func (l *incarnation) fetch(_ context.Context, id contract.InstanceID, _ configuration.Version) ([]byte, error) {
	for i := range l.peers {
		if p := l.links.peer(l.index, i); p != nil && nodeID(i) == id {
			return configuration.EncodeSnapshot(p.holder.Accepted())
		}
	}
	return nil, errPartitioned
}

func (l *incarnation) publish(ctx context.Context, s *configuration.Snapshot) error {
	for ctx.Err() == nil {
		current := l.manager.Standing().Roster
		holding := []contract.InstanceID{nodeID(l.index)}
		for i := range l.peers {
			p := l.links.peer(l.index, i)
			if p == nil {
				continue
			}
			p.follower.Announce(s.Version, nodeID(l.index))
			held := p.holder.Current().Version >= s.Version
			if held && p.manager.Standing().Roster.Sequence <= current.Sequence {
				holding = append(holding, nodeID(i))
			}
		}
		if current.Majority(holding) {
			return nil
		}
		time.Sleep(20 * time.Millisecond) // virtual time
	}
	return ctx.Err()
}
