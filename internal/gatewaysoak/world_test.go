//go:build e2e

package gatewaysoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	// The programs are built by the tests. This import makes a change of the
	// product invalidate cached results.
	_ "foxtailhub.example/foxtailhub/internal/gateway"
	"foxtailhub.example/foxtailhub/internal/testcluster"
	_ "foxtailhub.example/foxtailhub/platform"
)

const (
	testKey       = "key-1"
	testWorkspace = "workspace-1"
	domains       = 3
	enginesEach   = 2 // in each failure domain
	gatewayCount  = 3
	// bound is the stated time within which a configuration is in force and a
	// loss is made good.
	bound = 3 * time.Second
)

// binaries is the directory of the programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "foxtailhub-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory) //nolint:errcheck // nothing depends on it
	binaries = directory
	if err := testcluster.Build(context.Background(), directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// node is a process that is stopped and started again in the course of a test.
type node struct {
	name    string
	address string // on which it listens
	proxy   *emulator.Proxy
	start   func(generation int) (*testcluster.Process, error)

	mu         sync.Mutex // guards the fields below
	process    *testcluster.Process
	generation int
}

// world is a store, servers behind proxies, and gateways that reach the store
// through proxies.
type world struct {
	t        *testing.T
	g        Gomega
	dir      string
	binaries string
	store    *node
	engines  []*node
	plain    []*node
	gateways []*node
	client   *http.Client

	mu     sync.Mutex // guards the fields below
	ready  map[string]bool
	config configuration
}

// newWorld starts everything and waits until it is ready.
func newWorld(t *testing.T) *world {
	w := &world{
		t: t, g: NewWithT(t), dir: t.TempDir(), ready: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
	}
	w.binaries = binaries
	w.store = w.newNode("store", func(n *node, _ int) []string {
		return []string{"foxtailhub-standin", "-role", "routed-store", "-listen", n.address}
	})
	w.g.Expect(w.store.restart()).To(Succeed())
	w.awaitStore()
	w.config = baseConfiguration()
	w.writeConfiguration()
	for d := range domains {
		domain := fmt.Sprintf("domain-%d", d)
		for e := range enginesEach {
			w.engines = append(w.engines, w.server(fmt.Sprintf("engine-%d-%d", d, e), "routed-engine", "engines", domain))
		}
		w.plain = append(w.plain, w.server(fmt.Sprintf("plain-%d", d), "routed-service", "plain", domain))
	}
	for i := range gatewayCount {
		w.gateways = append(w.gateways, w.gateway(i))
	}
	t.Cleanup(w.close)
	for _, n := range w.all() {
		w.g.Expect(n.restart()).To(Succeed())
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.watchReadiness(ctx)
	w.g.Eventually(w.readyGateways, 10*time.Second, 50*time.Millisecond).Should(HaveLen(gatewayCount))
	return w
}

func (w *world) all() []*node {
	var nodes []*node
	nodes = append(nodes, w.engines...)
	nodes = append(nodes, w.plain...)
	return append(nodes, w.gateways...)
}

// newNode returns a node that listens on an address of its own.
func (w *world) newNode(name string, arguments func(n *node, generation int) []string) *node {
	address, err := testcluster.FreeAddress()
	w.g.Expect(err).NotTo(HaveOccurred())
	n := &node{name: name, address: address}
	n.start = func(generation int) (*testcluster.Process, error) {
		args := arguments(n, generation)
		return testcluster.StartProgram(w.dir, name, address, filepath.Join(w.binaries, args[0]), args[1:]...)
	}
	return n
}

// server returns a server whose proxy stands in the list.
func (w *world) server(name, role, service, domain string) *node {
	n := w.newNode(name, func(n *node, generation int) []string {
		return []string{
			"foxtailhub-standin", "-role", role, "-listen", n.address, "-address", n.proxy.Address(), "-store", w.store.address,
			"-id", fmt.Sprintf("%s-%d", name, generation), "-service", service, "-failure-domain", domain,
			"-slots", "64", "-token-interval", "15ms", "-work", "20ms",
		}
	})
	proxy, err := emulator.NewProxy(n.address)
	w.g.Expect(err).NotTo(HaveOccurred())
	n.proxy = proxy
	return n
}

// gateway returns a gateway that reaches the store through a proxy of its own.
func (w *world) gateway(i int) *node {
	proxy, err := emulator.NewProxy(w.store.address)
	w.g.Expect(err).NotTo(HaveOccurred())
	readiness, err := testcluster.FreeAddress()
	w.g.Expect(err).NotTo(HaveOccurred())
	name := fmt.Sprintf("gateway-%d", i)
	path := filepath.Join(w.dir, name+".json")
	n := w.newNode(name, func(*node, int) []string { return []string{"foxtailhubd", "gateway", "-settings", path} })
	n.proxy = proxy
	settings, err := json.Marshal(map[string]any{
		"instance": name, "failure_domain": "domain-0", "front_address": n.address, "readiness_address": readiness,
		"store_address": proxy.Address(), "log_lines_per_second": 2000,
	})
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(os.WriteFile(path, settings, 0o600)).To(Succeed())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ready[readiness+" "+n.address] = false
	return n
}

// restart kills the process, if it runs, and starts the next generation.
func (n *node) restart() error {
	n.kill()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.generation++
	process, err := n.start(n.generation)
	n.process = process
	return err
}

func (n *node) kill() {
	if process := n.current(); process != nil {
		process.Kill()
	}
}

func (n *node) current() *testcluster.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// signal sends a signal to the process; one that has ended gets none.
func (n *node) signal(s syscall.Signal) { _ = n.current().Signal(s) }

func (w *world) close() {
	for _, n := range append(w.all(), w.store) {
		n.signal(syscall.SIGCONT)
		n.kill()
		if n.proxy != nil {
			n.proxy.Close()
		}
	}
	if w.t.Failed() {
		kept := filepath.Join(os.TempDir(), "foxtailhub-"+strings.ReplaceAll(w.t.Name(), "/", "-")+fmt.Sprint(os.Getpid()))
		if err := os.Rename(w.dir, kept); err == nil {
			w.t.Logf("logs are kept in %s", kept)
		}
	}
}

func (w *world) awaitStore() {
	w.g.Eventually(func() error {
		return emulator.Transact(w.t.Context(), w.client, w.store.address, "op", "other", []byte("{}"))
	}, 10*time.Second, 20*time.Millisecond).Should(Succeed())
}

// watchReadiness asks the gateways as the balancer does.
func (w *world) watchReadiness(ctx context.Context) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	client := &http.Client{Timeout: 150 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		w.mu.Lock()
		var both []string
		for key := range w.ready {
			both = append(both, key)
		}
		w.mu.Unlock()
		for _, key := range both {
			readiness, _, _ := strings.Cut(key, " ")
			response, err := client.Get("http://" + readiness + "/v1/readyz")
			ok := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			w.mu.Lock()
			w.ready[key] = ok
			w.mu.Unlock()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readyGateways returns the addresses of the gateways that take new connections.
func (w *world) readyGateways() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var addresses []string
	for key, ok := range w.ready {
		if ok {
			_, front, _ := strings.Cut(key, " ")
			addresses = append(addresses, front)
		}
	}
	return addresses
}

// configuration is what the operator writes.
type configuration struct {
	Version  int64            `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Tenants  []map[string]any `json:"tenants"`
}

func baseConfiguration() configuration {
	routeTo := func(name, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "host.example", "prefix": "/" + name + "/", "route_type": kind, "service": service,
			"timeout_ms": 20000, "latency_goal_ms": 300, "max_attempts": 2,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	return configuration{
		Version: 1,
		Routes: []map[string]any{
			routeTo("draft", "streaming", "engines", map[string]any{"resumable": true, "max_attempts": 8, "gap_target_ms": 700, "latency_goal_ms": 4500}),
			routeTo("book", "non_idempotent", "plain", map[string]any{"timeout_ms": 2000, "max_attempts": 1}),
			routeTo("read", "idempotent", "plain", map[string]any{"timeout_ms": 2000}),
		},
		Services: []map[string]any{
			{"name": "engines", "health_path": "/healthz", "engine": map[string]any{"slots": 64, "kv_tokens": 88000, "backups": true, "handle_s": 4.0}},
			{"name": "plain", "health_path": "/healthz"},
		},
		Tenants: []map[string]any{{"name": testWorkspace, "api_keys": []string{testKey}}},
	}
}

// writeConfiguration writes the configuration under its next version; it
// reports whether the store has accepted it.
func (w *world) writeConfiguration() bool {
	w.mu.Lock()
	w.config.Version += 3
	value, err := json.Marshal(w.config)
	w.mu.Unlock()
	w.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return emulator.Transact(ctx, w.client, w.store.address, "op", "config", value) == nil
}

// changeRoutes adds a route or removes the newest added one.
func (w *world) changeRoutes(add bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	base := len(baseConfiguration().Routes)
	switch {
	case add:
		r := map[string]any{}
		for key, value := range w.config.Routes[base-1] {
			r[key] = value
		}
		r["name"] = fmt.Sprintf("added-%d", w.config.Version)
		r["prefix"] = fmt.Sprintf("/added-%d/", w.config.Version)
		w.config.Routes = append(w.config.Routes, r)
	case len(w.config.Routes) > base:
		w.config.Routes = w.config.Routes[:len(w.config.Routes)-1]
	}
}

// addedRoutes returns the prefixes of the routes that were added and are still there.
func (w *world) addedRoutes() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var prefixes []string
	for _, r := range w.config.Routes[len(baseConfiguration().Routes):] {
		prefixes = append(prefixes, r["prefix"].(string))
	}
	return prefixes
}
