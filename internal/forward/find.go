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

// maxSearched is the largest number of upstreams that are asked. Asking more costs
// about as much as reading the prompt again.
const maxSearched = 256

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
	if len(members) > maxSearched {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	began := time.Now()
	found := make(chan heldPrompt, len(members))
	for _, m := range members {
		go func() { found <- heldPrompt{upstreamID: m.ID, tokens: f.heldTokens(ctx, x, m)} }()
	}
	most := 0
	for range members {
		held := <-found
		if held.tokens > most {
			most = held.tokens
			upstreamID = held.upstreamID
		}
		if most > x.meta.PromptTokens/2 {
			break // no other upstream saves much more
		}
	}
	x.log.WithFields(logrus.Fields{
		"upstream": upstreamID, "tokens": most, "asked": len(members), "took_ms": time.Since(began).Milliseconds(),
	}).Info("prompt searched")
	return upstreamID
}

// heldPrompt is how much of a prompt an upstream keeps.
type heldPrompt struct {
	upstreamID string
	tokens     int
}

func (f *Forwarder) heldTokens(ctx context.Context, x *exchange, m *pool.Member) int {
	tokens, err := f.Finder.HeldTokens(ctx, m.Address, x.meta.PromptPart)
	if err != nil {
		x.log.WithField("upstream", m.ID).WithError(err).Debug("upstream did not say which prompts it keeps")
		return 0
	}
	return tokens
}
