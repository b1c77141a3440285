package storesync

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
)

const (
	copiedStoreDelay = 5 * time.Millisecond
	// copiedReadInterval is the time between two reads of the rows by an instance without links.
	copiedReadInterval = 10 * time.Second
	// copiedEraDelay is the longest time until an instance notices a return.
	copiedEraDelay = time.Second
	// copiedSettleTime is the time in which all instances read the rows.
	copiedSettleTime = 15 * time.Second
)

// copiedStore is a store of the rows of Instances that may come back from a copy of itself.
type copiedStore struct {
	discovery.Store
	t        *testing.T
	mu       sync.Mutex // guards the fields below
	rows     map[string][]byte
	era      discovery.Era
	down     bool // nothing is read or written
	readOnly bool
	mute     bool // writes are performed, but get no response
	writes   []time.Time
	creates  int
	removals int
	restored chan struct{} // closed at the next return
	// responseDelay is the time from a write to its response.
	responseDelay time.Duration
}

func newCopiedStore(t *testing.T) *copiedStore {
	return &copiedStore{t: t, rows: map[string][]byte{}, restored: make(chan struct{})}
}

func (s *copiedStore) change(write func()) error {
	s.mu.Lock()
	s.writes = append(s.writes, time.Now())
	refuses := s.down || s.readOnly
	s.mu.Unlock()
	time.Sleep(copiedStoreDelay)
	if refuses {
		return errRefused
	}
	s.mu.Lock()
	write()
	mute, delay := s.mute, s.responseDelay
	s.mu.Unlock()
	time.Sleep(delay)
	if mute {
		return errRefused
	}
	return nil
}

func (s *copiedStore) Put(_ context.Context, _ discovery.Topic, key string, value []byte) error {
	return s.change(func() { s.rows[key] = value })
}

func (s *copiedStore) Remove(_ context.Context, _ discovery.Topic, key string) error {
	return s.change(func() {
		s.removals++
		delete(s.rows, key)
	})
}

func (s *copiedStore) Create(_ context.Context, _ discovery.Topic, key string, value []byte) (current []byte, err error) {
	err = s.change(func() {
		s.creates++
		if _, found := s.rows[key]; !found {
			s.rows[key] = value
		}
		current = s.rows[key]
	})
	return current, err
}

// snapshot returns the present rows, and the era.
func (s *copiedStore) snapshot() (rows map[string][]byte, era discovery.Era, restored <-chan struct{}, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows), s.era, s.restored, s.down
}

