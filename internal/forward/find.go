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
const promptSearchTimeout = 300 * time.Millisecond

const (
	// searchedAtOnce is the number of upstreams up to which all are asked at once, and
	// prompts are placed at random: asking so few takes hardly longer than asking
	// likelySearched of them.
	searchAllLimit = 32
	// likelySearched is how many upstreams are asked first: those that rank highest
	// for the prompt, among which it was placed, with room for members that were
	// avoided then.
	likelySearchCount = 3 * sampledForPlacement
	// maxSearched is the largest number of upstreams of which all others are asked.
	// Asking more costs about as much as reading the prompt again.
	maxSearchedUpstreams = 256
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
	likeliest, remaining := members, members[:0]
	if len(members) > searchAllLimit {
		ranked := pool.Ranked(members, x.meta.PromptPart)
		likeliest, remaining = ranked[:likelySearchCount], ranked[likelySearchCount:]
	}
	ctx, cancel := context.WithTimeout(ctx, promptSearchTimeout)
	defer cancel()
	startedAt, searched := time.Now(), len(likeliest)
	match := f.searchPrompt(ctx, x, likeliest)
	if !match.coversMost(x) && len(members) <= maxSearchedUpstreams {
		searched = len(members)
		if more := f.searchPrompt(ctx, x, remaining); more.tokens > match.tokens {
			match = more
		}
	}
	x.log.WithFields(logrus.Fields{
		"upstream": match.upstreamID, "tokens": match.tokens, "asked": searched, "took_ms": time.Since(startedAt).Milliseconds(),
	}).Info("prompt searched")
	return match.upstreamID
}

// searchPrompt asks upstreams at the same time for a prompt and returns the one
// that keeps the most of it, or the first that keeps most of it.
func (f *Forwarder) searchPrompt(ctx context.Context, x *exchange, members []*pool.Member) (best promptMatch) {
	matches := make(chan promptMatch, len(members))
	for _, m := range members {
		go func() { matches <- promptMatch{upstreamID: m.ID, tokens: f.cachedTokens(ctx, x, m)} }()
	}
	for range members {
		if match := <-matches; match.tokens > best.tokens {
			best = match
		}
		if best.coversMost(x) {
			break
		}
	}
	return best
}

// heldPrompt is how much of a prompt an upstream keeps.
type promptMatch struct {
	upstreamID string
	tokens     int
}

// most reports whether no other upstream saves much more.
func (h promptMatch) coversMost(x *exchange) bool { return h.tokens > x.meta.PromptTokens/2 }

func (f *Forwarder) cachedTokens(ctx context.Context, x *exchange, m *pool.Member) int {
	tokens, err := f.Finder.HeldTokens(ctx, m.Address, x.meta.PromptPart)
	if err != nil {
		x.log.WithField("upstream", m.ID).WithError(err).Debug("upstream did not say which prompts it keeps")
		return 0
	}
	return tokens
}
