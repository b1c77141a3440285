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

// Names and times that all clusters share.
const (
	Region            = "hokkaido"
	Workspace         = contract.WorkspaceID("shop-a")
	OtherWorkspace    = contract.WorkspaceID("shop-b")
	GenerationService = contract.ServiceID("care-guides")     // engines
	ChargeService     = contract.ServiceID("renewal-charges") // plain service, not idempotent
	LookupService     = contract.ServiceID("order-lookups")   // plain service, idempotent

	Model        = "guide-drafter"
	ModelVersion = "2026-11"
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

var domains = []contract.FailureDomainID{"sapporo", "asahikawa", "obihiro"}

// Options describe a cluster. Zero values select the defaults.
type Options struct {
	Instances      int // default 3
	Engines        int // default 3
	Services       int // default 1
	Aliases        int // number of additional addresses of engine 0
	Slots          int // slots of each engine, default 8
	TokenInterval  time.Duration
	ResumePolicy   configuration.ResumePolicy              // default sparing
	LossHeadroom   configuration.LossHeadroom              // default none, because tests and measurements fill all slots
	AdjustSettings func(*settings.Settings)                // changes the settings of each instance; may be nil
	AdjustDocument func(*Cluster, *configuration.Document) // changes the configuration before it is submitted; may be nil
	Binaries       string                                  // directory of the built programs; "": Start builds them
}

// Cluster is a set of running processes.
type Cluster struct {
	Platform  *Process
	Engines   []*Process
	Services  []*Process
	Instances []*Process
	Aliases   []string // additional addresses of engine 0, set before the configuration is adjusted

	options          Options
	dir              string
	binaries         string
	settings         []*settings.Settings
	authority        *tlskeys.Authority
	foreignInstances []*Process
}

// Start starts all processes and puts a configuration in force. dir must be an
// empty directory; it receives logs, keys and settings.
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

// build builds the programs unless Options.Binaries is set.
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
	platform, err := c.startStandin("platform", "platform")
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

// StartEngine starts engine i at an address, or at a free one if address is empty.
func (c *Cluster) StartEngine(i int, address string) (*Process, error) {
	var aliases []string
	if i == 0 {
		aliases = c.Aliases
	}
	return c.startStandinAt(fmt.Sprintf("engine-%d", i), address, "-role", "engine", "-also", strings.Join(aliases, ","),
		"-models", Model+"@"+ModelVersion, "-slots", fmt.Sprint(c.options.Slots),
		"-token-interval", c.options.TokenInterval.String())
}

// StartService starts plain service i at an address, or at a free one if address is empty.
func (c *Cluster) StartService(i int, address string) (*Process, error) {
	return c.startStandinAt(fmt.Sprintf("service-%d", i), address, "-role", "service")
}

func (c *Cluster) startStandin(name, role string) (*Process, error) {
	return c.startStandinAt(name, "", "-role", role)
}

func (c *Cluster) startStandinAt(name, address string, args ...string) (*Process, error) {
	if address == "" {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		address = free
	}
	return startProcess(c.dir, name, address, filepath.Join(c.binaries, "foxtailhub-standin"), append(args, "-listen", address)...)
}

// prepareInstances creates the keys and settings of all instances.
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
	if c.options.AdjustSettings != nil {
		c.options.AdjustSettings(s)
	}
	return s, issueCertificate(c.authority, keys, s)
}

func issueCertificate(authority *tlskeys.Authority, keys string, s *settings.Settings) error {
	addresses := []netip.Addr{netip.MustParseAddr("127.0.0.1")}
	return authority.Issue(keys, tlskeys.Identity{ID: s.Instance, Region: s.Region, Addresses: addresses})
}

// baseSettings returns the settings of an instance that listens on free addresses.
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

// StartForeignInstance starts an instance whose certificate was issued by another
// authority. It is not added to Instances.
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
	if err := issueCertificate(authority, keys, s); err != nil {
		return nil, err
	}
	p, err := c.startInstance(s)
	c.foreignInstances = append(c.foreignInstances, p)
	return p, err
}

// StartInstance starts instance i, or restarts it after its process ended.
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

// awaitContacts waits until each instance has contacted all others and has all
// instances in its roster. Before that, an instance may be ready through the store
// without contact to a majority, or a fault of one instance may cost a small roster
// its majority.
func (c *Cluster) awaitContacts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, instance := range c.Instances {
		var status oas.Status
		err := Await(ctx, func() bool {
			return GetJSON(ctx, instance.URL()+"/v1/status", &status) == nil && contactedAll(status, len(c.Instances)-1) &&
				rosterComplete(ctx, instance.URL(), len(c.Instances))
		})
		if err != nil {
			return errors.Wrapf(err, "%s has not contacted all other instances, or its roster does not list all of them; see %s", instance.Name, c.LogFile(instance))
		}
	}
	return nil
}

func contactedAll(status oas.Status, others int) bool {
	contacted := 0
	for _, peer := range status.Peers {
		if peer.SilentMs >= 0 {
			contacted++
		}
	}
	return contacted >= others
}

// rosterComplete reports whether the metrics of an instance show a roster of the
// given size with no change in progress.
func rosterComplete(ctx context.Context, url string, size int) bool {
	data, err := get(ctx, url+"/metrics")
	knownInstances := fmt.Sprintf("\nfoxtailhub_instances_known %d\n", size)
	return err == nil && strings.Contains(string(data), knownInstances) && strings.Contains(string(data), "\nfoxtailhub_roster_changing 0\n")
}

// LogFile returns the path of the log of a process.
func (c *Cluster) LogFile(p *Process) string { return filepath.Join(c.dir, p.Name+".log") }

// Await polls a condition until it holds or ctx ends.
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
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close() //nolint:errcheck // only the status is needed
	return response.StatusCode
}

// SetFault sets the fault that a stand-in injects.
func SetFault(ctx context.Context, p *Process, fault standin.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, p.URL()+"/fault", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // the status says it all
	if response.StatusCode != http.StatusNoContent {
		return errors.Newf("set fault of %s: status %d", p.Name, response.StatusCode)
	}
	return nil
}

// GetJSON reads a JSON response, such as the counters of a stand-in, into target.
func GetJSON(ctx context.Context, url string, target any) error {
	data, err := get(ctx, url)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, target)
}

func get(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close() //nolint:errcheck // it was read
	return io.ReadAll(response.Body)
}

// URLs returns the base URLs of the API of all instances.
func (c *Cluster) URLs() []string {
	urls := make([]string, len(c.Instances))
	for i, p := range c.Instances {
		urls[i] = p.URL()
	}
	return urls
}

// Client returns a client with all instances as endpoints.
func (c *Cluster) Client() (*client.Client, error) { return client.New(c.URLs()) }

// Close kills all processes.
func (c *Cluster) Close() {
	all := append([]*Process{c.Platform}, c.Engines...)
	all = append(all, c.Services...)
	all = append(all, c.Instances...)
	all = append(all, c.foreignInstances...)
	for _, p := range all {
		if p != nil {
			p.kill()
		}
	}
}
