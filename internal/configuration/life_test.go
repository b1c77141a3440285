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

// linkMatrix says which nodes reach each other and who lives.
type linkMatrix struct {
	mu    sync.Mutex // guards the fields below
	lives []*life
	group []int // nodes of different groups do not reach each other
}

func newLinkMatrix(size int) *linkMatrix {
	return &linkMatrix{lives: make([]*life, size), group: make([]int, size)}
}

func (m *linkMatrix) setLife(i int, l *life) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lives[i] = l
}

// split puts each node in the group given for its index.
func (m *linkMatrix) split(group ...int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	copy(m.group, group)
}

// peer returns the node j if i reaches it, else nil.
func (m *linkMatrix) peer(i, j int) *life {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i == j || m.group[i] != m.group[j] {
		return nil
	}
	return m.lives[j]
}

// other is another node as one life of a node knows it.
type other struct {
	heard    time.Time
	sequence int64
	listed   bool
	leaving  bool
}

// life is one life of a node, from start to stop.
type life struct {
	index    int
	links    *linkMatrix
	holder   *configuration.Holder
	follower *configuration.Follower
	acceptor *configuration.Acceptor
	keeper   *roster.Keeper
	started  time.Time

	mu          sync.Mutex // guards the fields below
	initialized bool
	others      []other // by index; its own is unused
	leaving     bool
}

func newLife(n *realNode) *life {
	l := &life{index: n.index, links: n.cluster.links, holder: configuration.NewHolder(), started: time.Now()}
	for range n.cluster.links.group {
		l.others = append(l.others, other{listed: true})
	}
	store := configuration.NewStore(n.way)
	l.follower = configuration.NewFollower(configuration.FollowerConfig{
		Store: store, Holder: l.holder, Fetch: l.fetch, Seed: uint64(n.index) + 1, Log: quietLog(),
	})
	l.acceptor = configuration.NewAcceptor(configuration.AcceptorConfig{
		Store: store, Holder: l.holder, Publish: l.publish, Log: quietLog(),
		MayAccept: l.mayAccept,
	})
	l.keeper = roster.NewKeeper(roster.Config{
		Self: nodeID(n.index), Table: n.way, Fetch: l.fetchRoster, Observe: l.observe, Log: quietLog(), Hold: rosterHold,
		Head: func(ctx context.Context) (int64, platform.Condition, error) {
			version, unchanged, err := store.HeadUnchanged(ctx)
			return int64(version), unchanged, err
		},
	})
	return l
}

func (l *life) confirm() configuration.Confirmation {
	standing := l.follower.Standing()
	l.mu.Lock()
	defer l.mu.Unlock()
	in := configuration.ConfirmInput{
		Now: time.Now(), Self: nodeID(l.index), Started: l.started, Initialized: l.initialized, HeadRead: standing.HeadRead,
		Held: standing.Held, BehindSince: standing.BehindSince, Roster: l.keeper.Standing(),
	}
	for i, o := range l.others {
		if i != l.index {
			in.Others = append(in.Others, configuration.KnownInstance{ID: nodeID(i), Heard: o.heard})
		}
	}
	c := configuration.Confirm(in)
	l.initialized = c.Initialized
	return c
}

func (l *life) mayAccept(ctx context.Context) (platform.Condition, error) {
	r, unchanged, err := l.keeper.Read(ctx)
	if err != nil {
		return platform.Condition{}, err
	}
	if c := l.confirm(); !c.MayAccept || c.Sequence != r.Sequence {
		return platform.Condition{}, errors.New(c.Reason)
	}
	return unchanged, nil
}

func (l *life) observe() roster.Observation {
	c := l.confirm()
	l.mu.Lock()
	defer l.mu.Unlock()
	o := roster.Observation{Reads: c.FromStore, Current: c.Current, Leaving: l.leaving}
	for i, other := range l.others {
		if i != l.index {
			o.Others = append(o.Others, roster.Peer{
				ID: nodeID(i), Heard: other.heard, Sequence: other.sequence, Listed: other.listed, Leaving: other.leaving,
			})
		}
	}
	return o
}

// setLeaving makes the node drain.
func (l *life) setLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

func (l *life) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range l.others {
			if p := l.links.peer(l.index, i); p != nil {
				l.hear(i, p)
			}
		}
	}
}

func (l *life) hear(i int, p *life) {
	sequence, leaving, peerCurrent := p.keeper.Standing().Roster.Sequence, p.isLeaving(), p.confirm().Current
	l.keeper.Announce(nodeID(i), sequence)
	current := l.follower.Announce(p.follower.Standing().Verified, nodeID(i))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others[i].leaving = leaving
	if current && peerCurrent && sequence <= l.keeper.Standing().Roster.Sequence {
		l.others[i].heard, l.others[i].sequence = time.Now(), sequence
	}
}

// unlist removes a node from this one's view of the list.
func (l *life) unlist(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others[i].listed = false
}

func (l *life) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

func (l *life) fetchRoster(_ context.Context, id contract.InstanceID) ([]byte, error) {
	for i := range l.others {
		if p := l.links.peer(l.index, i); p != nil && nodeID(i) == id {
			return p.keeper.Standing().Roster.Encode()
		}
	}
	return nil, errCut
}

func (l *life) fetch(_ context.Context, id contract.InstanceID, _ configuration.Version) ([]byte, error) {
	for i := range l.others {
		if p := l.links.peer(l.index, i); p != nil && nodeID(i) == id {
			return configuration.EncodeSnapshot(p.holder.Accepted())
		}
	}
	return nil, errCut
}

func (l *life) publish(ctx context.Context, s *configuration.Snapshot) error {
	for ctx.Err() == nil {
		current := l.keeper.Standing().Roster
		holding := []contract.InstanceID{nodeID(l.index)}
		for i := range l.others {
			p := l.links.peer(l.index, i)
			if p == nil {
				continue
			}
			p.follower.Announce(s.Version, nodeID(l.index))
			held := p.holder.Current().Version >= s.Version
			if held && p.keeper.Standing().Roster.Sequence <= current.Sequence {
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
