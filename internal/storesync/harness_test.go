package storesync

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/link/linktest"
)

// Times of the harness, as in a deployment with hundreds of instances.
const (
	changeBound       = 4 * time.Second // within which a change must reach each instance
	maxRowAge         = time.Duration(0.6 * float64(changeBound))
	storeDelay        = 4 * time.Millisecond
	listPollInterval  = maxRowAge
	noticesPollHold   = 15 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
)

// store is the platform's store in memory.
type store struct {
	mu           sync.Mutex // guards the fields below
	version      int64
	rows         map[discovery.Topic]map[string]discovery.Row
	oldest       int64 // history up to this version is no longer available
	changed      chan struct{}
	restorer                                              // what the store has for returns from a copy
	refuseCall   func(instance contract.InstanceID) error // nil: no call is refused
	silent       bool
	delay        time.Duration
	calls        map[discovery.Topic]int
	refusedCalls int
}

func newStore() *store {
	s := &store{restorer: restorer{era: 1}, rows: map[discovery.Topic]map[string]discovery.Row{}, changed: make(chan struct{}), delay: storeDelay, calls: map[discovery.Topic]int{}}
	for _, topic := range topics {
		s.rows[topic] = map[string]discovery.Row{}
	}
	return s
}

func (s *store) write(topic discovery.Topic, key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(map[rowID]discovery.Row{{topic, key}: {Key: key, Value: []byte(value), Version: s.version + 1, Deleted: deleted}}, s.version+1)
}

