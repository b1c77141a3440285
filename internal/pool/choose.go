package pool

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	never = time.Duration(math.MaxInt64)

	// lossWindow is how long an upstream is avoided after a loss, and domainLossWindow
	// how long a loss counts against its failure domain. Engines restart in a little
	// over a second after a crash, and a failing domain loses nearly all of its engines
	// at once.
	lossWindow       = 1500 * time.Millisecond
	domainLossWindow = 1200 * time.Millisecond
	// domainLossThreshold is how many upstreams of a failure domain have to be lost
	// within domainLossWindow before its remaining upstreams are avoided.
	domainLossThreshold = 2
	// prefillWeight is the load of a stream in prefill, in running streams: during a
	// prefill, each token of the other streams takes several times as long.
	prefillWeight = 4
	// kvCopyWeight is the load of a KV copy, which takes memory and may become a run.
	kvCopyWeight = 0.25
	// errorPenalty is the load, in requests, that is added to an upstream that fails
	// all of its requests.
	errorPenalty = 12
)

// Candidate is an upstream with the observations that the choice depends on.
type Candidate struct {
	Upstream
	Active            int           // requests in flight from this instance
	Prefilling        int           // of these, requests in prefill
	KVCopies          int           // KV copies held for streams of this instance
	ErrorShare        float64       // recent share of failed requests, 0 to 1
	SinceLoss         time.Duration // time since the upstream was last lost
	Leaving           bool          // reported by the list or by the upstream itself
	Replaced          bool          // another process responds at its address
	Suspected         bool          // lost or silent, with no successful contact since
	InPushback        bool          // it gets no request, or no further trial request, now
	PushbackRemaining time.Duration // time until it accepts requests again, by its Retry-After
	ResumedInPushback bool          // a stream was already resumed there during the pushback
	StatesRate        bool          // it states a request rate for all instances together
	UntilRequest      time.Duration // time until this instance's part of that rate allows a request
}

// Requirements holds the requirements of a request for its upstream.
type Requirements struct {
	Exclude       []string // IDs of upstreams that already failed the request
	AvoidDomains  []string // failure domains to avoid if there are others
	Prefer        string   // ID of the upstream that holds the KV copy of the request, or its prompt
	Resume        bool     // the request resumes from the KV copy at the preferred upstream
	KVCopy        bool     // the upstream is to hold a KV copy, not to run the request
	NotRepeatable bool     // the request must not be sent again
	// AffinityKey is a key that ranks the upstreams identically on all instances, so that
	// another instance finds the upstream that got a prompt; empty: none.
	AffinityKey string
}

// affinityChoices times the requested number of upstreams are considered for a key,
// in order of rank. Of these, those with the fewest prompts of this instance are used.
const affinityChoices = 2

// Choose returns the index of the best candidate, or false if none is eligible.
// Upstreams that are leaving, are replaced or failed the request are never chosen, and
// those in pushback only if mayResume allows it. Those whose request rate allows no request
// now are not chosen to run one. Upstreams and failure domains with
// recent losses are chosen only if there are no others.
func Choose(candidates []Candidate, need Requirements, random *rand.Rand) (int, bool) {
	eligible, preferred := eligibleCandidates(candidates, need)
	switch {
	case len(eligible) == 0:
		return 0, false
	case preferred:
		return eligible[0], true
	}
	return leastLoaded(candidates, eligible, need, random), true
}

// Shortlist returns the indices of up to n eligible candidates with the fewest prompts
// of this instance. They are drawn at random, or from the highest ranks if the request
// has an affinity key.
func Shortlist(candidates []Candidate, need Requirements, n int, random *rand.Rand) []int {
	eligible, preferred := eligibleCandidates(candidates, need)
	if preferred {
		return eligible
	}
	if need.AffinityKey != "" {
		rank(eligible, need.AffinityKey, func(i int) string { return candidates[i].ID })
		eligible = eligible[:min(affinityChoices*n, len(eligible))]
	} else {
		random.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	}
	slices.SortStableFunc(eligible, func(i, j int) int {
		return cmp.Compare(candidates[i].Prefilling, candidates[j].Prefilling)
	})
	return eligible[:min(n, len(eligible))]
}

// rank sorts by the rendezvous hash of a key with the ID, highest first. Adding or
// removing a member does not change the order of the others.
func rank[T any](items []T, key string, id func(T) string) {
	hash := func(item T) uint64 { return xxhash.Sum64String(key + "\x00" + id(item)) }
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(hash(b), hash(a)) })
}

// RankByKey returns the members ordered by their rendezvous hash with a key, highest first.
func RankByKey(members []*Member, key string) []*Member {
	ranked := slices.Clone(members)
	rank(ranked, key, func(m *Member) string { return m.ID })
	return ranked
}

