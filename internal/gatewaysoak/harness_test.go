//go:build e2e

package gatewaysoak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	// The tests build and run the programs; these imports make a change of the
	// product invalidate cached test results.
	_ "foxtailhub.example/foxtailhub/internal/gateway"
	"foxtailhub.example/foxtailhub/internal/testcluster"
	"foxtailhub.example/foxtailhub/internal/testfleet"
	_ "foxtailhub.example/foxtailhub/platform"
)

const (
	domains      = 3
	enginesEach  = 2 // in each failure domain
	gatewayCount = 3
	// recoveryBound is the guaranteed time until a configuration is in force and until
	// service recovers from a failure.
	recoveryBound = 3 * time.Second
	// machineMemoryMB is the machine memory that a gateway assumes by default.
	machineMemoryMB = 256
)

// binaries is the directory of the built programs.
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

// harness is a running fleet with the test's assertions.
type harness struct {
	*testfleet.Fleet
	t *testing.T
	g Gomega
}

// newHarness starts a fleet in which each gateway reads the store and waits until it is ready.
func newHarness(t *testing.T) *harness { return newHarnessOfSize(t, gatewayCount, domains) }

// newHarnessOfSize starts a fleet with gateways in gatewayDomains failure domains.
func newHarnessOfSize(t *testing.T, gateways, gatewayDomains int) *harness {
	return newHarnessWith(t, testfleet.Options{
		EnginesPerDomain: enginesEach, Gateways: gateways, GatewayDomains: gatewayDomains, WorkDuration: 20 * time.Millisecond,
	})
}

// newHarnessWith starts a fleet with options, of which it sets those that all fleets share.
func newHarnessWith(t *testing.T, options testfleet.Options) *harness {
	h := &harness{t: t, g: NewWithT(t)}
	options.Binaries, options.Dir, options.Domains = binaries, t.TempDir(), domains
	options.Slots, options.TokenInterval = 64, 15*time.Millisecond
	fleet, err := testfleet.Start(t.Context(), options)
	h.g.Expect(err).NotTo(HaveOccurred())
	h.Fleet = fleet
	t.Cleanup(h.close)
	return h
}

func (h *harness) close() {
	h.Close()
	if h.t.Failed() {
		keptDir := filepath.Join(os.TempDir(), "foxtailhub-"+strings.ReplaceAll(h.t.Name(), "/", "-")+fmt.Sprint(os.Getpid()))
		if err := os.Rename(h.Dir, keptDir); err == nil {
			h.t.Logf("logs are kept in %s", keptDir)
		}
	}
}
