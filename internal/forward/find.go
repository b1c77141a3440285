package forward

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

// findTimeout bounds the search for a prompt. Reading 8,000 tokens again takes a
// second, and an instance with a fifth of a core needs about 200 ms to ask a
// hundred upstreams.
const findTimeout = 300 * time.Millisecond

const (
	// searchedAtOnce is the number of upstreams up to which all are asked at once, and
	// prompts are placed at random: asking so few takes hardly longer than asking
	// likelySearched of them.
	searchedAtOnce = 32
	// likelySearched is how many upstreams are asked first: those that rank highest
	// for the prompt, among which it was placed, with room for members that were
	// avoided then.
	likelySearched = 3 * reportsAsked
	// maxSearched is the largest number of upstreams of which all others are asked.
	// Asking more costs about as much as reading the prompt again.
	maxSearched = 256
)

// Finder asks upstreams which prompts they keep.
type Finder interface {
	// HeldTokens returns how many tokens of a part of a prompt an upstream keeps.
	HeldTokens(ctx context.Context, address, part string) (int, error)
}

// findPrompt returns the upstream that keeps the prompt of a stream that its
// caller continues after the loss of an instance. All knowledge of where it ran
// may be lost with that instance, so the upstreams are asked.
func (f *Forwarder) findPrompt(ctx context.Context, x *exchange) (upstreamID string) {
	if x.meta.LastEvent == 0 || x.meta.PromptPart == "" || x.service.Engine == nil {
		return ""
	}
	members := f.Pool.Members(x.service.Name)
	likely, others := members, members[:0]
	if len(members) > searchedAtOnce {
		ranked := pool.Ranked(members, x.meta.PromptPart)
		likely, others = ranked[:likelySearched], ranked[likelySearched:]
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	began, asked := time.Now(), len(likely)
	held := f.searchPrompt(ctx, x, likely)
	if !held.most(x) && len(members) <= maxSearched {
		asked = len(members)
		if other := f.searchPrompt(ctx, x, others); other.tokens > held.tokens {
			held = other
		}
	}
	x.log.WithFields(logrus.Fields{
		"upstream": held.upstreamID, "tokens": held.tokens, "asked": asked, "took_ms": time.Since(began).Milliseconds(),
	}).Info("prompt searched")
	return held.upstreamID
}

// searchPrompt asks upstreams at the same time for a prompt and returns the one
// that keeps the most of it, or the first that keeps most of it.
func (f *Forwarder) searchPrompt(ctx context.Context, x *exchange, members []*pool.Member) (best heldPrompt) {
	found := make(chan heldPrompt, len(members))
	for _, m := range members {
		go func() { found <- heldPrompt{upstreamID: m.ID, tokens: f.heldTokens(ctx, x, m)} }()
	}
	for range members {
		if held := <-found; held.tokens > best.tokens {
			best = held
		}
		if best.most(x) {
			break
		}
	}
	return best
}

// heldPrompt is how much of a prompt an upstream keeps.
type heldPrompt struct {
	upstreamID string
	tokens     int
}

// most reports whether no other upstream saves much more.
func (h heldPrompt) most(x *exchange) bool { return h.tokens > x.meta.PromptTokens/2 }

func (f *Forwarder) heldTokens(ctx context.Context, x *exchange, m *pool.Member) int {
	tokens, err := f.Finder.HeldTokens(ctx, m.Address, x.meta.PromptPart)
	if err != nil {
		x.log.WithField("upstream", m.ID).WithError(err).Debug("upstream did not say which prompts it keeps")
		return 0
	}
	return tokens
}
