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

	// The programs are built by the tests. This import makes a change of the
	// product invalidate cached results.
	_ "foxtailhub.example/foxtailhub/internal/gateway"
	"foxtailhub.example/foxtailhub/internal/testcluster"
	"foxtailhub.example/foxtailhub/internal/testfleet"
	_ "foxtailhub.example/foxtailhub/platform"
)

const (
	domains      = 3
	enginesEach  = 2 // in each failure domain
	gatewayCount = 3
	// recoveryBound is the stated time within which a configuration is in force and a
	// loss is made good.
	recoveryBound = 3 * time.Second
	// machineMemoryMB is the memory that a gateway takes its machine to have, the default
	// of its settings.
	machineMemoryMB = 256
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

// harness is a fleet and its checks.
type harness struct {
	*testfleet.Fleet
	t *testing.T
	g Gomega
}

// newHarness starts everything and waits until it is ready. Each gateway reads the store.
func newHarness(t *testing.T) *harness { return newHarnessOf(t, gatewayCount, domains) }

// newHarnessOf starts so many gateways in so many failure domains.
func newHarnessOf(t *testing.T, gateways, gatewayDomains int) *harness {
	h := &harness{t: t, g: NewWithT(t)}
	fleet, err := testfleet.Start(t.Context(), testfleet.Options{
		Binaries: binaries, Dir: t.TempDir(), Domains: domains, EnginesEach: enginesEach, Gateways: gateways, GatewayDomains: gatewayDomains,
		Slots: 64, TokenInterval: 15 * time.Millisecond, Work: 20 * time.Millisecond,
	})
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
