package generation

import (
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Generation is a generation held by this instance: the accepted tokens, the
// locators of its attempts and, at the end, the verdict.
type Generation struct {
	request  Request
	content  upstream.ContentKey
	pin      upstream.ModelPin
	sampling upstream.Sampling
	expected contract.Position // where the caller that opened it stands
	stop     chan Input        // reasons to end, from outside of the runner

	mu           sync.Mutex // guards all fields below
	base         int64      // offset of the first held token
	baseDigester []byte     // state of the digester at base
	texts        []string
	digests      []contract.PrefixDigest // digests[i] is the digest at offset base+i
	digester     *contract.Digester
	marks        []mark
	changed      chan struct{} // closed at each change
	subscribers  int
	grace        *time.Timer // runs while there is no subscriber
	verdict      *contract.Verdict
	endDelivered bool
	broken       bool // replaced by another generation of the request
	abandoned    bool // the grace time has passed
}

// mark is the place in the text where an attempt became the current one.
type mark struct {
	offset  int64
	locator string
}

// newGeneration returns a generation that continues the text of the digester.
// texts are the tokens before it, if they are held.
func newGeneration(r Request, plan plan) *Generation {
	g := &Generation{
		request: r, content: r.content, pin: plan.pin, sampling: plan.sampling,
		expected: r.position(),
		stop:     make(chan Input, 3), // replaced, diverged, abandoned
		base:     plan.base,
		digester: plan.digester,
		changed:  make(chan struct{}),
	}
	g.baseDigester = g.digester.State()
	g.digests = append(g.digests, g.digester.Prefix())
	for _, text := range plan.texts {
		g.add(text)
	}
	g.request.Resume = nil // the received text is held in texts
	return g
}

func (g *Generation) add(text string) {
	g.texts = append(g.texts, text)
	g.digester.Add(text)
	g.digests = append(g.digests, g.digester.Prefix())
}

// length returns the offset after the last token; the caller holds mu.
func (g *Generation) length() int64 { return g.base + int64(len(g.texts)) }

// matches reports whether the text at a position is the held one; the caller
// holds mu.
func (g *Generation) matches(p contract.Position) bool {
	if p.Offset < g.base || p.Offset > g.length() {
		return false
	}
	return g.digests[p.Offset-g.base] == p.Digest
}

// digesterAt returns a new digester of the text before an offset; the caller
// holds mu.
func (g *Generation) digesterAt(offset int64) *contract.Digester {
	d, err := contract.RestoreDigester(g.baseDigester, g.base)
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
	contract.Invariant(g.base == 0, "a new attempt needs the whole text", "request", g.request.ID, "base", g.base)
	return g.texts[:len(g.texts):len(g.texts)]
}

// end returns the offset after the last token and the digester's state there.
func (g *Generation) end() (contract.Position, []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return contract.Position{Offset: g.length(), Digest: g.digester.Prefix()}, g.digester.State()
}

// deliver accepts a token. It reports false if the text has reached the
// position of the caller that opened the generation and differs from its text.
func (g *Generation) deliver(token contract.Token) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	contract.Invariant(token.Offset == g.length(), "accepted offset is not the next",
		"request", g.request.ID, "offset", token.Offset, "length", g.length())
	contract.Invariant(g.verdict == nil, "token accepted after the end", "request", g.request.ID)
	g.add(token.Text)
	g.broadcast()
	return g.length() != g.expected.Offset || g.matches(g.expected)
}

// switchTo makes a new locator valid.
func (g *Generation) switchTo(locator string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.marks = append(g.marks, mark{offset: g.length(), locator: locator})
	g.broadcast()
}

// finish sets the verdict.
func (g *Generation) finish(verdict contract.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	contract.Invariant(g.verdict == nil, "generation finished twice", "request", g.request.ID)
	g.verdict = &verdict
	if g.grace != nil {
		g.grace.Stop()
	}
	g.broadcast()
}

// completed reports whether the whole text was generated.
func (g *Generation) completed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verdict != nil && g.verdict.Outcome == contract.Completed
}

// replace ends all subscriptions because another generation takes over.
func (g *Generation) replace() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = true
	g.broadcast()
	g.requestStop(InputDiverged)
}

func (g *Generation) requestStop(kind InputKind) {
	select {
	case g.stop <- Input{Kind: kind}:
	default:
	}
}

// subscribe returns a subscription from a position if the text there is the
// caller's, or may still turn out to be.
func (g *Generation) subscribe(p contract.Position) (*Subscription, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	catchingUp := p == g.expected && p.Offset > g.length() && g.verdict == nil
	if g.broken || !catchingUp && !g.matches(p) {
		return nil, false
	}
	g.subscribers++
	if g.grace != nil {
		g.grace.Stop()
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
	g.grace = time.AfterFunc(g.request.DetachGrace, g.abandon)
}

// abandon ends the generation if there is still no subscriber.
func (g *Generation) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.subscribers == 0 {
		g.abandoned = true
		g.requestStop(InputAbandoned)
	}
}

// superseded reports whether a new submission of the request runs anew. The
// end of an interrupted generation is delivered once before that.
func (g *Generation) superseded() bool {
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
