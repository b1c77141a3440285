package testcluster

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a port of a killed program that another test process takes before it restarts.
func TestTestProcessesShareNoPorts(t *testing.T) {
	g := NewWithT(t)
	used := map[string]bool{}
	for range 4 {
		ports, err := claimPortBlock()
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = ports.claim.Close() })
		for range 50 {
			address, err := ports.freeAddress()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(used).NotTo(HaveKey(address))
			used[address] = true
		}
	}
}

// Guards against a port of a killed program that the same test process gives to another one.
func TestPortsAreReusedOnlyAfterAllOthers(t *testing.T) {
	g := NewWithT(t)
	ports, err := claimPortBlock()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ports.claim.Close() })
	used := map[string]bool{}
	for range blockSize / 2 {
		address, err := ports.freeAddress()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(used).NotTo(HaveKey(address))
		used[address] = true
	}
}
