package configuration_test

import (
	"context"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
)

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

// life is one life of a node, from start to stop.
type life struct {
	index    int
	links    *linkMatrix
	holder   *configuration.Holder
	follower *configuration.Follower
	acceptor *configuration.Acceptor

	mu          sync.Mutex // guards the fields below
	initialized bool
	others      []configuration.KnownInstance
}

func newLife(n *realNode) *life {
	l := &life{index: n.index, links: n.cluster.links, holder: configuration.NewHolder()}
	for i := range n.cluster.nodes {
		l.others = append(l.others, configuration.KnownInstance{ID: nodeID(i), Permanent: true, Leaving: i == n.index})
	}
	store := configuration.NewStore(n.way)
	l.follower = configuration.NewFollower(configuration.FollowerConfig{
		Store: store, Holder: l.holder, Fetch: l.fetch, Seed: uint64(n.index) + 1, Log: quietLog(),
	})
	l.acceptor = configuration.NewAcceptor(configuration.AcceptorConfig{
		Store: store, Holder: l.holder, Publish: l.publish, Log: quietLog(),
		MayAccept: func() (bool, string) { c := l.confirm(); return c.MayAccept, c.Reason },
	})
	return l
}

func (l *life) confirm() configuration.Confirmation {
	standing := l.follower.Standing()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := configuration.Confirm(configuration.ConfirmInput{
		Now: time.Now(), Initialized: l.initialized, HeadRead: standing.HeadRead,
		BehindSince: standing.BehindSince, Others: l.others,
	})
	l.initialized = c.Initialized
	return c
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
	current := l.follower.Announce(p.follower.Standing().Verified, nodeID(i))
	if !current || !p.confirm().Current {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others[i].Heard = time.Now()
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
		holding := 1
		for i := range l.others {
			p := l.links.peer(l.index, i)
			if p == nil {
				continue
			}
			p.follower.Announce(s.Version, nodeID(l.index))
			if p.holder.Current().Version >= s.Version {
				holding++
			}
		}
		if 2*holding > l.confirm().Known {
			return nil
		}
		time.Sleep(20 * time.Millisecond) // virtual time
	}
	return ctx.Err()
}
