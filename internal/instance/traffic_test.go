package instance

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link/linktest"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/timeline"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

// trafficEnvVar is the variable that enables the measurement of all sizes.
const trafficEnvVar = "FOXTAILHUB_TRAFFIC"

const (
	settleDuration  = 60 * time.Second // until the instances are past their startup phase
	measureDuration = 40 * time.Second
)

// trafficFleet simulates the platform and the upstreams in virtual time.
type trafficFleet struct {
	snapshot   configuration.Snapshot
	mu         sync.Mutex // guards the fields below
	random     *rand.Rand
	loads      map[contract.UpstreamID]int
	leaving    map[contract.UpstreamID]bool
	paused     map[contract.UpstreamID]bool
	cutOffFrom map[contract.UpstreamID]int // number of the instance whose polls get no response
}

func newTrafficFleet(upstreams, workspaces int) *trafficFleet {
	f := &trafficFleet{random: rand.New(rand.NewPCG(1, 1)), loads: map[contract.UpstreamID]int{}}
	f.leaving, f.paused = map[contract.UpstreamID]bool{}, map[contract.UpstreamID]bool{}
	f.cutOffFrom = map[contract.UpstreamID]int{}
	f.snapshot.Version = 1
	f.snapshot.Document.Upstreams = map[contract.UpstreamID]configuration.Upstream{}
	f.snapshot.Document.Services = map[contract.ServiceID]configuration.Service{"notes": {Kind: configuration.KindEngine}}
	f.snapshot.Document.Workspaces = map[contract.WorkspaceID]configuration.Workspace{}
	for i := range upstreams {
		id := contract.UpstreamID(fmt.Sprintf("engine-oulu-a-%04d", i))
		f.snapshot.Document.Upstreams[id] = configuration.Upstream{Kind: configuration.KindEngine, Address: string(id)}
		f.loads[id] = 8
	}
	for i := range workspaces {
		f.snapshot.Document.Workspaces[contract.WorkspaceID(fmt.Sprintf("workspace-%03d", i))] = configuration.Workspace{}
	}
	return f
}

func (f *trafficFleet) Current() *configuration.Snapshot { return &f.snapshot }

func (f *trafficFleet) List(context.Context) (platform.List, error) { return platform.List{}, nil }

func (f *trafficFleet) Register(context.Context, platform.ListEntry) error { return nil }

func (f *trafficFleet) Deregister(context.Context, string) error { return nil }

// trafficDialer connects one instance to the simulated engines.
type trafficDialer struct {
	fleet  *trafficFleet
	number int
}

func (d trafficDialer) Engine(target upstream.Target) upstream.Engine {
	return trafficEngine{fleet: d.fleet, id: target.ID, from: d.number}
}

// trafficEngine reports a load that changes randomly by one request in every second poll.
type trafficEngine struct {
	upstream.Engine
	fleet *trafficFleet
	id    contract.UpstreamID
	from  int
}

func (e trafficEngine) Load(ctx context.Context) (upstream.LoadReport, error) {
	e.fleet.mu.Lock()
	if from, cut := e.fleet.cutOffFrom[e.id]; e.fleet.paused[e.id] || cut && from == e.from {
		e.fleet.mu.Unlock()
		<-ctx.Done()
		return upstream.LoadReport{}, ctx.Err()
	}
	defer e.fleet.mu.Unlock()
	e.fleet.loads[e.id] = min(max(e.fleet.loads[e.id]+e.fleet.random.IntN(4)/3-e.fleet.random.IntN(4)/3, 0), 16)
	return upstream.LoadReport{
		Incarnation: upstream.Incarnation("0f2d6c1e-7a53-4b8f-9d20-" + string(e.id[len(e.id)-4:])), Slots: 8,
		Running: min(e.fleet.loads[e.id], 8), Queued: max(e.fleet.loads[e.id]-8, 0),
		Leaving: e.fleet.leaving[e.id],
		Models:  []upstream.ModelPin{{Model: "fitting-notes", Version: "2026-11"}},
	}, nil
}

