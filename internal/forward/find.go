package forward

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

// findTimeout bounds the search for a prompt. A server that is up answers within
// a few milliseconds; reading 8,000 tokens again takes a second.
const findTimeout = 100 * time.Millisecond

// Finder asks servers which prompts they keep.
type Finder interface {
	// HeldTokens returns how many tokens of a part of a prompt a server keeps.
	HeldTokens(ctx context.Context, address, part string) (int, error)
}

// findPrompt returns the server that keeps the prompt of a stream that its
// caller continues after the loss of an instance. All knowledge of where it ran
// may be lost with that instance, so the servers are asked.
func (f *Forwarder) findPrompt(ctx context.Context, x *exchange) (serverID string) {
	if x.meta.LastEvent == 0 || x.meta.PromptPart == "" || x.service.Engine == nil {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	began := time.Now()
	members := f.Pool.Members(x.service.Name)
	held := make([]int, len(members))
	var asked sync.WaitGroup
	for i, m := range members {
		asked.Go(func() { held[i] = f.heldTokens(ctx, x, m) })
	}
	asked.Wait()
	most := 0
	for i, tokens := range held {
		if tokens > most {
			most = tokens
			serverID = members[i].ID
		}
	}
	x.log.WithFields(logrus.Fields{
		"server": serverID, "tokens": most, "asked": len(members), "took_ms": time.Since(began).Milliseconds(),
	}).Info("prompt searched")
	return serverID
}

func (f *Forwarder) heldTokens(ctx context.Context, x *exchange, m *pool.Member) int {
	tokens, err := f.Finder.HeldTokens(ctx, m.Address, x.meta.PromptPart)
	if err != nil {
		x.log.WithField("server", m.ID).WithError(err).Debug("server did not say which prompts it keeps")
		return 0
	}
	return tokens
}
