package generation

import (
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Generation is the state of a generation on this instance: the accepted
// tokens, the locators of its attempts and, at the end, the verdict.
type Generation struct {
	request        Request
	content        upstream.ContentKey
	pin            upstream.ModelPin
	sampling       upstream.Sampling
	callerPosition contract.Position // of the caller that opened the generation
	stop           chan Input        // requests to end, from outside the runner

	mu                sync.Mutex // guards all fields below
	base              int64      // offset of the first held token
	baseDigesterState []byte     // state of the digester at base
	texts             []string
	digests           []contract.PrefixDigest // digests[i] is the digest at offset base+i
	digester          *contract.Digester
	attemptSwitches   []attemptSwitch
	changed           chan struct{} // closed and replaced at each change
	subscribers       int
	graceTimer        *time.Timer // runs while there is no subscriber
	verdict           *contract.Verdict
	endDelivered      bool
	replaced          bool // by another generation of the same request
	abandoned         bool // the grace period without a subscriber has passed
}

// attemptSwitch is the offset at which an attempt became the current one.
type attemptSwitch struct {
	offset  int64
	locator string
}

// newGeneration returns a generation that starts with the text of the plan.
func newGeneration(r Request, plan plan) *Generation {
	g := &Generation{
		request: r, content: r.content, pin: plan.pin, sampling: plan.sampling,
		callerPosition: r.position(),
		stop:           make(chan Input, 3), // replaced, diverged, abandoned
		base:           plan.base,
		digester:       plan.digester,
		changed:        make(chan struct{}),
	}
	g.baseDigesterState = g.digester.State()
	g.digests = append(g.digests, g.digester.PrefixDigest())
	for _, text := range plan.texts {
		g.appendToken(text)
	}
	g.request.Resume = nil // the received text is in texts
	return g
}

func (g *Generation) appendToken(text string) {
	g.texts = append(g.texts, text)
	g.digester.Add(text)
	g.digests = append(g.digests, g.digester.PrefixDigest())
}

// length returns the offset after the last token; the caller holds mu.
func (g *Generation) length() int64 { return g.base + int64(len(g.texts)) }

// matches reports whether a position is held and has the digest of the held
// text; the caller holds mu.
func (g *Generation) matches(p contract.Position) bool {
	if p.Offset < g.base || p.Offset > g.length() {
		return false
	}
	return g.digests[p.Offset-g.base] == p.Digest
}

// digesterAt returns a new digester of the text before an offset; the caller
// holds mu.
func (g *Generation) digesterAt(offset int64) *contract.Digester {
	d, err := contract.RestoreDigester(g.baseDigesterState, g.base)
	contract.Invariant(err == nil, "held digest state is invalid", "request", g.request.ID)
	for _, text := range g.texts[:offset-g.base] {
		d.Add(text)
	}
	return d
}

func (g *Generation) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// prefix returns the accepted tokens for a new attempt.
func (g *Generation) prefix() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	contract.Invariant(g.base == 0, "new attempt requires the whole text", "request", g.request.ID, "base", g.base)
	return g.texts[:len(g.texts):len(g.texts)]
}

// endPosition returns the end of the text and the digester's state there.
func (g *Generation) endPosition() (contract.Position, []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return contract.Position{Offset: g.length(), Digest: g.digester.PrefixDigest()}, g.digester.State()
}

// deliver appends a token. It returns false if the text has now reached the
// position of the caller that opened the generation and its digest differs.
func (g *Generation) deliver(token contract.Token) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	contract.Invariant(token.Offset == g.length(), "accepted offset is not the next",
		"request", g.request.ID, "offset", token.Offset, "length", g.length())
	contract.Invariant(g.verdict == nil, "token accepted after the end", "request", g.request.ID)
	g.appendToken(token.Text)
	g.broadcast()
	return g.length() != g.callerPosition.Offset || g.matches(g.callerPosition)
}

// switchTo records the locator of the new current attempt.
func (g *Generation) switchTo(locator string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attemptSwitches = append(g.attemptSwitches, attemptSwitch{offset: g.length(), locator: locator})
	g.broadcast()
}

// finish sets the verdict and stops the grace timer.
func (g *Generation) finish(verdict contract.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	contract.Invariant(g.verdict == nil, "generation finished twice", "request", g.request.ID)
	g.verdict = &verdict
	if g.graceTimer != nil {
		g.graceTimer.Stop()
	}
	g.broadcast()
}

// completed reports whether the generation ended with the outcome completed.
func (g *Generation) completed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verdict != nil && g.verdict.Outcome == contract.Completed
}

// replace ends all subscriptions in favour of a new generation of the request.
func (g *Generation) replace() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replaced = true
	g.broadcast()
	g.requestStop(InputDiverged)
}

func (g *Generation) requestStop(kind InputKind) {
	select {
	case g.stop <- Input{Kind: kind}:
	default:
	}
}

// subscribe returns a subscription from a position if the held text matches it,
// or if the generation has yet to reach the position of the caller that opened it.
func (g *Generation) subscribe(p contract.Position) (*Subscription, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	catchingUp := p == g.callerPosition && p.Offset > g.length() && g.verdict == nil
	if g.replaced || !catchingUp && !g.matches(p) {
		return nil, false
	}
	g.subscribers++
	if g.graceTimer != nil {
		g.graceTimer.Stop()
	}
	c := &cursor{generation: g, position: p}
	return NewSubscription(c.next, g.unsubscribe), true
}

func (g *Generation) unsubscribe() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers--
	if g.subscribers > 0 || g.verdict != nil {
		return
	}
	g.graceTimer = time.AfterFunc(g.request.DetachGrace, g.abandon)
}

// abandon requests the end of the generation if it still has no subscriber.
func (g *Generation) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.subscribers == 0 {
		g.abandoned = true
		g.requestStop(InputAbandoned)
	}
}

// rerunAllowed reports whether a new submission of the request starts a new run.
// The verdict of an interrupted generation is delivered once before that.
func (g *Generation) rerunAllowed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.verdict == nil || g.abandoned {
		return g.abandoned
	}
	if g.verdict.Outcome == contract.Completed {
		return false
	}
	return g.endDelivered || g.verdict.Outcome == contract.NotRun
}

// textBefore returns the whole text before a position, if it is held.
func (g *Generation) textBefore(p contract.Position) ([]string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.base != 0 || !g.matches(p) {
		return nil, false
	}
	return g.texts[:p.Offset:p.Offset], true
}
