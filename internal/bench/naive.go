package bench

import (
	"context"
	"slices"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/naive"
	"foxtailhub.example/foxtailhub/internal/testcluster"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/enginehttp"
)

// leastBusyRouter is a Router for the naive version. It places a request at the engine
// with the fewest active placements that is not excluded.
type leastBusyRouter struct {
	targets []upstream.Target

	mu     sync.Mutex // guards all fields below
	active []int
	placed []int // engine of each placement, in order of placement
}

func newLeastBusyRouter(engines []*testcluster.Process) *leastBusyRouter {
	r := &leastBusyRouter{active: make([]int, len(engines))}
	for i, engine := range engines {
		r.targets = append(r.targets, upstream.Target{ID: testcluster.EngineID(i), Address: engine.Address})
	}
	return r
}

// Place implements upstream.Router.
func (r *leastBusyRouter) Place(need upstream.Requirements) (upstream.Placement, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := -1
	for i, target := range r.targets {
		if slices.Contains(need.Avoid, target.ID) {
			continue
		}
		if best < 0 || r.active[i] < r.active[best] {
			best = i
		}
	}
	if best < 0 {
		return upstream.Placement{}, time.Second, false
	}
	r.active[best]++
	r.placed = append(r.placed, best)
	return upstream.Placement{Target: r.targets[best], Done: func(upstream.Observation) { r.release(best) }}, 0, true
}

func (r *leastBusyRouter) release(engine int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[engine]--
}

// lastPlaced returns the engine of the most recent placement.
func (r *leastBusyRouter) lastPlaced() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placed[len(r.placed)-1]
}

func (r *leastBusyRouter) placements() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.placed)
}

// Target implements upstream.Router.
func (r *leastBusyRouter) Target(id contract.UpstreamID) (upstream.Target, bool) {
	for _, target := range r.targets {
		if target.ID == id {
			return target, true
		}
	}
	return upstream.Target{}, false
}

// Serves implements upstream.Router.
func (r *leastBusyRouter) Serves(contract.ServiceID, upstream.ModelPin) bool { return true }

// ContentStatus implements upstream.Router.
func (r *leastBusyRouter) ContentStatus(upstream.ContentKey) upstream.ContentStatus {
	return upstream.ContentStatus{}
}

// pinnedDialer adds the model to requests of the naive version, which sends none.
// The stand-ins refuse requests without a model.
type pinnedDialer struct {
	upstream.EngineDialer
	pin upstream.ModelPin
}

// Engine implements upstream.EngineDialer.
func (d pinnedDialer) Engine(target upstream.Target) upstream.Engine {
	return pinnedEngine{d.EngineDialer.Engine(target), d.pin}
}

type pinnedEngine struct {
	upstream.Engine
	pin upstream.ModelPin
}

// Start implements upstream.Engine.
func (e pinnedEngine) Start(ctx context.Context, request upstream.StreamRequest) (upstream.Stream, error) {
	request.Pin = e.pin
	request.Priority = upstream.PriorityInteractive
	request.Sampling.Temperature = 1
	return e.Engine.Start(ctx, request)
}

// naiveGenerations returns the naive version with the engines of a cluster as
// upstreams.
func naiveGenerations(router *leastBusyRouter, pin upstream.ModelPin) *naive.Generations {
	return naive.NewGenerations(generation.Config{
		Router: router, Dialer: pinnedDialer{enginehttp.NewDialer(), pin},
	})
}

// generateNaive runs the stream in this process with the naive version.
func (s *stream) generateNaive(ctx context.Context, generations *naive.Generations) {
	defer close(s.done)
	subscription, verdict, ok := generations.Open(ctx, generation.Request{
		ID: s.request, Service: testcluster.GenerationService, Prompt: s.prompt, MaxTokens: int64(s.length),
		MaxAttempts: 8, Policy: configuration.ResumeSparing, Deadline: time.Now().Add(time.Minute),
	})
	s.result.Verdict = verdict
	if !ok {
		return
	}
	defer subscription.Close()
	for {
		event, err := subscription.Next(ctx)
		if err != nil {
			s.err = err
			return
		}
		switch event.Kind {
		case generation.EventToken:
			s.recordArrival(time.Now())
			s.result.Tokens = append(s.result.Tokens, event.Text)
		case generation.EventEnd:
			s.result.Verdict = event.Verdict
			return
		}
	}
}
