package testcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/settings"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/tlskeys"
)

// Names that every cluster uses.
const (
	Region         = "hokkaido"
	Workspace      = contract.WorkspaceID("shop-a")
	OtherWorkspace = contract.WorkspaceID("shop-b")
	Generations    = contract.ServiceID("care-guides")     // engines
	Charges        = contract.ServiceID("renewal-charges") // plain service, not idempotent
	Lookups        = contract.ServiceID("order-lookups")   // plain service, idempotent

	Model        = "guide-drafter"
	ModelVersion = "2026-11"
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

var domains = []contract.FailureDomainID{"sapporo", "asahikawa", "obihiro"}

// Options describe a cluster. Zero values take the defaults.
type Options struct {
	Instances     int // default 3
	Engines       int // default 3
	Services      int // default 1
	Aliases       int // further addresses of engine 0
	Slots         int // of each engine, default 8
	TokenInterval time.Duration
	ResumePolicy  configuration.ResumePolicy // default sparing
	LossHeadroom  configuration.LossHeadroom // default none: tests and measurements fill all slots
	Adjust        func(*settings.Settings)   // changes the settings of each instance; may be nil
	Document      func(*Cluster, *configuration.Document)
	Binaries      string // directory of the built programs; "": they are built
}

// Cluster is a set of running processes.
type Cluster struct {
	Platform  *Process
	Engines   []*Process
	Services  []*Process
	Instances []*Process
	Aliases   []string // further addresses of engine 0, set before the document is adjusted

	options   Options
	dir       string
	binaries  string
	settings  []*settings.Settings
	authority *tlskeys.Authority
	foreign   []*Process
}

// Start starts all processes and puts a configuration in force. dir must be an
// empty directory; logs, keys and settings go there.
func Start(ctx context.Context, dir string, options Options) (*Cluster, error) {
	c := &Cluster{options: withDefaults(options), dir: dir, binaries: options.Binaries}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func withDefaults(o Options) Options {
	for field, value := range map[*int]int{&o.Instances: 3, &o.Engines: 3, &o.Services: 1, &o.Slots: 8} {
		if *field == 0 {
			*field = value
		}
	}
	if o.TokenInterval == 0 {
		o.TokenInterval = 10 * time.Millisecond
	}
	if o.ResumePolicy == "" {
		o.ResumePolicy = configuration.ResumeSparing
	}
	if o.LossHeadroom == "" {
		o.LossHeadroom = configuration.HeadroomNone
	}
	return o
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.build(ctx); err != nil {
		return err
	}
	if err := c.startStandins(); err != nil {
		return err
	}
	if err := c.prepareInstances(); err != nil {
		return err
	}
	for i := range c.settings {
		if err := c.StartInstance(i); err != nil {
			return err
		}
	}
	if err := c.AwaitReady(ctx, c.Instances...); err != nil {
		return err
	}
	if err := c.awaitContacts(ctx); err != nil {
		return err
	}
	return c.putDocument(ctx)
}

// build builds the programs unless a directory with them was given.
func (c *Cluster) build(ctx context.Context) error {
	if c.binaries != "" {
		return nil
	}
	c.binaries = filepath.Join(c.dir, "bin")
	return Build(ctx, c.binaries)
}

// Build builds all programs into a directory.
func Build(ctx context.Context, directory string) error {
	command := exec.CommandContext(ctx, "go", "build", "-o", directory+"/", "foxtailhub.example/foxtailhub/cmd/...")
	output, err := command.CombinedOutput()
	return errors.Wrapf(err, "build: %s", output)
}

func (c *Cluster) startStandins() error {
	platform, err := c.standin("platform", "platform")
	if err != nil {
		return err
	}
	c.Platform = platform
	if c.Aliases, err = freeAddresses(c.options.Aliases); err != nil {
		return err
	}
	for i := range c.options.Engines {
		engine, err := c.StartEngine(i, "")
		if err != nil {
			return err
		}
		c.Engines = append(c.Engines, engine)
	}
	for i := range c.options.Services {
		service, err := c.StartService(i, "")
		if err != nil {
			return err
		}
		c.Services = append(c.Services, service)
	}
	return nil
}

// StartEngine starts engine i at an address, a free one if it is empty.
func (c *Cluster) StartEngine(i int, address string) (*Process, error) {
	var also []string
	if i == 0 {
		also = c.Aliases
	}
	return c.standinAt(fmt.Sprintf("engine-%d", i), address, "-role", "engine", "-also", strings.Join(also, ","),
		"-models", Model+"@"+ModelVersion, "-slots", fmt.Sprint(c.options.Slots),
		"-token-interval", c.options.TokenInterval.String())
}

// StartService starts plain service i at an address, a free one if it is empty.
func (c *Cluster) StartService(i int, address string) (*Process, error) {
	return c.standinAt(fmt.Sprintf("service-%d", i), address, "-role", "service")
}

func (c *Cluster) standin(name, role string) (*Process, error) {
	return c.standinAt(name, "", "-role", role)
}

func (c *Cluster) standinAt(name, address string, args ...string) (*Process, error) {
	if address == "" {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		address = free
	}
	return startProcess(c.dir, name, address, filepath.Join(c.binaries, "foxtailhub-standin"), append(args, "-listen", address)...)
}

// prepareInstances creates keys and settings.
func (c *Cluster) prepareInstances() error {
	keys := filepath.Join(c.dir, "keys")
	authority, err := tlskeys.CreateAuthority(keys)
	if err != nil {
		return err
	}
	c.authority = authority
	c.Instances = make([]*Process, c.options.Instances)
	for i := range c.options.Instances {
		s, err := c.newSettings(i, keys)
		if err != nil {
			return err
		}
		c.settings = append(c.settings, s)
	}
	return nil
}

func (c *Cluster) newSettings(i int, keys string) (*settings.Settings, error) {
	s, err := c.baseSettings(contract.InstanceID(fmt.Sprintf("instance-%d", i)), keys)
	if err != nil {
		return nil, err
	}
	s.FailureDomain = domains[i%len(domains)]
	if c.options.Adjust != nil {
		c.options.Adjust(s)
	}
	return s, issue(c.authority, keys, s)
}

func issue(authority *tlskeys.Authority, keys string, s *settings.Settings) error {
	addresses := []netip.Addr{netip.MustParseAddr("127.0.0.1")}
	return authority.Issue(keys, tlskeys.Instance{ID: s.Instance, Region: s.Region, Addresses: addresses})
}

// baseSettings returns settings for an instance with free addresses.
func (c *Cluster) baseSettings(id contract.InstanceID, keys string) (*settings.Settings, error) {
	s := settings.Defaults()
	s.Instance = id
	s.Region = Region
	s.FailureDomain = domains[0]
	var err error
	if s.APIAddress, err = freeAddress(); err != nil {
		return nil, err
	}
	if s.LinkAddress, err = freeAddress(); err != nil {
		return nil, err
	}
	s.TLS = settings.TLS{
		CertificateFile: filepath.Join(keys, string(s.Instance)+".crt"),
		KeyFile:         filepath.Join(keys, string(s.Instance)+".key"),
		AuthorityFile:   filepath.Join(keys, tlskeys.AuthorityFile),
	}
	s.Platform.TableAddress = c.Platform.URL()
	s.Platform.ListAddress = c.Platform.URL()
	s.DrainLingerMS = 500
	return &s, nil
}

// StartForeignInstance starts an instance whose certificate is of another
// authority. It is not one of Instances.
func (c *Cluster) StartForeignInstance(id contract.InstanceID) (*Process, error) {
	keys := filepath.Join(c.dir, "foreign-keys")
	authority, err := tlskeys.CreateAuthority(keys)
	if err != nil {
		return nil, err
	}
	s, err := c.baseSettings(id, keys)
	if err != nil {
		return nil, err
	}
	if err := issue(authority, keys, s); err != nil {
		return nil, err
	}
	p, err := c.startInstance(s)
	c.foreign = append(c.foreign, p)
	return p, err
}

// StartInstance starts instance i, again after it ended.
func (c *Cluster) StartInstance(i int) error {
	p, err := c.startInstance(c.settings[i])
	c.Instances[i] = p
	return err
}

func (c *Cluster) startInstance(s *settings.Settings) (*Process, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(c.dir, string(s.Instance)+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	return startProcess(c.dir, string(s.Instance), s.APIAddress,
		filepath.Join(c.binaries, "foxtailhubd"), "-settings", file)
}

// AwaitReady waits until the instances are ready.
func (c *Cluster) AwaitReady(ctx context.Context, instances ...*Process) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, instance := range instances {
		err := Await(ctx, func() bool {
			return instance.ExitCode() >= 0 || status(ctx, instance.URL()+"/readyz") == http.StatusOK
		})
		if err != nil || instance.ExitCode() >= 0 {
			return errors.Newf("%s is not ready: %v, exit code %d, see %s", instance.Name, err, instance.ExitCode(), c.LogFile(instance))
		}
	}
	return nil
}

// awaitContacts waits until each instance has heard from all others and all are in
// the roster. Before that it may be ready through the store and yet hear no
// majority, or a fault of one instance could take the majority of a small roster.
func (c *Cluster) awaitContacts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, instance := range c.Instances {
		var status oas.Status
		err := Await(ctx, func() bool {
			return GetJSON(ctx, instance.URL()+"/v1/status", &status) == nil && heardAll(status, len(c.Instances)-1) &&
				rosterSettled(ctx, instance.URL(), len(c.Instances))
		})
		if err != nil {
			return errors.Wrapf(err, "%s has not heard from all others or has no roster of all, see %s", instance.Name, c.LogFile(instance))
		}
	}
	return nil
}

func heardAll(status oas.Status, others int) bool {
	heard := 0
	for _, peer := range status.Peers {
		if peer.SilentMs >= 0 {
			heard++
		}
	}
	return heard >= others
}

// rosterSettled reports whether the metrics of an instance show a roster of the
// given size that is not being changed.
func rosterSettled(ctx context.Context, url string, size int) bool {
	data, err := get(ctx, url+"/metrics")
	settled := fmt.Sprintf("\nfoxtailhub_instances_known %d\n", size)
	return err == nil && strings.Contains(string(data), settled) && strings.Contains(string(data), "\nfoxtailhub_roster_changing 0\n")
}

// LogFile returns the name of a process's log.
func (c *Cluster) LogFile(p *Process) string { return filepath.Join(c.dir, p.Name+".log") }

// Await waits until a condition holds or ctx ends.
func Await(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func status(ctx context.Context, url string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close() //nolint:errcheck // only the status is needed
	return answer.StatusCode
}

// SetFault sets the fault of a stand-in.
func SetFault(ctx context.Context, p *Process, fault standin.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, p.URL()+"/fault", bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close() //nolint:errcheck // the status says it all
	if answer.StatusCode != http.StatusNoContent {
		return errors.Newf("set fault of %s: status %d", p.Name, answer.StatusCode)
	}
	return nil
}

// GetJSON reads a JSON answer of a stand-in, such as its counters.
func GetJSON(ctx context.Context, url string, into any) error {
	data, err := get(ctx, url)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

func get(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close() //nolint:errcheck // it was read
	return io.ReadAll(answer.Body)
}

// URLs returns the base URLs of the instances.
func (c *Cluster) URLs() []string {
	urls := make([]string, len(c.Instances))
	for i, p := range c.Instances {
		urls[i] = p.URL()
	}
	return urls
}

// Client returns a client of all instances.
func (c *Cluster) Client() (*client.Client, error) { return client.New(c.URLs()) }

// Close kills all processes.
func (c *Cluster) Close() {
	all := append([]*Process{c.Platform}, c.Engines...)
	all = append(all, c.Services...)
	all = append(all, c.Instances...)
	all = append(all, c.foreign...)
	for _, p := range all {
		if p != nil {
			p.kill()
		}
	}
}
