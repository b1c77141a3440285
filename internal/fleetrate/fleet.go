// Package fleetrate divides the request rate that an upstream takes from all instances
// together among them, without messages for single requests: each instance derives its
// part from the list of instances. All types are values, and nothing reads a clock.
//
// The parts of instances with the same list must never add up to more than the rate.
package fleetrate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Instance is an instance of the fleet.
type Instance struct {
	ID            string
	FailureDomain string
}

// Fleet is the list of the instances among which rates are divided. It is immutable.
type Fleet struct {
	Self      string     // ID of this instance
	Instances []Instance // includes this instance
	// SettledAt is when all other instances count this one in their lists. Until then it
	// has no part, since they use the whole rate. The zero value means not yet known.
	SettledAt time.Time
}

// Alone returns a fleet of one instance.
func Alone(settledAt time.Time) *Fleet {
	return &Fleet{Instances: []Instance{{}}, SettledAt: settledAt}
}

// Rank is the place of this instance in the order in which the instances of a fleet use
// an upstream.
type Rank struct {
	Index     int // from 0
	Instances int // number of instances in the fleet
}

// Rank returns the rank of this instance for an upstream. The order is the same at all
// instances, differs between upstreams, and takes the failure domains in turn, so that the
// loss of one domain leaves others among the first.
func (f *Fleet) Rank(upstreamID string) Rank {
	type ranked struct {
		Instance
		hash  uint64
		level int // number of instances before it in its failure domain
	}
	instances := make([]ranked, len(f.Instances))
	for i, instance := range f.Instances {
		instances[i] = ranked{Instance: instance, hash: xxhash.Sum64String(upstreamID + "\x00" + instance.ID)}
	}
	byHash := func(a, b ranked) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.ID, b.ID)) }
	slices.SortFunc(instances, byHash)
	levels := map[string]int{}
	for i := range instances {
		domain := instances[i].FailureDomain
		instances[i].level = levels[domain]
		levels[domain]++
	}
	slices.SortStableFunc(instances, func(a, b ranked) int { return cmp.Compare(a.level, b.level) })
	index := slices.IndexFunc(instances, func(r ranked) bool { return r.ID == f.Self })
	if index < 0 {
		index = len(instances) // not listed: last
	}
	return Rank{Index: index, Instances: max(len(instances), index+1)}
}
