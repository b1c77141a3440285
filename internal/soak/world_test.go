package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link/linktest"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
	"foxtailhub.example/foxtailhub/internal/settings"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/upstreamtest"
)

const (
	space        contract.WorkspaceID = "shop"
	sparing      contract.ServiceID   = "sparing"
	fast         contract.ServiceID   = "fast"
	charges      contract.ServiceID   = "charges"
	lookups      contract.ServiceID   = "lookups"
	engineCount                       = 6
	serviceCount                      = 2
	queueMS                           = 2000
	poisonText                        = "crashes every engine"
	firstToken                        = 200 * time.Millisecond
	interval                          = 40 * time.Millisecond
)

var pin = upstream.ModelPin{Model: "m", Version: "1"}

// world is the instances and everything that they reach.
type world struct {
	t        *testing.T
	began    time.Time
	rng      *rand.Rand // of the schedule, used by its goroutine only
	network  *linktest.Network
	table    *platformtest.Table
	list     *platformtest.Instances
	engines  []*upstreamtest.FakeEngine
	dialer   *upstreamtest.FakeRouter
	services *services
	nodes    []*node
	tasks    sync.WaitGroup // callers, operators and ends of faults

	mu         sync.Mutex // guards all fields below
	rotation   []*node    // where the balancer sends connections
	notes      []string
	violations []string
	explained  bool
	counts     map[string]int
	pausedAt   time.Time   // end of the last pause; the future while one lasts
	splitAt    time.Time   // end of the last fault of the links, as pausedAt
	answersAt  time.Time   // end of the last pause of an engine
	lossAt     []time.Time // begins of faults of instances and links
	history    history
}

func newWorld(t *testing.T, seed uint64, size int, atStart platformtest.Faults) *world {
	w := &world{
		t: t, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)), network: linktest.NewNetwork(seed),
		table: platformtest.NewSeededTable(seed), list: platformtest.NewInstances(), services: newServices(seed),
		counts: map[string]int{}, history: newHistory(),
	}
	w.network.SetDelay(func(_, _ contract.InstanceID) time.Duration { return 500 * time.Microsecond })
	w.list.SetLag(time.Second)
	w.table.Set(atStart)
	for i := range engineCount {
		e := upstreamtest.NewFakeEngine(upstreamtest.EngineConfig{
			Target: upstream.Target{ID: engineID(i)}, Pin: pin, Nonce: uint64(i + 1), Greedy: true,
			FirstToken: firstToken, Interval: interval, Slots: 8,
		})
		e.CrashOn(poisonText)
		w.engines = append(w.engines, e)
	}
	w.dialer = upstreamtest.NewFakeRouter(w.engines...)
	for i := range size {
		w.nodes = append(w.nodes, &node{world: w, id: contract.InstanceID(fmt.Sprintf("i%d", i+1)), domain: domain(i)})
	}
	for _, n := range w.nodes {
		n.start()
	}
	w.rotation = w.nodes
	return w
}

func engineID(i int) contract.UpstreamID  { return contract.UpstreamID(fmt.Sprintf("e%d", i)) }
func serviceID(i int) contract.UpstreamID { return contract.UpstreamID(fmt.Sprintf("s%d", i)) }
func domain(i int) contract.FailureDomainID {
	return contract.FailureDomainID(fmt.Sprintf("d%d", i%3))
}

// document is the first configuration.
func document() configuration.Document {
	d := configuration.Document{
		Services:   map[contract.ServiceID]configuration.Service{},
		Upstreams:  map[contract.UpstreamID]configuration.Upstream{},
		Workspaces: map[contract.WorkspaceID]configuration.Workspace{space: {RequestsPerSecond: 1e6, ConcurrentGenerations: 1e6}},
		Rules:      map[string]configuration.Rule{},
	}
	var engines, servers []contract.UpstreamID
	for i := range engineCount {
		engines = append(engines, engineID(i))
		d.Upstreams[engineID(i)] = configuration.Upstream{
			Kind: configuration.KindEngine, Address: fmt.Sprintf("10.0.1.%d:80", i+1), FailureDomain: domain(i), Slots: 8,
		}
	}
	for i := range serviceCount {
		servers = append(servers, serviceID(i))
		d.Upstreams[serviceID(i)] = configuration.Upstream{
			Kind: configuration.KindService, Address: fmt.Sprintf("10.0.2.%d:80", i+1), FailureDomain: domain(i),
		}
	}
	for id, policy := range map[contract.ServiceID]configuration.ResumePolicy{
		sparing: configuration.ResumeSparing, fast: configuration.ResumeFast,
	} {
		d.Services[id] = configuration.Service{
			Kind: configuration.KindEngine, Model: pin.Model, ModelVersion: pin.Version, ResumePolicy: policy,
			QueueMS: queueMS, DeadlineMS: 30_000, DetachGraceMS: 5_000, Upstreams: engines,
		}
	}
	d.Services[charges] = configuration.Service{Kind: configuration.KindService, Upstreams: servers}
	d.Services[lookups] = configuration.Service{Kind: configuration.KindService, Idempotent: true, Upstreams: servers}
	for id := range d.Services {
		d.Rules[string(id)] = configuration.Rule{Workspace: space, Service: id}
	}
	return d
}

// settingsOf returns the settings of a node.
func (w *world) settingsOf(n *node) *settings.Settings {
	s := settings.Defaults()
	s.Instance, s.Region, s.FailureDomain = n.id, "r", n.domain
	s.AdvertiseLinkAddress = string(n.id)
	s.DrainLingerMS = 2000
	for _, other := range w.nodes {
		if other != n {
			s.Seeds = append(s.Seeds, settings.Seed{ID: other.id, LinkAddress: string(other.id), FailureDomain: other.domain})
		}
	}
	return &s
}

// noteLog notes the lines of an instance's log that explain its state.
type noteLog struct{ *node }

// Levels returns the levels of such lines.
func (l noteLog) Levels() []logrus.Level { return []logrus.Level{logrus.WarnLevel, logrus.InfoLevel} }

// Fire notes a line.
func (l noteLog) Fire(entry *logrus.Entry) error {
	switch entry.Message {
	case "confirmation changed", "instance state changed", "configuration version is in force":
		l.world.note("%s %s %v", l.id, entry.Message, entry.Data)
	}
	return nil
}

func (n *node) log() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(noteLog{n})
	return log
}

// dial connects a caller: to a named instance or, by any other name, to one
// that the balancer chooses.
func (w *world) dial(ctx context.Context, _, address string) (net.Conn, error) {
	host, _, _ := strings.Cut(address, ":")
	w.mu.Lock()
	chosen := w.rotation[rand.IntN(len(w.rotation))]
	w.mu.Unlock()
	for _, n := range w.nodes {
		if string(n.id) == host {
			chosen = n
		}
	}
	listener := chosen.current().listener
	if listener == nil {
		return nil, errors.Newf("%s is down", chosen.id)
	}
	return listener.dial(ctx)
}

// client returns a caller's client for a host name.
func (w *world) client(host string) *client.Client {
	c, err := client.New([]string{"http://" + host}, client.WithDial(w.dial))
	if err != nil {
		panic(err)
	}
	return c
}

// note keeps a line of the history for the report of a failure.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// violation reports a broken promise.
func (w *world) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("VIOLATION %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, text)
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

// after runs the end of a fault later.
func (w *world) after(d time.Duration, end func()) {
	w.tasks.Go(func() {
		time.Sleep(d)
		end()
	})
}

func (w *world) listUpstream(id contract.UpstreamID, state platform.ListedState) {
	w.list.SetUpstream(platform.ListEntry{ID: string(id), State: state})
}
