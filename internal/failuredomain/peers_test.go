package failuredomain

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
)

func newDeployment(n, domains, regions int) []Member {
	members := make([]Member, n)
	for i := range members {
		d := i % domains
		members[i] = Member{
			ID:     contract.InstanceID(fmt.Sprintf("instance-%03d", i)),
			Domain: contract.FailureDomainID(fmt.Sprintf("domain-%02d", d)),
			Region: fmt.Sprintf("region-%d", d%regions),
		}
	}
	return members
}

type graph map[contract.InstanceID][]Member

func graphOf(members []Member) graph {
	g := graph{}
	for _, m := range members {
		g[m.ID] = Peers(m, members, MaxPeers)
	}
	return g
}

// reach returns the number of members reachable from start when the members for
// which lost is true are removed, and the largest distance in hops.
func (g graph) reach(start Member, lost func(Member) bool) (count, depth int) {
	seen := map[contract.InstanceID]bool{start.ID: true}
	for frontier := []Member{start}; len(frontier) > 0; depth++ {
		var next []Member
		for _, m := range frontier {
			for _, p := range g[m.ID] {
				if !seen[p.ID] && !lost(p) {
					seen[p.ID] = true
					next = append(next, p)
				}
			}
		}
		frontier = next
	}
	return len(seen), depth - 1
}

func noneLost(Member) bool { return false }

func checkGraph(g *WithT, members []Member) graph {
	links := graphOf(members)
	for _, m := range members {
		g.Expect(len(links[m.ID])).To(BeNumerically("<=", MaxPeers))
		for _, p := range links[m.ID] {
			g.Expect(links[p.ID]).To(ContainElement(m), "a link that only one side selects is closed as unused")
		}
	}
	if len(members) > 0 {
		count, _ := links.reach(members[0], noneLost)
		g.Expect(count).To(Equal(len(members)), "a disconnected graph does not propagate a version to all members")
	}
	return links
}

// Guards against a graph whose diameter is too large for the time bounds at the
// target size: status reports and versions propagate one hop per heartbeat.
func TestTargetDeploymentHasSmallDiameter(t *testing.T) {
	g := NewWithT(t)
	members := newDeployment(480, 12, 6)
	links := checkGraph(g, members)
	for _, m := range members {
		_, depth := links.reach(m, noneLost)
		g.Expect(depth).To(BeNumerically("<=", 5))
		domains, own := map[contract.FailureDomainID]bool{}, 0
		for _, p := range links[m.ID] {
			domains[p.Domain] = true
			if p.Domain == m.Domain {
				own++
			}
		}
		g.Expect(len(domains)).To(BeNumerically(">=", 3), "peers in too few failure domains")
		g.Expect(own).To(BeNumerically("<=", 3))
	}
}

// Guards against a partition of the deployment when a failure domain or a whole
// region is lost, before and after the peers are selected again.
func TestLossOfDomainAndRegionKeepsGraphConnected(t *testing.T) {
	g := NewWithT(t)
	members := newDeployment(480, 12, 6)
	links := graphOf(members)
	for _, lost := range []func(Member) bool{
		func(m Member) bool { return m.Domain == members[0].Domain },
		func(m Member) bool { return m.Region == members[0].Region },
	} {
		var rest []Member
		for _, m := range members {
			if !lost(m) {
				rest = append(rest, m)
			}
		}
		count, depth := links.reach(rest[0], lost)
		g.Expect(count).To(Equal(len(rest)))
		g.Expect(depth).To(BeNumerically("<=", 7))
		checkGraph(g, rest)
	}
}

// Guards against a small deployment in which a pair of members has no link.
func TestSmallDeploymentIsFullMesh(t *testing.T) {
	g := NewWithT(t)
	for n := range 10 {
		members := newDeployment(n, 4, 1)
		for _, m := range members {
			g.Expect(Peers(m, members, MaxPeers)).To(HaveLen(n - 1))
		}
	}
}

// Guards against memberships of unusual shape (one domain, one large domain,
// single members) that break symmetry, the link limit or connectivity.
func TestAnyMembershipIsSymmetricBoundedConnected(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(r, "n")
		members := make([]Member, n)
		for i := range members {
			d := rapid.IntRange(0, 6).Draw(r, "domain")
			members[i] = Member{ID: contract.InstanceID(fmt.Sprint(i)), Domain: contract.FailureDomainID(fmt.Sprint(d)), Region: fmt.Sprint(d / 2)}
		}
		checkGraph(NewWithT(r), members)
	})
}

// Guards against a departure of one member that changes most links.
func TestDepartureChangesFewLinks(t *testing.T) {
	g := NewWithT(t)
	members := newDeployment(480, 12, 6)
	before, after := graphOf(members), graphOf(members[1:])
	changed := 0
	for _, m := range members[1:] {
		for _, p := range after[m.ID] {
			if !containsMember(before[m.ID], p) {
				changed++
			}
		}
	}
	t.Logf("new link ends after one departure: %d", changed)
	g.Expect(changed).To(BeNumerically("<=", 160))
}

func containsMember(list []Member, m Member) bool {
	for _, other := range list {
		if other == m {
			return true
		}
	}
	return false
}
