package upstreamtest

import (
	"slices"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Placement rules of the FakeRouter.
const (
	placementRetryAfter = 100 * time.Millisecond
	quarantineCrashes   = 3
	quarantineRetention = 10 * time.Minute
)

// UpstreamObservation is an Observation with the upstream to which it applies.
type UpstreamObservation struct {
	Upstream contract.UpstreamID
	upstream.Observation
}

// FakeRouter is an upstream.Router and upstream.EngineDialer over fake engines.
// It places on the engine with the fewest placements in use, the first of
// several, and counts a lost connection as a crash.
type FakeRouter struct {
	engines []*FakeEngine

	mu           sync.Mutex // guards all fields below
	inUse        map[contract.UpstreamID]int
	excluded     map[contract.UpstreamID]bool
	crashed      map[upstream.ContentKey][]contract.UpstreamID
	observations []UpstreamObservation
	requirements []upstream.Requirements
	ignoreCrash  bool
}

var (
	_ upstream.Router       = (*FakeRouter)(nil)
	_ upstream.EngineDialer = (*FakeRouter)(nil)
)

// NewFakeRouter returns a router over the engines.
func NewFakeRouter(engines ...*FakeEngine) *FakeRouter {
	return &FakeRouter{
		engines:  engines,
		inUse:    map[contract.UpstreamID]int{},
		excluded: map[contract.UpstreamID]bool{},
		crashed:  map[upstream.ContentKey][]contract.UpstreamID{},
	}
}

// Exclude excludes an upstream from placement, or allows it again.
func (r *FakeRouter) Exclude(id contract.UpstreamID, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excluded[id] = on
}

// IgnoreCrashes disables the counting of crashes, so that nothing is quarantined.
func (r *FakeRouter) IgnoreCrashes(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ignoreCrash = on
}

// Observations returns the observations that placements reported.
func (r *FakeRouter) Observations() []UpstreamObservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.observations)
}

// Requirements returns the arguments of all calls of Place.
func (r *FakeRouter) Requirements() []upstream.Requirements {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.requirements)
}

// InUse returns the number of placements in use.
func (r *FakeRouter) InUse() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, n := range r.inUse {
		total += n
	}
	return total
}

// SetCrashes sets the upstreams that crashed while running a content.
func (r *FakeRouter) SetCrashes(content upstream.ContentKey, ids ...contract.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed[content] = ids
}

// Place chooses an engine that serves the pin; a zero pin matches all engines.
func (r *FakeRouter) Place(requirements upstream.Requirements) (upstream.Placement, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requirements = append(r.requirements, requirements)
	var best *FakeEngine
	for _, e := range r.engines {
		id := e.config.Target.ID
		if r.excluded[id] || slices.Contains(requirements.Avoid, id) || !serves(e, requirements.Pin) {
			continue
		}
		if best == nil || r.inUse[id] < r.inUse[best.config.Target.ID] {
			best = e
		}
	}
	if best == nil {
		return upstream.Placement{}, placementRetryAfter, false
	}
	id := best.config.Target.ID
	r.inUse[id]++
	return upstream.Placement{Target: best.config.Target, Done: r.newDone(id, requirements.Content)}, 0, true
}

func serves(e *FakeEngine, pin upstream.ModelPin) bool {
	return pin == (upstream.ModelPin{}) || pin == e.config.Pin
}

func (r *FakeRouter) newDone(id contract.UpstreamID, content upstream.ContentKey) func(upstream.Observation) {
	called := false
	return func(o upstream.Observation) {
		r.mu.Lock()
		defer r.mu.Unlock()
		contract.Invariant(!called, "placement ended twice", "upstream", id)
		called = true
		r.inUse[id]--
		r.observations = append(r.observations, UpstreamObservation{Upstream: id, Observation: o})
		if o.Kind == upstream.ObservedConnectionLost && !r.ignoreCrash && !slices.Contains(r.crashed[content], id) {
			r.crashed[content] = append(r.crashed[content], id)
		}
	}
}

// Target returns an engine's target.
func (r *FakeRouter) Target(id contract.UpstreamID) (upstream.Target, bool) {
	for _, e := range r.engines {
		if e.config.Target.ID == id {
			return e.config.Target, true
		}
	}
	return upstream.Target{}, false
}

// Serves reports whether an engine serves the pin.
func (r *FakeRouter) Serves(_ contract.ServiceID, pin upstream.ModelPin) bool {
	return slices.ContainsFunc(r.engines, func(e *FakeEngine) bool { return serves(e, pin) })
}

// ContentStatus returns the crashes of a content.
func (r *FakeRouter) ContentStatus(content upstream.ContentKey) upstream.ContentStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	crashes := len(r.crashed[content])
	if crashes < quarantineCrashes {
		return upstream.ContentStatus{Crashes: crashes}
	}
	return upstream.ContentStatus{Crashes: crashes, Quarantined: true, Until: time.Now().Add(quarantineRetention)}
}

// Engine returns the engine at a target.
func (r *FakeRouter) Engine(target upstream.Target) upstream.Engine {
	for _, e := range r.engines {
		if e.config.Target.ID == target.ID {
			return e
		}
	}
	return NewFakeEngine(EngineConfig{Target: target})
}
