package upstream

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// watchersPerUpstream is the number of instances that poll an upstream.
const watchersPerUpstream = 3

// Member is a live instance.
type Member struct {
	ID            contract.InstanceID
	FailureDomain contract.FailureDomainID
}

// Watchers returns the instances that poll an upstream: at most three, in as many
// failure domains as possible. All instances with the same member list get the
// same result, and a change of one member changes few results.
func Watchers(upstream contract.UpstreamID, instances []Member) []contract.InstanceID {
	return newWatcherSelector(instances).watchers(upstream)
}

// watcherSelector selects watchers by rendezvous hashes.
type watcherSelector struct {
	domains map[string]*rendezvous.Rendezvous // by failure domain
	names   []string                          // of the failure domains, sorted
	ids     []string                          // of all members, sorted
}

func newWatcherSelector(instances []Member) *watcherSelector {
	byDomain := make(map[string][]string)
	selector := &watcherSelector{domains: make(map[string]*rendezvous.Rendezvous)}
	for _, member := range instances {
		domain := string(member.FailureDomain)
		if slices.Contains(byDomain[domain], string(member.ID)) {
			continue
		}
		byDomain[domain] = append(byDomain[domain], string(member.ID))
		selector.ids = append(selector.ids, string(member.ID))
	}
	for domain, ids := range byDomain {
		slices.Sort(ids)
		selector.domains[domain] = rendezvous.New(ids, xxhash.Sum64String)
		selector.names = append(selector.names, domain)
	}
	slices.Sort(selector.names)
	slices.Sort(selector.ids)
	return selector
}

func (s *watcherSelector) watchers(upstream contract.UpstreamID) []contract.InstanceID {
	var chosen []string
	for _, domain := range highest(s.names, string(upstream), watchersPerUpstream) {
		chosen = append(chosen, s.domains[domain].Lookup(string(upstream)))
	}
	if missing := watchersPerUpstream - len(chosen); missing > 0 {
		rest := slices.DeleteFunc(slices.Clone(s.ids), func(id string) bool { return slices.Contains(chosen, id) })
		chosen = append(chosen, highest(rest, string(upstream), missing)...)
	}
	ids := make([]contract.InstanceID, len(chosen))
	for i, id := range chosen {
		ids[i] = contract.InstanceID(id)
	}
	return ids
}

// highest returns the count names with the highest rendezvous hashes for key.
func highest(names []string, key string, count int) []string {
	remaining := slices.Clone(names)
	var chosen []string
	for len(chosen) < count && len(remaining) > 0 {
		winner := rendezvous.New(remaining, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, winner)
		remaining = slices.DeleteFunc(remaining, func(name string) bool { return name == winner })
	}
	return chosen
}

// sortedMembers returns the members with self, sorted by identifier, so that two
// sets can be compared.
func sortedMembers(members []Member, self Member) []Member {
	sorted := slices.Clone(members)
	if !slices.ContainsFunc(sorted, func(m Member) bool { return m.ID == self.ID }) {
		sorted = append(sorted, self)
	}
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}