func (s *store) update(change func(s *store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *store) takeCounts() (calls map[discovery.Topic]int, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, refused = s.calls, s.refusedCalls
	s.calls, s.refusedCalls = map[discovery.Topic]int{}, 0
	return calls, refused
}

func sum(calls map[discovery.Topic]int) (n int) {
	for _, c := range calls {
		n += c
	}
	return n
}

// client is the connection of one instance to the store.
type client struct {
	*store
	instance contract.InstanceID
	eras     *discovery.EraTracker
}

var errRefused = errors.New("503")

func (c client) simulateCall(ctx context.Context, topic discovery.Topic) error {
	c.mu.Lock()
	c.calls[topic]++

	refuse, silent, delay, away, era := c.refuseCall, c.silent, c.delay, c.away > 0, c.era
	c.mu.Unlock()
	if away {
		c.update(func(s *store) { s.refusedCalls++ })
		return errAway
	}
	if refuse != nil {
		if err := refuse(c.instance); err != nil {
			c.update(func(s *store) { s.refusedCalls++ })
			c.eras.Observe(era)
			return err
		}
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	sleep(ctx, delay)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return c.checkPresent()
}

func (c client) Read(ctx context.Context, topic discovery.Topic) (discovery.Batch, error) {
	if err := c.simulateCall(ctx, topic); err != nil {
		return discovery.Batch{}, err
	}
	c.mu.Lock()
	batch := discovery.Batch{Version: c.version, Era: c.era}
	for _, row := range c.rows[topic] {
		if !row.Deleted {
			batch.Rows = append(batch.Rows, row)
		}
	}
	c.mu.Unlock()
	return c.deliver(ctx, batch, nil)
}

func (c client) Changes(ctx context.Context, topic discovery.Topic, after int64, wait time.Duration) (discovery.Batch, error) {
	if err := c.simulateCall(ctx, topic); err != nil {
		return discovery.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	firstEra := discovery.Era(0)
	for waitOver := wait == 0; ; {
		c.mu.Lock()
		batch, oldest, changed, silent := discovery.Batch{Version: c.version, Era: c.era}, c.oldest, c.changed, c.silent
		if firstEra == 0 {
			firstEra = c.era
		}
		restored, resetHeld, away := c.era != firstEra, c.resetHeld, c.away > 0
		for _, row := range c.rows[topic] {
			if row.Version > after {
				batch.Rows = append(batch.Rows, row)
			}
		}
		c.mu.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return discovery.Batch{}, ctx.Err()
		case restored && resetHeld:
			return discovery.Batch{}, errAway
		case away: // answered or reset at the return
		case after < oldest || after > batch.Version:
			return c.deliver(ctx, discovery.Batch{Era: batch.Era}, discovery.ErrHistoryGone)
		case len(batch.Rows) > 0 || waitOver || restored:
			return c.deliver(ctx, batch, nil)
		}
		select {
		case <-changed:
		case <-timer.C:
			waitOver = true
		case <-ctx.Done():
			return discovery.Batch{}, ctx.Err()
		}
	}
}

func (c client) Put(ctx context.Context, topic discovery.Topic, key string, value []byte) error {
	if err := c.simulateCall(ctx, topic); err != nil {
		return err
	}
	c.write(topic, key, string(value), false)
	return c.observe()
}

func (c client) Remove(ctx context.Context, topic discovery.Topic, key string) error {
	if err := c.simulateCall(ctx, topic); err != nil {
		return err
	}
	c.write(topic, key, "", true)
	return c.observe()
}

func (c client) Create(ctx context.Context, topic discovery.Topic, key string, value []byte) ([]byte, error) {
	if err := c.simulateCall(ctx, topic); err != nil {
		return nil, err
	}
	c.mu.Lock()
	row, found := c.rows[topic][key]
	c.mu.Unlock()
	if found && !row.Deleted {
		return row.Value, c.observe()
	}
	c.write(topic, key, string(value), false)
	return value, c.observe()
}

// process is one running instance.
type process struct {
	Member
	changeLogs map[discovery.Topic]*discovery.ChangeLog
	backoff    *discovery.Backoff
	members    *Members
	active     *discovery.ActiveConfiguration
	startedAt  time.Time
	syncer     *Syncer
	cancel     context.CancelFunc
	done       chan struct{}

	mu               sync.Mutex // guards the fields below
	rows             map[discovery.Topic]map[string]string
	lastRevision     map[discovery.Topic]discovery.Revision // last applied one; it must not decrease
	versionDecreased bool
}

func (p *process) value(topic discovery.Topic, key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[topic][key]
}

func (p *process) age(topic discovery.Topic) time.Duration {
	age, loaded := p.changeLogs[topic].Age()
	if !loaded {
		return maxUpdateAge
	}
	return age
}

func (p *process) source() dataSource {
	p.syncer.mu.Lock()
	defer p.syncer.mu.Unlock()
	return p.syncer.source
}

// harness simulates a fleet with its store and network in virtual time.
type harness struct {
	t         *testing.T
	g         Gomega
	store     *store
	network   *linktest.Network
	began     time.Time
	processes map[contract.InstanceID]*process
	ids       []contract.InstanceID
	rng       *rand.Rand
	platform  *platformRows
}

func newHarness(t *testing.T, seed uint64) *harness {
	h := &harness{
		t: t, g: NewWithT(t), store: newStore(), network: linktest.NewNetwork(seed), began: time.Now(),
		processes: map[contract.InstanceID]*process{}, rng: rand.New(rand.NewPCG(seed, 1)),
	}
	h.network.SetDelay(func(_, _ contract.InstanceID) time.Duration { return 200 * time.Microsecond })
	h.platform = newPlatformRows(h.store, seed)
	h.platform.write(discovery.Configuration, "config", "1", false)
	for i := range 20 {
		h.platform.write(discovery.Upstreams, fmt.Sprint("upstream-", i), "0", false)
	}
	return h
}

func (h *harness) clock() time.Duration { return time.Since(h.began) }

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// startFleet starts instances, two of each domain with a higher weight than the others.
func (h *harness) startFleet(spread time.Duration, domains, each int) {
	for d := range domains {
		for i := range each {
			weight := 0.192
			if i < 2 {
				weight = 0.8
			}
			id := contract.InstanceID(fmt.Sprintf("d%d-%02d", d, i))
			h.ids = append(h.ids, id)
			h.startInstance(Member{ID: id, Address: "127.0.0.1:1", Domain: contract.FailureDomainID(fmt.Sprint("d", d)), Weight: weight}, spread)
		}
	}
}

// startInstance starts one instance, after stopping it if it runs.
func (h *harness) startInstance(self Member, spread time.Duration) {
	h.stop(self.ID)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		Member: self, changeLogs: map[discovery.Topic]*discovery.ChangeLog{}, members: NewMembers(self, discardLogger()), cancel: cancel, done: make(chan struct{}),
		active: discovery.NewActiveConfiguration(versionDecoder{}, discardLogger()), startedAt: time.Now(),
		rows: map[discovery.Topic]map[string]string{}, lastRevision: map[discovery.Topic]discovery.Revision{},
	}
	for _, topic := range topics {
		var options []discovery.ChangeLogOption
		if topic == discovery.Configuration {
			options = append(options, discovery.KeepNewer(discovery.OutdatedConfiguration(versionDecoder{})))
		}
		p.rows[topic] = map[string]string{}
		p.changeLogs[topic] = discovery.NewChangeLog(topic, h.clock, discovery.SameValue, discardLogger(), func(batch discovery.Batch, gap time.Duration) {
			p.apply(topic, batch)
			switch topic {
			case discovery.Instances:
				p.members.Apply(batch, gap)
			case discovery.Configuration:
				p.active.Apply(batch, gap)
			}
		}, options...)
	}
	var readers []*discovery.Reader
	p.backoff = discovery.NewBackoff(func(failing bool) {
		for _, r := range readers {
			r.StoreStateChanged(failing)
		}
		p.syncer.StoreStateChanged(failing)
	})
	eras := discovery.NewEraTracker()
	p.syncer = NewSyncer(Config{
		Self: self, LinksEnabled: true, Eras: eras, Members: p.members, Logs: p.changeLogs, Clock: h.clock, StoreFailing: p.backoff.Failing, StartupSpread: spread, Log: discardLogger(),
		Metrics: NewMetrics(prometheus.NewRegistry()),
		MaxAge: map[discovery.Topic]time.Duration{
			discovery.Configuration: maxRowAge, discovery.Upstreams: maxRowAge, discovery.Notices: 7 * time.Second, discovery.Instances: 30 * time.Second,
		},
	})
	connection := client{h.store, self.ID, eras}
	schedules := map[discovery.Topic]discovery.PollSchedule{
		discovery.Configuration: {Wait: maxRowAge}, discovery.Upstreams: {Pause: listPollInterval}, discovery.Notices: {Wait: noticesPollHold}, discovery.Instances: {Pause: 5 * time.Second},
	}
	var running sync.WaitGroup
	for _, topic := range topics {
		r := discovery.NewReader(discovery.ReaderConfig{
			Store: connection, Topic: topic, ChangeLog: p.changeLogs[topic], Backoff: p.backoff, Clock: h.clock, Logger: discardLogger(), Eras: eras,
			Schedule:     func() discovery.PollSchedule { return p.syncer.PollSchedule(topic, schedules[topic]) },
			WaitUntilDue: func(ctx context.Context, last time.Time) { p.syncer.AwaitRead(ctx, topic, schedules[topic], last) },
			AwaitPeers:   func(ctx context.Context) bool { return p.syncer.AwaitPeers(ctx, topic) },
		})
		readers = append(readers, r)
	}
	for _, r := range readers {
		running.Go(func() { r.Run(ctx) })
	}
	registrar := &Registrar{Store: connection, Self: self, Members: p.members, Syncer: p.syncer, Clock: h.clock, Log: discardLogger()}
	running.Go(func() { registrar.Run(ctx) })
	running.Go(func() { h.connectLinks(ctx, p) })
	running.Go(func() { p.syncer.Run(ctx) })
	h.processes[self.ID] = p
	go func() {
		running.Wait()
		close(p.done)
	}()
}

// connectLinks sets the transport of an instance once its failure domain is large enough.
func (h *harness) connectLinks(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		changed := p.members.Changed()
		if p.members.LinksUsable() {
			transport := h.network.Transport(p.ID)
			p.syncer.Register(transport)
			p.syncer.SetTransport(transport)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (p *process) apply(topic discovery.Topic, batch discovery.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versionDecreased = p.versionDecreased || batch.Revision().Before(p.lastRevision[topic])
	p.lastRevision[topic] = batch.Revision()
	for _, row := range batch.Rows {
		if row.Deleted {
			delete(p.rows[topic], row.Key)
		} else {
			p.rows[topic][row.Key] = string(row.Value)
		}
	}
}

// stop kills an instance.
func (h *harness) stop(id contract.InstanceID) {
	if p := h.processes[id]; p != nil {
		h.network.Remove(id)
		p.cancel()
		<-p.done
		delete(h.processes, id)
	}
}

func (h *harness) close() {
	h.network.Heal()
	for _, id := range h.ids {
		h.network.Resume(id)
	}
	for id := range h.processes {
		h.stop(id)
	}
}

// readers returns the instances that read the store, by failure domain.
func (h *harness) readers() map[contract.FailureDomainID][]contract.InstanceID {
	found := map[contract.FailureDomainID][]contract.InstanceID{}
	for id, p := range h.processes {
		if p.source().readStore {
			found[p.Domain] = append(found[p.Domain], id)
		}
	}
	for _, ids := range found {
		slices.Sort(ids)
	}
	return found
}

// checkFreshness changes the configuration and the list in turn, one each half second, and
// checks for some time that all instances but the exempt ones receive the changes within
// the bound and have rows no older than that.
func (h *harness) checkFreshness(duration time.Duration, exempt ...contract.InstanceID) {
	type change struct {
		topic discovery.Topic
		value string
		at    time.Time
	}
	written := map[discovery.Topic]change{}
	n := 0
	for began, next := time.Now(), time.Now(); time.Since(began) < duration; time.Sleep(20 * time.Millisecond) {
		if !time.Now().Before(next) {
			next = time.Now().Add(500 * time.Millisecond)
			n++
			topic, key := discovery.Configuration, "config"
			if n%2 == 0 {
				topic, key = discovery.Upstreams, "upstream-0"
			}
			value := strconv.FormatInt(time.Now().UnixNano(), 10)
			h.store.write(topic, key, value, false)
			if _, waiting := written[topic]; !waiting {
				written[topic] = change{topic, value, time.Now()}
			}
		}
		for topic, c := range written {
			if time.Since(c.at) < changeBound {
				continue
			}
			delete(written, topic)
			for id, p := range h.processes {
				if slices.Contains(exempt, id) {
					continue
				}
				key := "config"
				if topic == discovery.Upstreams {
					key = "upstream-0"
				}
				h.g.Expect(p.value(topic, key) >= c.value).To(BeTrue(), "%s did not receive a change of the %s within %s", id, topic, changeBound)
			}
		}
		for id, p := range h.processes {
			if slices.Contains(exempt, id) {
				continue
			}
			for _, topic := range []discovery.Topic{discovery.Configuration, discovery.Upstreams} {
				h.g.Expect(p.age(topic)).To(BeNumerically("<", changeBound), "%s of %s, source %s", topic, id, p.source())
			}
			p.mu.Lock()
			decreased := p.versionDecreased
			p.mu.Unlock()
			h.g.Expect(decreased).To(BeFalse(), "%s went back to an older version", id)
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
