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
	workspace       contract.WorkspaceID = "shop"
	sparing         contract.ServiceID   = "sparing"
	fast            contract.ServiceID   = "fast"
	charges         contract.ServiceID   = "charges"
	lookups         contract.ServiceID   = "lookups"
	engineCount                          = 6
	serviceCount                         = 2
	queueMS                              = 2000
	poisonText                           = "crashes every engine"
	firstTokenDelay                      = 200 * time.Millisecond
	tokenInterval                        = 40 * time.Millisecond
)

var pin = upstream.ModelPin{Model: "m", Version: "1"}

// harness holds the instances and the simulated systems that they use.
type harness struct {
	t         *testing.T
	startedAt time.Time
	rng       *rand.Rand // used only by the main goroutine of the test
	network   *linktest.Network
	table     *platformtest.TableService
	list      *platformtest.InstanceList
	engines   []*upstreamtest.FakeEngine
	dialer    *upstreamtest.FakeRouter
	services  *services
	nodes     []*node
	tasks     sync.WaitGroup // callers, operators and timers that end faults

	mu               sync.Mutex // guards all fields below
	rotation         []*node    // instances that the balancer chooses from
	notes            []string
	violations       []string
	statusNoted      bool
	counts           map[string]int
	lastPauseEnd     time.Time   // of an instance; in the future during a pause
	lastLinkFaultEnd time.Time   // of the links; in the future during a fault
	engineResumedAt  time.Time   // end of the last pause of an engine
	evidenceLossAt   []time.Time // starts of faults of instances and links
	history          history
}

func newHarness(t *testing.T, seed uint64, size int, atStart platformtest.Faults) *harness {
	h := &harness{
		t: t, startedAt: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)), network: linktest.NewNetwork(seed),
		table: platformtest.NewSeededTableService(seed), list: platformtest.NewInstanceList(), services: newServices(seed),
		counts: map[string]int{}, history: newHistory(),
	}
	h.network.SetDelay(func(_, _ contract.InstanceID) time.Duration { return 500 * time.Microsecond })
	h.list.SetLag(time.Second)
	h.table.SetFaults(atStart)
	for i := range engineCount {
		e := upstreamtest.NewFakeEngine(upstreamtest.EngineConfig{
			Target: upstream.Target{ID: engineID(i)}, Pin: pin, Nonce: uint64(i + 1), Greedy: true,
			FirstTokenDelay: firstTokenDelay, TokenInterval: tokenInterval, Slots: 8,
		})
		e.CrashOnPrompt(poisonText)
		h.engines = append(h.engines, e)
	}
	h.dialer = upstreamtest.NewFakeRouter(h.engines...)
	for i := range size {
		h.nodes = append(h.nodes, &node{harness: h, id: contract.InstanceID(fmt.Sprintf("i%d", i+1)), domain: domain(i)})
	}
	for _, n := range h.nodes {
		n.start()
	}
	h.rotation = h.nodes
	return h
}

func engineID(i int) contract.UpstreamID  { return contract.UpstreamID(fmt.Sprintf("e%d", i)) }
func serviceID(i int) contract.UpstreamID { return contract.UpstreamID(fmt.Sprintf("s%d", i)) }
func domain(i int) contract.FailureDomainID {
	return contract.FailureDomainID(fmt.Sprintf("d%d", i%3))
}

// document returns the first configuration.
func document() configuration.Document {
	d := configuration.Document{
		Services:   map[contract.ServiceID]configuration.Service{},
		Upstreams:  map[contract.UpstreamID]configuration.Upstream{},
		Workspaces: map[contract.WorkspaceID]configuration.Workspace{workspace: {RequestsPerSecond: 1e6, ConcurrentGenerations: 1e6}},
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
		d.Rules[string(id)] = configuration.Rule{Workspace: workspace, Service: id}
	}
	return d
}

// settingsOf returns the settings of a node.
func (h *harness) settingsOf(n *node) *settings.Settings {
	s := settings.Defaults()
	s.Instance, s.Region, s.FailureDomain = n.id, "r", n.domain
	s.AdvertiseLinkAddress = string(n.id)
	s.DrainLingerMS = 2000
	for _, other := range h.nodes {
		if other != n {
			s.Seeds = append(s.Seeds, settings.Seed{ID: other.id, LinkAddress: string(other.id), FailureDomain: other.domain})
		}
	}
	return &s
}

// noteHook adds the log lines that explain an instance's state to the notes.
type noteHook struct{ *node }

// Levels returns the log levels that the hook receives.
func (h noteHook) Levels() []logrus.Level { return []logrus.Level{logrus.WarnLevel, logrus.InfoLevel} }

// Fire adds a relevant line to the notes.
func (h noteHook) Fire(entry *logrus.Entry) error {
	switch entry.Message {
	case "confirmation changed", "instance state changed", "configuration version is in force":
		h.harness.note("%s %s %v", h.id, entry.Message, entry.Data)
	}
	return nil
}

func (n *node) log() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(noteHook{n})
	return log
}

// dial connects a caller to the instance with the given name. For any other name the
// balancer chooses the instance.
func (h *harness) dial(ctx context.Context, _, address string) (net.Conn, error) {
	host, _, _ := strings.Cut(address, ":")
	h.mu.Lock()
	chosen := h.rotation[rand.IntN(len(h.rotation))]
	h.mu.Unlock()
	for _, n := range h.nodes {
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

// client returns a client that connects to a host name through dial.
func (h *harness) client(host string) *client.Client {
	c, err := client.New([]string{"http://" + host}, client.WithDial(h.dial))
	if err != nil {
		panic(err)
	}
	return c
}

// note records a line with its virtual time for the report of a failure.
func (h *harness) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notes = append(h.notes, fmt.Sprintf("%8.3f ", time.Since(h.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// violation records a broken guarantee, which fails the test.
func (h *harness) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	h.note("VIOLATION %s", text)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, text)
}

func (h *harness) count(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[name]++
}

// afterDelay runs end, which ends a fault, after d.
func (h *harness) afterDelay(d time.Duration, end func()) {
	h.tasks.Go(func() {
		time.Sleep(d)
		end()
	})
}

func (h *harness) listUpstream(id contract.UpstreamID, state platform.EntryState) {
	h.list.SetUpstream(platform.ListEntry{ID: string(id), State: state})
}
