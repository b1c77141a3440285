package upstream

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"foxtailhub.example/foxtailhub/internal/contract"
)

const (
	// affinityLoadFactor bounds the relative load of an upstream chosen by prefix
	// affinity, as a multiple of the mean.
	affinityLoadFactor = 1.25
	// affinityFloor is the share of an upstream's slots up to which affinity
	// always applies. Without it, affinity would be lost at low load, where the
	// mean is below one request.
	affinityFloor = 0.25
)

// Candidate is a live upstream that serves the model that a request requires.
type Candidate struct {
	Target           Target
	Load             float64 // requests on it: lagging load report plus own requests in flight
	Slots            int
	Suspected        bool // a connection failed there and no contact has succeeded since
	RunsSuspect      bool // a suspect with another content runs there
	RunsHeavySuspect bool // a heavy suspect with another content runs there
	AmbiguousDomain  bool // a crash in its failure domain could not be attributed now
}

func (c Candidate) hasFreeSlot() bool { return c.Load < float64(c.Slots) }

func (c Candidate) utilization() float64 { return c.Load / float64(max(1, c.Slots)) }

// SelectionInput is the input of Choose.
type SelectionInput struct {
	Requirements       Requirements
	Suspect            bool                       // an upstream may have crashed because of the content
	HeavySuspect       bool                       // upstreams crashed repeatedly while running it
	MayShareUpstream   bool                       // a suspect that waited separationWait may run beside other suspects
	CrashedUpstreams   []contract.UpstreamID      // upstreams that crashed while running the content
	OtherHeavySuspects []HeavySuspect             // heavy suspects with other contents
	AvoidDomains       []contract.FailureDomainID // failure domains of Requirements.Avoid and CrashedUpstreams
	Candidates         []Candidate
}

// HeavySuspect is a content during whose runs upstreams crashed repeatedly.
type HeavySuspect struct {
	Content          ContentKey
	CrashedUpstreams []contract.UpstreamID // upstreams that crashed while running it
}

// Choose returns the index of the candidate for a request.
//
// Upstreams to avoid are used only if there is no other, and never for a suspect.
// Candidates outside the failure domains of the upstreams to avoid come first.
//
// A suspect is never placed beside a heavy suspect nor on an upstream that
// crashed with it, and all requests with its content go to the same upstream, so
// that they crash only that one. It is placed beside another suspect only after a
// wait: a crash makes suspects of all generations that ran on the upstream, and
// they must resume within the bound of resume latency; by then a poison prompt
// among them has usually become a heavy suspect.
//
// A heavy suspect is never placed beside any suspect, even if it must wait longer
// than the bound of resume latency, and only in a failure domain in which a
// further crash can be attributed to it.
func Choose(input SelectionInput, random *rand.Rand) (index int, ok bool) {
	eligible := eligibleCandidates(input)
	if len(eligible) == 0 {
		return 0, false
	}
	switch {
	case input.Suspect:
		return byRendezvous(input, eligible, string(input.Requirements.Content[:])), true
	case input.Requirements.Prefix != "" && !input.Requirements.Resumed:
		return byAffinity(input, eligible, random), true
	default:
		return byLoad(input, eligible, random), true
	}
}

// eligibleCandidates returns the indices of the best group of candidates.
func eligibleCandidates(input SelectionInput) []int {
	owned := ownedUpstreams(input)
	all := make([]int, 0, len(input.Candidates))
	for i := range input.Candidates {
		candidate := &input.Candidates[i]
		if input.Suspect && (candidate.RunsHeavySuspect || slices.Contains(input.CrashedUpstreams, candidate.Target.ID)) {
			continue
		}
		if input.Suspect && candidate.RunsSuspect && !input.MayShareUpstream {
			continue
		}
		if input.HeavySuspect && (candidate.AmbiguousDomain || !owned[candidate.Target.ID]) {
			continue
		}
		all = append(all, i)
	}
	avoid := slices.Concat(input.Requirements.Avoid, input.CrashedUpstreams)
	preferred := filter(all, func(i int) bool { return !slices.Contains(avoid, input.Candidates[i].Target.ID) })
	if len(preferred) == 0 {
		if input.Suspect {
			return nil
		}
		return all
	}
	if input.Suspect && input.Requirements.Resumed && !input.HeavySuspect {
		preferred = prefer(preferred, func(i int) bool { return input.Candidates[i].hasFreeSlot() })
	}
	if input.Suspect {
		preferred = prefer(preferred, func(i int) bool { return !input.Candidates[i].RunsSuspect })
	}
	preferred = prefer(preferred, func(i int) bool { return !input.Candidates[i].Suspected })
	preferred = prefer(preferred, func(i int) bool { return !input.Candidates[i].AmbiguousDomain })
	return prefer(preferred, func(i int) bool {
		return !slices.Contains(input.AvoidDomains, input.Candidates[i].Target.FailureDomain)
	})
}

