// Package testfleet starts gateways and a small emulated platform as separate
// processes on loopback: a store, engines and plain servers behind proxies, and
// gateways that reach the store through proxies. Its callers check each response.
// It is used by end-to-end tests and measurements.
//
// The package must never be imported by a shipped program, and must never leave
// a process behind: Close kills all processes that still run.
package testfleet

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

const (
	// startTimeout bounds the start of all processes, also on a busy machine.
	startTimeout = 10 * time.Second
	// readinessInterval and readinessTimeout apply to the readiness checks by which
	// callers select a gateway, as a load balancer does.
	readinessInterval = 200 * time.Millisecond
	readinessTimeout  = 150 * time.Millisecond
	// writeTimeout bounds a request to the store.
	writeTimeout = time.Second
	// defaultRegisterInterval is used if Options has none.
	defaultRegisterInterval = 300 * time.Millisecond
	// faultTimeout bounds a request that sets the fault of a server, also on a busy machine.
	faultTimeout = 5 * time.Second
)

// Options set the size of a fleet and the speed of its servers.
type Options struct {
	Binaries         string // directory of the built programs
	Dir              string // receives logs and settings files
	Domains          int    // failure domains; each has one plain server
	EnginesPerDomain int    // engines in each failure domain
	Gateways         int
	// GatewayDomains is the number of failure domains over which the gateways are
	// spread; 0: Domains. In a domain with four or more gateways, only one reads the
	// store.
	GatewayDomains int
	Slots          int // of each server
	TokenInterval  time.Duration
	WorkDuration   time.Duration // processing time of a call or a prompt
	Grace          time.Duration // grace time that the gateways know; 0: their default
	// RegisterInterval is the time between writes of a server's entry in the store.
	RegisterInterval time.Duration
}

// Fleet is a set of running processes: a store, servers and gateways.
type Fleet struct {
	Options
	Store        *Node
	Engines      []*Node
	PlainServers []*Node
	Gateways     []*Node

	client     *http.Client
	stopChecks context.CancelFunc // stops the readiness checks

	writing sync.Mutex // held while the configuration is written, so that no older one replaces it

	mu            sync.Mutex // guards the fields below
	ready         map[*Node]bool
	configuration Configuration
	written       []byte // the configuration as last written
	routeChanges  []RouteChange
}

// Start starts all processes and waits until all gateways are ready.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{
		Options: options, ready: map[*Node]bool{}, configuration: baseConfiguration(options.Slots),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
	}
	checksCtx, stopChecks := context.WithCancel(context.Background())
	f.stopChecks = stopChecks
	if err := f.start(ctx, checksCtx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx, checksCtx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.provision(); err != nil {
		return err
	}
	if err := f.Store.Restart(); err != nil {
		return err
	}
	if err := testcluster.Await(ctx, f.storeResponds); err != nil {
		return errors.Wrap(err, "the store does not respond")
	}
	if err := f.WriteConfiguration(); err != nil {
		return err
	}
	servers := append(slices.Clone(f.Engines), f.PlainServers...)
	if err := restartAll(servers); err != nil {
		return err
	}
	// A gateway started before the last server registered would find that server only
	// at its next read of the server list, which a test may block.
	if err := testcluster.Await(ctx, func() bool { return f.registeredServers() >= len(servers) }); err != nil {
		return errors.Wrap(err, "the servers have not registered")
	}
	if err := restartAll(f.Gateways); err != nil {
		return err
	}
	go f.checkReadiness(checksCtx)
	allReady := func() bool { return len(f.ReadyAddresses()) == len(f.Gateways) }
	return errors.Wrap(testcluster.Await(ctx, allReady), "the gateways are not ready")
}

func restartAll(nodes []*Node) error {
	for _, n := range nodes {
		if err := n.Restart(); err != nil {
			return err
		}
	}
	return nil
}