// measureTraffic returns the heartbeat bytes per second of one instance, in both
// directions and without transport overhead.
func measureTraffic(t *testing.T, instances, upstreams, workspaces int) (perSecond float64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := newTrafficFleet(upstreams, workspaces)
		network := linktest.NewNetwork(1)
		network.SetDelay(func(_, _ contract.InstanceID) time.Duration { return 2 * time.Millisecond })
		var running sync.WaitGroup
		var all []*membership.Membership
		for i := range instances {
			m, _ := startInstance(ctx, t, &running, fleet, network, i, instances)
			all = append(all, m)
		}
		total := func() (bytes int64) {
			for _, m := range all {
				stats := m.Stats()
				bytes += stats.BytesIn + stats.BytesOut
			}
			return bytes
		}
		time.Sleep(settleDuration)
		before := total()
		time.Sleep(measureDuration)
		perSecond = float64(total()-before) / measureDuration.Seconds() / float64(instances)
		cancel()
		running.Wait()
	})
	return perSecond
}

// startInstance starts the components of an instance that exchange digests.
func startInstance(ctx context.Context, t *testing.T, running *sync.WaitGroup, fleet *trafficFleet, network *linktest.Network, number, count int) (*membership.Membership, *upstream.Upstreams) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	member := func(i int) membership.Member {
		id := fmt.Sprintf("instance-%03d", i)
		return membership.Member{
			ID: contract.InstanceID(id), Address: id + ":1", Region: "pohjola",
			Domain: contract.FailureDomainID(fmt.Sprint("domain-", i%4)),
		}
	}
	var seeds []membership.Member
	var members []upstream.Member
	for i := range count {
		seeds = append(seeds, member(i))
		members = append(members, upstream.Member{ID: member(i).ID, FailureDomain: member(i).Domain})
	}
	m, err := membership.New(membership.Config{
		Self: member(number), Seeds: seeds, List: fleet, Transport: network.Transport(member(number).ID),
		Clock: timeline.NewClock(), Recorder: timeline.Discard{}, Log: log, JitterSeed: uint64(number) + 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	upstreams := upstream.New(upstream.Config{
		Self: members[number], Configuration: fleet, List: fleet, Engines: trafficDialer{fleet, number}, Recorder: timeline.Discard{},
		Instances: func() []upstream.Member { return members }, Logger: log, Seed: uint64(number) + 1,
	})
	admission := workspace.NewAdmission(workspace.Config{Instance: members[number].ID, Configuration: fleet, InstanceCount: func() int { return count }})
	m.RegisterSection(newUpstreamSection(upstreams).section())
	m.RegisterSection(newDemandSection(admission).section())
	m.SetState(membership.Ready)
	m.SetConfigurationStatus(membership.ConfigurationStatus{Current: true, HeadVersion: 1, HeldVersion: 1})
	running.Go(func() { _ = m.Run(ctx) })
	running.Go(func() { upstreams.Run(ctx) })
	running.Go(func() { admission.Run(ctx) })
	for id := range fleet.snapshot.Document.Workspaces {
		running.Go(func() { runGenerations(ctx, admission, id) })
	}
	return m, upstreams
}

// runGenerations runs generations of a workspace sequentially.
func runGenerations(ctx context.Context, admission *workspace.Admission, id contract.WorkspaceID) {
	for ctx.Err() == nil {
		request := workspace.AdmissionRequest{Workspace: id, Service: "notes", Deadline: time.Now().Add(time.Second)}
		if release, _, ok := admission.Admit(ctx, request); ok {
			sleepContext(ctx, time.Duration(500+rand.IntN(1000))*time.Millisecond)
			release()
		}
		sleepContext(ctx, time.Duration(rand.IntN(3000))*time.Millisecond)
	}
}

func sleepContext(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// Logs the bytes that digests add to heartbeats, for the capacity page. All sizes
// take minutes; without the environment variable only the first runs.
func TestTrafficBySize(t *testing.T) {
	sizes := []struct{ instances, upstreams, workspaces int }{
		{6, 24, 0}, {6, 100, 0}, {6, 300, 0}, {6, 0, 50},
		{20, 24, 0}, {20, 100, 0}, {20, 300, 0}, {20, 0, 50},
		{40, 100, 0}, {40, 0, 50}, {80, 100, 0}, {80, 300, 0},
	}
	if os.Getenv(trafficEnvVar) == "" {
		sizes = sizes[:1]
	}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d_%d_%d", size.instances, size.upstreams, size.workspaces), func(t *testing.T) {
			baseline := measureTraffic(t, size.instances, 0, 0)
			added := measureTraffic(t, size.instances, size.upstreams, size.workspaces) - baseline
			t.Logf("instances=%d upstreams=%d workspaces=%d heartbeats=%.0f B/s added=%.0f B/s each=%.1f B/s",
				size.instances, size.upstreams, size.workspaces, baseline, added, added/float64(size.upstreams+size.workspaces))
		})
	}
}