// ownedUpstreams returns the upstreams that a heavy suspect may use. They are
// divided among the heavy suspects: instances with the same evidence compute the
// same division, so that two instances do not place two heavy suspects on one
// upstream at the same time. A harmless content that shares all crashes of a
// poison prompt cannot be distinguished from it. If there are more heavy suspects
// than upstreams, a suspect that owns none may use all.
func ownedUpstreams(input SelectionInput) map[contract.UpstreamID]bool {
	if !input.HeavySuspect {
		return nil
	}
	own := input.Requirements.Content
	free := make(map[contract.UpstreamID]bool, len(input.Candidates))
	for _, candidate := range input.Candidates {
		free[candidate.Target.ID] = true
	}
	all := maps.Clone(free)
	owned := make(map[contract.UpstreamID]bool)
	suspects := append([]HeavySuspect{{Content: own, CrashedUpstreams: input.CrashedUpstreams}}, input.OtherHeavySuspects...)
	slices.SortFunc(suspects, func(a, b HeavySuspect) int { return compareContents(a.Content, b.Content) })
	for taken := true; taken; {
		taken = false
		for _, suspect := range suspects {
			id, found := preferredUpstream(suspect, free)
			if !found {
				continue
			}
			taken = true
			delete(free, id)
			if suspect.Content == own {
				owned[id] = true
			}
		}
	}
	if len(owned) == 0 {
		return all
	}
	return owned
}

// preferredUpstream returns the upstream with the highest rendezvous hash for a
// suspect among those that did not crash with it. Unlike a round robin in the
// order of names, this keeps most of the division if instances know different
// upstreams.
func preferredUpstream(suspect HeavySuspect, free map[contract.UpstreamID]bool) (best contract.UpstreamID, found bool) {
	var highest uint64
	for id := range free {
		if slices.Contains(suspect.CrashedUpstreams, id) {
			continue
		}
		hash := xxhash.Sum64String(string(suspect.Content[:]) + string(id))
		if !found || hash > highest || hash == highest && id < best {
			best, highest, found = id, hash, true
		}
	}
	return best, found
}

func filter(indices []int, match func(int) bool) []int {
	kept := make([]int, 0, len(indices))
	for _, i := range indices {
		if match(i) {
			kept = append(kept, i)
		}
	}
	return kept
}

// prefer returns the indices that match, or all if none matches.
func prefer(indices []int, match func(int) bool) []int {
	if kept := filter(indices, match); len(kept) > 0 {
		return kept
	}
	return indices
}

// byRendezvous returns the candidate with the highest rendezvous hash for key.
func byRendezvous(input SelectionInput, eligible []int, key string) int {
	names := make([]string, len(eligible))
	for n, i := range eligible {
		names[n] = string(input.Candidates[i].Target.ID)
	}
	winner := rendezvous.New(names, xxhash.Sum64String).Lookup(key)
	return eligible[slices.Index(names, winner)]
}

// byAffinity chooses by prefix among the candidates whose load is below the
// bound.
func byAffinity(input SelectionInput, eligible []int, random *rand.Rand) int {
	var load, slots float64
	for _, i := range eligible {
		load += input.Candidates[i].Load
		slots += float64(max(1, input.Candidates[i].Slots))
	}
	limit := min(1, max(affinityFloor, affinityLoadFactor*(load+1)/slots))
	bounded := filter(eligible, func(i int) bool {
		candidate := input.Candidates[i]
		return candidate.Load+1 <= math.Ceil(limit*float64(max(1, candidate.Slots)))
	})
	if len(bounded) == 0 {
		return byLoad(input, eligible, random)
	}
	return byRendezvous(input, bounded, string(input.Requirements.Service)+"\x00"+input.Requirements.Prefix)
}

// byLoad returns the less utilized of two random candidates. Candidates with a
// free slot come first: a request that an engine queues waits for the end of
// another generation.
func byLoad(input SelectionInput, eligible []int, random *rand.Rand) int {
	eligible = prefer(eligible, func(i int) bool { return input.Candidates[i].hasFreeSlot() })
	if len(eligible) == 1 {
		return eligible[0]
	}
	first := random.IntN(len(eligible))
	second := random.IntN(len(eligible) - 1)
	if second >= first {
		second++
	}
	one, two := eligible[first], eligible[second]
	if input.Candidates[two].utilization() < input.Candidates[one].utilization() {
		return two
	}
	return one
}