func (s *copiedStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// restore replaces the rows by those of a copy.
func (s *copiedStore) restore(copied map[string][]byte) {
	s.update(func() {
		s.rows = map[string][]byte{}
		maps.Copy(s.rows, copied)
		s.era++
		s.writes, s.creates, s.removals = nil, 0, 0
		close(s.restored)
		s.restored = make(chan struct{})
	})
}

// mostWrites returns the most writes in any second since the last return.
func (s *copiedStore) mostWrites() (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.writes {
		for n := 0; i+n < len(s.writes) && s.writes[i+n].Sub(s.writes[i]) < time.Second; n++ {
			most = max(most, n+1)
		}
	}
	return most
}

// copiedInstance is an instance that reads a copiedStore.
type copiedInstance struct {
	Member
	store     *copiedStore
	members   *Members
	changeLog *discovery.ChangeLog // only has the time of the last read
	syncer    *Syncer
	failing   atomic.Bool // the store is down, as far as this instance knows
	registrar *Registrar
	cancel    context.CancelFunc
	done      chan struct{}

	held   map[string][]byte // rows as last read
	era    discovery.Era
	loaded bool
}

func (s *copiedStore) start(self Member) *copiedInstance {
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	i := &copiedInstance{Member: self, store: s, members: NewMembers(self, discardLogger()), cancel: cancel, done: make(chan struct{}), held: map[string][]byte{}}
	logs := map[discovery.Topic]*discovery.ChangeLog{}
	for _, topic := range topics {
		logs[topic] = discovery.NewChangeLog(topic, clock, discovery.SameValue, discardLogger(), func(discovery.Batch, time.Duration) {})
	}
	syncer := NewSyncer(Config{
		Self: self, LinksEnabled: true, Members: i.members, Logs: logs, Clock: clock, StoreFailing: i.failing.Load, Log: discardLogger(), Metrics: NewMetrics(prometheus.NewRegistry()),
		MaxAge: map[discovery.Topic]time.Duration{discovery.Instances: 3 * copiedReadInterval},
	})
	i.syncer = syncer
	i.changeLog = logs[discovery.Instances]
	i.registrar = &Registrar{Store: s, Self: self, Members: i.members, Syncer: syncer, Clock: clock, Log: discardLogger()}
	i.fleetSettledAt()
	var running sync.WaitGroup
	running.Go(func() { i.registrar.Run(ctx) })
	running.Go(func() { i.follow(ctx) })
	running.Go(func() { i.watch(ctx) })
	go func() {
		running.Wait()
		close(i.done)
	}()
	s.t.Cleanup(i.stop)
	return i
}

func (i *copiedInstance) stop() {
	i.cancel()
	<-i.done
}

// fleetSettledAt returns since when this instance has its part of the request rates.
func (i *copiedInstance) fleetSettledAt() time.Time {
	return i.members.Fleet(func(time.Time) time.Duration { return copiedSettleTime }).SettledAt
}

// follow reads the rows at intervals, and soon after a return.
func (i *copiedInstance) follow(ctx context.Context) {
	for ctx.Err() == nil {
		rows, era, restored, down := i.store.snapshot()
		wait := time.Duration((0.5 + rand.Float64()/2) * float64(copiedReadInterval))
		if down {
			wait = copiedEraDelay
		} else {
			i.read(rows, era)
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-restored:
			sleep(ctx, fractionOf(rand.Float64(), copiedEraDelay))
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// watch notices that the store is down, or no longer, like the reads of other topics.
func (i *copiedInstance) watch(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, copiedEraDelay/2) {
		var down bool
		i.store.update(func() { down = i.store.down })
		if i.failing.Swap(down) != down {
			i.syncer.StoreStateChanged(down)
		}
	}
}

// read passes the difference from the rows that were read before to the members.
func (i *copiedInstance) read(rows map[string][]byte, era discovery.Era) {
	batch := discovery.Batch{Era: era, Returned: i.loaded && era > i.era}
	for key, value := range rows {
		if old, found := i.held[key]; !found || !bytes.Equal(old, value) {
			batch.Rows = append(batch.Rows, discovery.Row{Key: key, Value: value})
		}
	}
	for key := range i.held {
		if _, found := rows[key]; !found {
			batch.Rows = append(batch.Rows, discovery.Row{Key: key, Deleted: true})
		}
	}
	i.held, i.era, i.loaded = rows, era, true
	i.changeLog.Apply(discovery.Update{AsOf: i.registrar.Clock()})
	i.members.Apply(batch, 0)
}

func copiedMember(n int) Member {
	return Member{ID: contract.InstanceID(fmt.Sprintf("i-%03d", n)), Address: fmt.Sprintf("10.0.%d.%d:1", n/250, n%250+1), Domain: contract.FailureDomainID(fmt.Sprint("d", n%3)), Weight: 1}
}

// copiedFleet starts instances that have settled.
func (s *copiedStore) startFleet(size int) []*copiedInstance {
	fleet := make([]*copiedInstance, size)
	for n := range fleet {
		fleet[n] = s.start(copiedMember(n))
	}
	time.Sleep(copiedSettleTime + copiedReadInterval)
	return fleet
}

// expectOneFleet checks that all instances are registered, know each other and hold the
// secret in the store.
func (s *copiedStore) expectOneFleet(fleet []*copiedInstance) {
	s.t.Helper()
	g := NewWithT(s.t)
	rows, _, _, _ := s.snapshot()
	for _, i := range fleet {
		g.Expect(rows).To(HaveKey(i.rowKey()))
		g.Expect(i.members.Count()).To(Equal(len(fleet)), "%s", i.ID)
		g.Expect(i.members.Registered()).To(BeTrue(), "%s", i.ID)
		g.Expect(i.members.AuthoritySecret()).To(Equal(rows[secretKey]), "%s", i.ID)
	}
	g.Expect(rows[secretKey]).To(HaveLen(secretBytes))
}
