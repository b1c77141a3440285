package naive

import (
	"context"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// silenceTimeout is how long a generation waits for a token before it restarts
// on another engine.
const silenceTimeout = time.Second

// Generations is the naive version of generation.Registry. After a failure it
// restarts from scratch on another engine and appends all tokens that arrive; it
// does not check offsets, digests, versions or stream names.
type Generations struct {
	config generation.Config

	mu          sync.Mutex // guards generations
	generations map[contract.RequestID]*naiveGeneration
}

// NewGenerations returns an empty Generations.
func NewGenerations(config generation.Config) *Generations {
	return &Generations{config: config, generations: map[contract.RequestID]*naiveGeneration{}}
}

// naiveGeneration collects the text of one generation.
type naiveGeneration struct {
	request generation.Request
	events  chan naiveEvent

	mu      sync.Mutex // guards all fields below
	texts   []string
	verdict *contract.Verdict
	changed chan struct{}
}

// naiveEvent is a token, the end or an error of one stream.
type naiveEvent struct {
	event upstream.StreamEvent
	err   error
}

// Open subscribes to the generation with the request's ID at the caller's offset
// and starts the generation if it does not exist.
func (n *Generations) Open(
	_ context.Context, request generation.Request,
) (*generation.Subscription, contract.Verdict, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g, found := n.generations[request.ID]
	if !found {
		g = &naiveGeneration{
			request: request, events: make(chan naiveEvent), changed: make(chan struct{}),
		}
		n.generations[request.ID] = g
		go n.run(g)
	}
	position := contract.StartPosition()
	if request.Resume != nil {
		position = request.Resume.Position
	}
	started := false
	next := func(ctx context.Context) (generation.Event, error) {
		if !started {
			started = true
			return generation.Event{Kind: generation.EventStart, Position: position, Pin: request.Pin}, nil
		}
		return g.next(ctx, &position)
	}
	return generation.NewSubscription(next, func() {}), contract.Verdict{}, true
}

// run starts attempts until one completes. Streams of earlier attempts stay open
// and may still deliver tokens.
func (n *Generations) run(g *naiveGeneration) {
	ctx, cancel := context.WithDeadline(context.Background(), g.request.Deadline)
	defer cancel()
	var used []contract.UpstreamID
	for range g.request.MaxAttempts {
		used = n.start(ctx, g, used)
		if g.read(ctx) {
			return
		}
	}
	g.finish(contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonAttemptsExhausted})
}

// start starts from scratch on an unused engine. It returns the used engines,
// or nil if none was left.
func (n *Generations) start(
	ctx context.Context, g *naiveGeneration, used []contract.UpstreamID,
) []contract.UpstreamID {
	placement, _, ok := n.config.Router.Place(upstream.Requirements{Service: g.request.Service, Avoid: used})
	if !ok {
		return nil
	}
	go func() {
		defer placement.Done(upstream.Observation{Kind: upstream.ObservedOK})
		engine := n.config.Dialer.Engine(placement.Target)
		stream, err := engine.Start(ctx, upstream.StreamRequest{
			Stream:  upstream.StreamID(contract.NewKey()),
			Request: g.request.ID, Prompt: g.request.Prompt, MaxTokens: g.request.MaxTokens,
		})
		for err == nil {
			var event upstream.StreamEvent
			event, err = stream.Next(ctx)
			if err == nil {
				g.send(ctx, naiveEvent{event: event})
			}
		}
		g.send(ctx, naiveEvent{err: err})
	}()
	return append(used, placement.Target.ID)
}

func (g *naiveGeneration) send(ctx context.Context, e naiveEvent) {
	select {
	case g.events <- e:
	case <-ctx.Done():
	}
}

// read appends tokens until the end of the text (true) or a failure (false).
func (g *naiveGeneration) read(ctx context.Context) bool {
	for {
		timer := time.NewTimer(silenceTimeout)
		select {
		case e := <-g.events:
			timer.Stop()
			if e.err != nil {
				return false
			}
			if e.event.End {
				g.finish(contract.Verdict{Outcome: contract.Completed})
				return true
			}
			g.append(e.event.Token.Text)
		case <-timer.C:
			return false
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

func (g *naiveGeneration) append(text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.texts = append(g.texts, text)
	g.broadcast()
}

func (g *naiveGeneration) finish(verdict contract.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.verdict = &verdict
	g.broadcast()
}

func (g *naiveGeneration) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// next waits for the event after the position and advances the position.
func (g *naiveGeneration) next(ctx context.Context, p *contract.Position) (generation.Event, error) {
	for {
		event, ready, changed := g.poll(p)
		if ready {
			return event, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return generation.Event{}, ctx.Err()
		}
	}
}

func (g *naiveGeneration) poll(p *contract.Position) (generation.Event, bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	length := int64(len(g.texts))
	if p.Offset < length {
		text := g.texts[p.Offset]
		p.Offset++
		p.Digest = contract.DigestOf(g.texts[:p.Offset])
		return generation.Event{Kind: generation.EventToken, Position: *p, Text: text}, true, nil
	}
	if g.verdict != nil {
		return generation.Event{Kind: generation.EventEnd, Position: *p, Verdict: *g.verdict, TokenCount: length}, true, nil
	}
	return generation.Event{}, false, g.changed
}