// registeredServers returns the number of servers in the store's server list, 0 on an error.
func (f *Fleet) registeredServers() int {
	response, err := f.client.Get("http://" + f.Store.Address + "/v1/rows-get?table=servers&part=")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var list struct {
		Rows []struct{} `json:"rows"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return 0
	}
	return len(list.Rows)
}

// provision creates the addresses, proxies and settings files of all nodes.
func (f *Fleet) provision() (err error) {
	if f.Store, err = f.newNode("store", func(n *Node, _ int) []string {
		return []string{"foxtailhub-standin", "-role", "routed-store", "-listen", n.Address}
	}); err != nil {
		return err
	}
	for d := range f.Domains {
		domain := domainName(d)
		for e := range f.EnginesPerDomain {
			engine, err := f.newServer(fmt.Sprintf("engine-%d-%d", d, e), "routed-engine", EngineService, domain)
			if err != nil {
				return err
			}
			f.Engines = append(f.Engines, engine)
		}
		plain, err := f.newServer(fmt.Sprintf("plain-%d", d), "routed-service", PlainService, domain)
		if err != nil {
			return err
		}
		f.PlainServers = append(f.PlainServers, plain)
	}
	for i := range f.Options.Gateways {
		gateway, err := f.newGateway(i)
		if err != nil {
			return err
		}
		f.Gateways = append(f.Gateways, gateway)
	}
	return nil
}

func domainName(d int) string { return fmt.Sprintf("domain-%d", d) }

// Nodes returns all servers and gateways.
func (f *Fleet) Nodes() []*Node {
	var nodes []*Node
	nodes = append(nodes, f.Engines...)
	nodes = append(nodes, f.PlainServers...)
	return append(nodes, f.Gateways...)
}

// newNode returns a node with its own listen address.
func (f *Fleet) newNode(name string, arguments func(n *Node, startCount int) []string) (*Node, error) {
	address, err := testcluster.FreeAddress()
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Address: address}
	n.start = func(startCount int) (*testcluster.Process, error) {
		args := arguments(n, startCount)
		return testcluster.StartProgram(f.Dir, name, address, filepath.Join(f.Binaries, args[0]), args[1:]...)
	}
	return n, nil
}

// newServer returns a server that registers the address of its proxy in the server list.
func (f *Fleet) newServer(name, role, service, domain string) (*Node, error) {
	n, err := f.newNode(name, func(n *Node, startCount int) []string {
		return []string{
			"foxtailhub-standin", "-role", role, "-listen", n.Address, "-address", n.Proxy.Address(), "-store", f.Store.Address,
			"-id", fmt.Sprintf("%s-%d", name, startCount), "-service", service, "-failure-domain", domain,
			"-slots", fmt.Sprint(f.Slots), "-token-interval", f.TokenInterval.String(), "-work", f.WorkDuration.String(),
			"-beat", cmp.Or(f.RegisterInterval, defaultRegisterInterval).String(),
		}
	})
	if err != nil {
		return nil, err
	}
	n.Proxy, err = emulator.NewProxy(n.Address)
	return n, err
}

// newGateway returns a gateway that reaches the store through its own proxy.
func (f *Fleet) newGateway(i int) (*Node, error) {
	name := fmt.Sprintf("gateway-%d", i)
	path := filepath.Join(f.Dir, name+".json")
	n, err := f.newNode(name, func(*Node, int) []string { return []string{"foxtailhubd", "gateway", "-settings", path} })
	if err != nil {
		return nil, err
	}
	if n.Proxy, err = emulator.NewProxy(f.Store.Address); err != nil {
		return nil, err
	}
	if n.readinessAddress, err = testcluster.FreeAddress(); err != nil {
		return nil, err
	}
	domains := f.GatewayDomains
	if domains == 0 {
		domains = f.Domains
	}
	linkAddress, err := testcluster.FreeAddress()
	if err != nil {
		return nil, err
	}
	values := map[string]any{
		"link_address": linkAddress,
		"instance":     name, "failure_domain": domainName(i % domains), "front_address": n.Address, "readiness_address": n.readinessAddress,
		"store_address": n.Proxy.Address(), "log_lines_per_second": 2000,
	}
	if f.Grace > 0 {
		values["grace_ms"] = f.Grace.Milliseconds()
	}
	settings, err := json.Marshal(values)
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(path, settings, 0o600)
}

// Close kills all processes, also stopped ones, and closes the proxies.
func (f *Fleet) Close() {
	f.stopChecks()
	for _, n := range append(f.Nodes(), f.Store) {
		if n == nil {
			continue // Start failed before it was created
		}
		n.Signal(syscall.SIGCONT)
		n.Kill()
		if n.Proxy != nil {
			n.Proxy.Close()
		}
	}
}

func (f *Fleet) storeResponds() bool { return f.WriteRow("op", "other", []byte("{}")) == nil }

// WriteRow writes one row to the store.
func (f *Fleet) WriteRow(table, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return emulator.WriteRow(ctx, f.client, f.Store.Address, table, key, value)
}

// SetFault makes a server misbehave in the given way until its process restarts.
func (f *Fleet) SetFault(server *Node, fault emulator.ServerFault) error {
	ctx, cancel := context.WithTimeout(context.Background(), faultTimeout)
	defer cancel()
	return emulator.SetFault(ctx, f.client, server.Address, fault)
}

// StoreCallCounts counts the requests received by the store, by table; writes as "write".
func (f *Fleet) StoreCallCounts() (map[string]int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return emulator.CallCounts(ctx, f.client, f.Store.Address)
}

// checkReadiness polls the readiness of the gateways, as a load balancer does.
func (f *Fleet) checkReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	client := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, n := range f.Gateways {
			response, err := client.Get("http://" + n.readinessAddress + "/v1/readyz")
			ok := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			f.mu.Lock()
			f.ready[n] = ok
			f.mu.Unlock()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// ReadyAddresses returns the addresses of the gateways whose last readiness check succeeded.
func (f *Fleet) ReadyAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, n := range f.Gateways {
		if f.ready[n] {
			addresses = append(addresses, n.Address)
		}
	}
	return addresses
}