// eligibleCandidates returns the indices of the candidates to choose from; preferred
// means that it is only the one that the request prefers.
func eligibleCandidates(candidates []Candidate, need Requirements) (eligible []int, preferred bool) {
	eligible = make([]int, 0, len(candidates))
	for i, c := range candidates {
		if c.Leaving || c.Replaced || slices.Contains(need.Exclude, c.ID) || c.InPushback && !c.mayResume(need) {
			continue
		}
		if c.UntilRequest > 0 && !need.KVCopy {
			continue
		}
		eligible = append(eligible, i)
	}
	for _, i := range eligible {
		if need.Prefer != "" && candidates[i].ID == need.Prefer {
			return []int{i}, true
		}
	}
	if need.NotRepeatable {
		// Recovery of a suspected upstream is detected by a health check, not by a request
		// that would be lost if the upstream is still down.
		eligible = prefer(eligible, func(i int) bool { return !candidates[i].Suspected })
	}
	if need.KVCopy {
		// A stream cannot resume from its copy when the upstream's rate is used up.
		eligible = prefer(eligible, func(i int) bool { return !candidates[i].StatesRate })
	}
	down := lostDomains(candidates)
	eligible = prefer(eligible, func(i int) bool { return candidates[i].SinceLoss > lossWindow })
	eligible = prefer(eligible, func(i int) bool { return !slices.Contains(down, candidates[i].FailureDomain) })
	eligible = prefer(eligible, func(i int) bool {
		return !slices.Contains(need.AvoidDomains, candidates[i].FailureDomain)
	})
	return eligible, false
}

// mayResume reports whether a stream may resume at an upstream in pushback: a prefill
// elsewhere costs the caller more than one more request costs the upstream.
func (c Candidate) mayResume(need Requirements) bool {
	return need.Resume && c.ID == need.Prefer && c.PushbackRemaining > 0 && !c.ResumedInPushback
}

// lostDomains returns the failure domains with several losses within domainLossWindow.
func lostDomains(candidates []Candidate) []string {
	losses := map[string]int{}
	for _, c := range candidates {
		if c.SinceLoss <= domainLossWindow {
			losses[c.FailureDomain]++
		}
	}
	var down []string
	for domain, n := range losses {
		if n >= domainLossThreshold {
			down = append(down, domain)
		}
	}
	return down
}

// DomainDown reports whether a failure domain has several losses in domainLossWindow.
func DomainDown(members []*Member, domain string, now time.Time) bool {
	return slices.Contains(lostDomains(candidatesAt(members, now)), domain)
}

// PickNeighbours returns up to n other upstreams of the failure domain of m, at random, that are not
// known to be lost or to leave.
func PickNeighbours(members []*Member, m *Member, n int, now time.Time) []*Member {
	neighbours := slices.DeleteFunc(slices.Clone(members), func(o *Member) bool {
		c := o.candidate(now)
		return o.ID == m.ID || o.FailureDomain != m.FailureDomain || c.Leaving || c.Replaced || c.SinceLoss <= lossWindow
	})
	rand.Shuffle(len(neighbours), func(i, j int) { neighbours[i], neighbours[j] = neighbours[j], neighbours[i] })
	return neighbours[:min(n, len(neighbours))]
}

// prefer returns the preferred indices, or all of them if none is preferred.
func prefer(indices []int, preferred func(int) bool) []int {
	kept := make([]int, 0, len(indices))
	for _, i := range indices {
		if preferred(i) {
			kept = append(kept, i)
		}
	}
	if len(kept) == 0 {
		return indices
	}
	return kept
}

func leastLoaded(candidates []Candidate, eligible []int, need Requirements, random *rand.Rand) int {
	chosen := eligible[0]
	leastLoad := math.Inf(1)
	ties := 0
	for _, i := range eligible {
		load := candidates[i].load(need)
		switch {
		case load < leastLoad:
			chosen, leastLoad, ties = i, load, 1
		case load == leastLoad:
			ties++
			if random.IntN(ties) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}

func (c Candidate) load(need Requirements) float64 {
	running := float64(c.Active) + prefillWeight*float64(c.Prefilling) + kvCopyWeight*float64(c.KVCopies)
	if need.KVCopy {
		running = float64(c.KVCopies) + kvCopyWeight*float64(c.Active)
	}
	return running/float64(max(1, c.Slots))*slotScale + errorPenalty*c.ErrorShare
}

// slotScale keeps the load per slot comparable with errorPenalty.
const slotScale = 16

// Pick chooses a member for a request.
func Pick(members []*Member, need Requirements, now time.Time) (*Member, bool) {
	i, ok := Choose(candidatesAt(members, now), need, newRandom())
	if !ok {
		return nil, false
	}
	return members[i], true
}

// PickN returns up to n members; the caller chooses among them by their load reports.
func PickN(members []*Member, need Requirements, n int, now time.Time) []*Member {
	var picked []*Member
	for _, i := range Shortlist(candidatesAt(members, now), need, n, newRandom()) {
		picked = append(picked, members[i])
	}
	return picked
}

func candidatesAt(members []*Member, now time.Time) []Candidate {
	candidates := make([]Candidate, len(members))
	for i, m := range members {
		candidates[i] = m.candidate(now)
	}
	return candidates
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
