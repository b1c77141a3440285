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
	h := &harness{procs: make(map[contract.UpstreamID]*upstreamProcess)}
	h.snapshot.Version = 1
	h.snapshot.Document.Upstreams = make(map[contract.UpstreamID]configuration.Upstream)
	service := configuration.Service{Kind: configuration.KindEngine, Model: testPin.Model, ModelVersion: testPin.Version}
	for _, domain := range domains {
		for i := range perDomain {
			id := contract.UpstreamID(fmt.Sprint(domain, "-", i))
			h.snapshot.Document.Upstreams[id] = configuration.Upstream{Kind: configuration.KindEngine, Address: string(id), FailureDomain: domain}
			service.Upstreams = append(service.Upstreams, id)
			h.procs[id] = &upstreamProcess{domain: domain}
			h.startLocked(id)
			h.list.Upstreams = append(h.list.Upstreams, platform.ListEntry{
				ID: string(id), State: platform.StateLive, UpdatedAt: time.Now()})
		}
	}
	h.snapshot.Document.Services = map[contract.ServiceID]configuration.Service{"notes": service}
	return h
}

func (h *harness) Current() *configuration.Snapshot { return &h.snapshot }

func (h *harness) List(context.Context) (platform.List, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return platform.List{Upstreams: append([]platform.ListEntry(nil), h.list.Upstreams...)}, nil
}

func (h *harness) Register(context.Context, platform.ListEntry) error { return nil }
func (h *harness) Deregister(context.Context, string) error           { return nil }

func (h *harness) startLocked(id contract.UpstreamID) {
	h.starts++
	p := h.procs[id]
	p.incarnation, p.alive, p.leaving = Incarnation(fmt.Sprint("start-", h.starts)), true, false
	p.exited, p.disconnected = make(chan struct{}), make(chan struct{})
}

func (h *harness) start(id contract.UpstreamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.procs[id].alive {
		h.startLocked(id)
	}
}

func (h *harness) kill(id contract.UpstreamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.procs[id]; p.alive {
		p.alive = false
		close(p.exited)
		h.crashes = append(h.crashes, id)
	}
}

func (h *harness) set(id contract.UpstreamID, change func(*upstreamProcess)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h.procs[id])
}

// cutConnections closes the connections to an upstream that keeps running.
func (h *harness) cutConnections(id contract.UpstreamID) {
	h.set(id, func(p *upstreamProcess) {
		close(p.disconnected)
		p.disconnected = make(chan struct{})
	})
}

func (h *harness) crashCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.crashes)
}

// runRequest runs a request on an upstream and returns the resulting observation.
func (h *harness) runRequest(id contract.UpstreamID, length time.Duration, kills bool) Observation {
	h.mu.Lock()
	p := *h.procs[id]
	h.mu.Unlock()
	switch {
	case !p.alive:
		return Observation{Kind: ObservedUnreachable}
	case p.leaving:
		return Observation{Kind: ObservedLeaving, Incarnation: p.incarnation}
	}
	if kills {
		time.Sleep(50 * time.Millisecond)
		h.kill(id)
	}
	select {
	case <-p.disconnected:
		return Observation{Kind: ObservedConnectionLost, Incarnation: p.incarnation}
	case <-p.exited:
		return Observation{Kind: ObservedConnectionLost, Incarnation: p.incarnation}
	case <-time.After(length):
		return Observation{Kind: ObservedOK, Incarnation: p.incarnation}
	}
}

func (h *harness) Engine(target Target) Engine { return harnessEngine{harness: h, id: target.ID} }

// harnessDialer connects one instance, numbered from 1, to the harness.
type harnessDialer struct {
	harness *harness
	from    int
}

func (d harnessDialer) Engine(target Target) Engine {
	return harnessEngine{harness: d.harness, id: target.ID, from: d.from}
}

// harnessEngine serves load reports; the tests use harness.runRequest.
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

func newCluster(h *harness, seed uint64, count int) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{harness: h, cancel: cancel}
	for i := range count {
		c.members = append(c.members, Member{ID: contract.InstanceID(fmt.Sprint("instance-", i)),
			FailureDomain: contract.FailureDomainID(fmt.Sprint("domain-", i))})
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for i, self := range c.members {
		u := New(Config{
			Self: self, Configuration: h, List: h, Engines: harnessDialer{h, i + 1}, Recorder: timeline.Discard{}, Logger: logger,
			Instances: func() []Member { return c.members }, Seed: seed*100 + uint64(i),
		})
		c.instances = append(c.instances, u)
		c.done.Go(func() { u.Run(ctx) })
	}
	c.done.Go(func() { c.sendHeartbeats(ctx) })
	return c
}

func (c *cluster) stop() {
	c.cancel()
	c.done.Wait()
}

func (c *cluster) sendHeartbeats(ctx context.Context) {
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
	c.instances[to].ApplyDigest(c.members[from].ID, decoded)
	return decoded.Seq
}