// Guards against digests that exceed the budget for control traffic.
func TestTrafficIsBounded(t *testing.T) {
	g := NewWithT(t)
	baseline := measureTraffic(t, 6, 0, 0)
	t.Logf("heartbeats=%.0f B/s", baseline)
	perUpstream := (measureTraffic(t, 6, 24, 0) - baseline) / 24
	perWorkspace := (measureTraffic(t, 6, 0, 10) - baseline) / 10
	t.Logf("per upstream=%.1f B/s per workspace=%.1f B/s", perUpstream, perWorkspace)
	g.Expect(perUpstream).To(BeNumerically("<", 35))
	g.Expect(perWorkspace).To(BeNumerically("<", 120))
}

// Guards against state changes of upstreams that are delayed by load reports or lost
// in compact digests: with more instances than a full mesh, every instance must see a
// leaving upstream within 3 s (P6), a paused one and its recovery.
func TestUpstreamStatesReachAllInstances(t *testing.T) {
	instances := 20
	if os.Getenv(trafficEnvVar) != "" {
		instances = 80
	}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		fleet := newTrafficFleet(30, 0)
		network := linktest.NewNetwork(1)
		network.SetDelay(func(_, _ contract.InstanceID) time.Duration { return 2 * time.Millisecond })
		var running sync.WaitGroup
		var all []*upstream.Upstreams
		for i := range instances {
			_, u := startInstance(ctx, t, &running, fleet, network, i, instances)
			all = append(all, u)
		}
		time.Sleep(settleDuration)
		timeUntilState := func(number int, state upstream.State) time.Duration {
			for begin := time.Now(); ; time.Sleep(50 * time.Millisecond) {
				matching := 0
				for _, u := range all {
					if u.Status()[number].State == state {
						matching++
					}
				}
				if matching == instances || time.Since(begin) > time.Minute {
					return time.Since(begin)
				}
			}
		}
		setFlag := func(flags map[contract.UpstreamID]bool, number int, on bool) {
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			flags[contract.UpstreamID(fmt.Sprintf("engine-oulu-a-%04d", number))] = on
		}
		for number := range 3 {
			setFlag(fleet.leaving, number, true)
			leaving := timeUntilState(number, upstream.StateLeaving)
			setFlag(fleet.paused, 10+number, true)
			down := timeUntilState(10+number, upstream.StateDown)
			setFlag(fleet.paused, 10+number, false)
			up := timeUntilState(10+number, upstream.StateLive)
			t.Logf("all %d instances: leaving after %s, down after %s, up after %s", instances, leaving, down, up)
			g.Expect(leaving).To(BeNumerically("<=", 3*time.Second))
			g.Expect(down).To(BeNumerically("<=", 4*time.Second))
			g.Expect(up).To(BeNumerically("<=", 4*time.Second))
		}
		checkCutOffWatchers(g, fleet, all, instances)
		cancel()
		running.Wait()
	})
}

// checkCutOffWatchers disconnects the watchers of different upstreams in turn: no other
// instance may then see the upstream as down.
func checkCutOffWatchers(g *WithT, fleet *trafficFleet, all []*upstream.Upstreams, instances int) {
	var members []upstream.Member
	for i := range instances {
		members = append(members, upstream.Member{
			ID: contract.InstanceID(fmt.Sprintf("instance-%03d", i)), FailureDomain: contract.FailureDomainID(fmt.Sprint("domain-", i%4)),
		})
	}
	for rank := range 3 {
		number := 20 + rank
		id := contract.UpstreamID(fmt.Sprintf("engine-oulu-a-%04d", number))
		watcher := upstream.Watchers(id, members)[rank]
		cut := slices.IndexFunc(members, func(m upstream.Member) bool { return m.ID == watcher })
		fleet.mu.Lock()
		fleet.cutOffFrom[id] = cut
		fleet.mu.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for i, u := range all {
				if i != cut {
					g.Expect(u.Status()[number].State).To(Equal(upstream.StateLive), "instance %d, rank %d", i, rank)
				}
			}
		}
		g.Expect(all[cut].Status()[number].State).To(Equal(upstream.StateDown))
	}
}
