package upstream

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

var testPin = ModelPin{Model: "fitting", Version: "3"}

// seeds returns the fixed seeds of CI, or the one in FOXTAILHUB_SEED.
func seeds(t *testing.T, count uint64) []uint64 {
	if text := os.Getenv("FOXTAILHUB_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return []uint64{seed}
	}
	var all []uint64
	for seed := range count {
		all = append(all, seed+1)
	}
	return all
}

// harness is a set of upstream processes for tests in virtual time. It implements
// EngineDialer, InstanceList and configuration.Source.
type harness struct {
	snapshot configuration.Snapshot
	mu       sync.Mutex // guards all fields below
	procs    map[contract.UpstreamID]*upstreamProcess
	list     platform.List
	starts   int
	crashes  []contract.UpstreamID
}

type upstreamProcess struct {
	incarnation     Incarnation
	domain          contract.FailureDomainID
	exited          chan struct{} // closed when the process crashes
	disconnected    chan struct{} // closed when its connections are closed
	alive           bool
	leaving         bool
	paused          bool
	reportsLag      bool // load reports do not show leaving
	unreachableFrom int  // number of the instance whose polls get no response, from 1; 0 for none
}

// newHarness returns perDomain engines in each domain, all serving "notes".
func newHarness(perDomain int, domains ...contract.FailureDomainID) *harness {
	w := &harness{procs: make(map[contract.UpstreamID]*upstreamProcess)}
	w.snapshot.Version = 1
	w.snapshot.Document.Upstreams = make(map[contract.UpstreamID]configuration.Upstream)
	service := configuration.Service{Kind: configuration.KindEngine, Model: testPin.Model, ModelVersion: testPin.Version}
	for _, domain := range domains {
		for i := range perDomain {
			id := contract.UpstreamID(fmt.Sprint(domain, "-", i))
			w.snapshot.Document.Upstreams[id] = configuration.Upstream{Kind: configuration.KindEngine, Address: string(id), FailureDomain: domain}
			service.Upstreams = append(service.Upstreams, id)
			w.procs[id] = &upstreamProcess{domain: domain}
			w.startLocked(id)
			w.list.Upstreams = append(w.list.Upstreams, platform.ListEntry{
				ID: string(id), State: platform.ListedLive, UpdatedAt: time.Now()})
		}
	}
	w.snapshot.Document.Services = map[contract.ServiceID]configuration.Service{"notes": service}
	return w
}

func (w *harness) Current() *configuration.Snapshot { return &w.snapshot }

func (w *harness) List(context.Context) (platform.List, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return platform.List{Upstreams: append([]platform.ListEntry(nil), w.list.Upstreams...)}, nil
}

func (w *harness) Announce(context.Context, platform.ListEntry) error { return nil }
func (w *harness) Withdraw(context.Context, string) error             { return nil }

func (w *harness) startLocked(id contract.UpstreamID) {
	w.starts++
	p := w.procs[id]
	p.incarnation, p.alive, p.leaving = Incarnation(fmt.Sprint("start-", w.starts)), true, false
	p.exited, p.disconnected = make(chan struct{}), make(chan struct{})
}

func (w *harness) start(id contract.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.procs[id].alive {
		w.startLocked(id)
	}
}

func (w *harness) kill(id contract.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.procs[id]; p.alive {
		p.alive = false
		close(p.exited)
		w.crashes = append(w.crashes, id)
	}
}

func (w *harness) set(id contract.UpstreamID, change func(*upstreamProcess)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w.procs[id])
}

// cut closes the connections to an upstream that keeps running.
func (w *harness) cut(id contract.UpstreamID) {
	w.set(id, func(p *upstreamProcess) {
		close(p.disconnected)
		p.disconnected = make(chan struct{})
	})
}

func (w *harness) crashCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.crashes)
}

// run runs a request on an upstream and returns the resulting observation.
func (w *harness) run(id contract.UpstreamID, length time.Duration, kills bool) Observation {
	w.mu.Lock()
	p := *w.procs[id]
	w.mu.Unlock()
	switch {
	case !p.alive:
		return Observation{Kind: ObservedUnreachable}
	case p.leaving:
		return Observation{Kind: ObservedLeaving, Incarnation: p.incarnation}
	}
	if kills {
		time.Sleep(50 * time.Millisecond)
		w.kill(id)
	}
	select {
	case <-p.disconnected:
		return Observation{Kind: ObservedLost, Incarnation: p.incarnation}
	case <-p.exited:
		return Observation{Kind: ObservedLost, Incarnation: p.incarnation}
	case <-time.After(length):
		return Observation{Kind: ObservedOK, Incarnation: p.incarnation}
	}
}

func (w *harness) Engine(target Target) Engine { return harnessEngine{harness: w, id: target.ID} }

// harnessDialer connects one instance, numbered from 1, to the harness.
type harnessDialer struct {
	harness *harness
	from    int
}

func (d harnessDialer) Engine(target Target) Engine {
	return harnessEngine{harness: d.harness, id: target.ID, from: d.from}
}

// harnessEngine serves load reports; the tests run requests through harness.run.
type harnessEngine struct {
	Engine
	harness *harness
	id      contract.UpstreamID
	from    int
}

func (e harnessEngine) Load(ctx context.Context) (LoadReport, error) {
	e.harness.mu.Lock()
	p := *e.harness.procs[e.id]
	e.harness.mu.Unlock()
	if p.paused || p.unreachableFrom != 0 && p.unreachableFrom == e.from {
		<-ctx.Done()
		return LoadReport{}, ctx.Err()
	}
	if !p.alive {
		return LoadReport{}, ErrUnreachable
	}
	return LoadReport{Incarnation: p.incarnation, Leaving: p.leaving && !p.reportsLag, Slots: 8, Models: []ModelPin{testPin}}, nil
}

// cluster is a set of instances that exchange digests every 500 ms.
type cluster struct {
	harness   *harness
	instances []*Upstreams
	members   []Member
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

func newCluster(w *harness, seed uint64, count int) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{harness: w, cancel: cancel}
	for i := range count {
		c.members = append(c.members, Member{ID: contract.InstanceID(fmt.Sprint("instance-", i)),
			FailureDomain: contract.FailureDomainID(fmt.Sprint("domain-", i))})
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for i, self := range c.members {
		u := New(Config{
			Self: self, Configuration: w, List: w, Engines: harnessDialer{w, i + 1}, Recorder: timeline.Discard{}, Logger: logger,
			Instances: func() []Member { return c.members }, Seed: seed*100 + uint64(i),
		})
		c.instances = append(c.instances, u)
		c.done.Go(func() { u.Run(ctx) })
	}
	c.done.Go(func() { c.heartbeats(ctx) })
	return c
}

func (c *cluster) stop() {
	c.cancel()
	c.done.Wait()
}

func (c *cluster) heartbeats(ctx context.Context) {
	sent := make(map[[2]int]uint64)
	for ctx.Err() == nil {
		for from := range c.instances {
			for to := range c.instances {
				if from != to {
					sent[[2]int{from, to}] = c.exchange(from, to, sent[[2]int{from, to}])
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// exchange sends a digest in its encoded form.
func (c *cluster) exchange(from, to int, since uint64) uint64 {
	digest := c.instances[from].DigestFor(c.members[to].ID, since)
	encoded, err := cbor.Marshal(digest)
	if err != nil {
		panic(err)
	}
	var decoded Digest
	if err := cbor.Unmarshal(encoded, &decoded); err != nil {
		panic(err)
	}
	c.instances[to].Learn(c.members[from].ID, decoded)
	return decoded.Seq
}
