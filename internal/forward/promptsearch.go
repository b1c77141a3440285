package forward

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

// promptSearchTimeout bounds the search for a cached prompt. Prefilling 8,000 tokens
// again takes a second, and an instance with a fifth of a core needs about 200 ms to
// query a hundred upstreams.
const promptSearchTimeout = 300 * time.Millisecond

const (
	// searchAllLimit is the number of upstreams up to which all are queried at once,
	// and prompts are placed at random: querying so few takes hardly longer than
	// querying likelySearchCount of them.
	searchAllLimit = 32
	// likelySearchCount is how many upstreams are queried first: those that rank
	// highest for the prompt, among which it was placed. The count allows for upstreams
	// that were excluded then.
	likelySearchCount = 3 * placementSampleSize
	// maxSearchedUpstreams is the largest number of upstreams at which the search
	// continues with all remaining ones. Querying more costs about as much as
	// prefilling the prompt again.
	maxSearchedUpstreams = 256
)

// PromptFinder queries the prefix caches of upstreams.
type PromptFinder interface {
	// CachedTokens returns how many tokens of a prompt part an upstream has in its cache.
	CachedTokens(ctx context.Context, address, part string) (int, error)
}

// findPrompt returns the upstream that has the prompt of a resumed stream in its cache.
// The caller resumes after the loss of an instance, which may have been the only one
// that had the location, so the upstreams are queried.
func (f *Forwarder) findPrompt(ctx context.Context, x *exchange) (upstreamID string) {
	if x.meta.LastEventID == 0 || x.meta.PromptPartID == "" || x.service.Engine == nil {
		return ""
	}
	members := f.Pool.Members(x.service.Name)
	likeliest, remaining := members, members[:0]
	if len(members) > searchAllLimit {
		ranked := pool.RankByKey(members, x.meta.PromptPartID)
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
	}).Info("searched upstreams for the cached prompt")
	return match.upstreamID
}

// searchPrompt queries upstreams in parallel for a prompt and returns the one that
// caches the most of it, or the first that caches more than half of it.
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

// promptMatch is how much of a prompt an upstream has in its cache.
type promptMatch struct {
	upstreamID string
	tokens     int
}

// coversMost reports whether no other upstream could save much more.
func (m promptMatch) coversMost(x *exchange) bool { return m.tokens > x.meta.PromptTokens/2 }

func (f *Forwarder) cachedTokens(ctx context.Context, x *exchange, m *pool.Member) int {
	tokens, err := f.PromptFinder.CachedTokens(ctx, m.Address, x.meta.PromptPartID)
	if err != nil {
		x.log.WithField("upstream", m.ID).WithError(err).Debug("upstream did not report its cached tokens of the prompt")
		return 0
	}
	return tokens
}
