package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// pauseAttributionWindow is the longest time between a fault and the start of a
// pause that is attributed to it.
const pauseAttributionWindow = 3 * time.Second

// stream is one generation as observed by its caller.
type stream struct {
	request contract.RequestID
	prompt  string
	length  int

	mu       sync.Mutex // guards arrivals
	arrivals []time.Time

	done   chan struct{}
	result client.GenerationResult
	err    error
}

func newStream(seed uint64, number, length int) *stream {
	return &stream{
		request: contract.RequestID{Workspace: testcluster.Workspace, Key: contract.NewKey()},
		prompt:  fmt.Sprintf("%d-%d care guide for chain wax len=%d", seed, number, length),
		length:  length,
		done:    make(chan struct{}),
	}
}

// generate runs the stream through a client.
func (s *stream) generate(ctx context.Context, c *client.Client, seed uint64) {
	defer close(s.done)
	s.result, s.err = c.Generate(ctx, client.GenerationRequest{
		RequestID: s.request, Service: testcluster.GenerationService, Prompt: s.prompt, Seed: seed, Temperature: 1,
		OnToken: func(contract.Token) { s.recordArrival(time.Now()) },
	})
}

func (s *stream) recordArrival(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, at)
}

func (s *stream) tokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}

// complete reports whether the caller received the complete text of a single run.
func (s *stream) complete(seed uint64) bool {
	return s.err == nil && s.result.Verdict.Outcome == contract.Completed && len(s.result.Tokens) == s.length &&
		standin.VerifyText(s.prompt, seed, s.result.Tokens) == nil
}

// pauseAfter returns the longest pause between two tokens that is attributed to
// the fault, and the number of tokens before it. Time before the fault does not
// count.
func (s *stream) pauseAfter(fault time.Time) (longest time.Duration, before int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 1; i < len(s.arrivals); i++ {
		start, end := s.arrivals[i-1], s.arrivals[i]
		if end.Before(fault) || start.After(fault.Add(pauseAttributionWindow)) {
			continue
		}
		if start.Before(fault) {
			start = fault
		}
		if end.Sub(start) > longest {
			longest, before = end.Sub(start), i
		}
	}
	return longest, before
}

// startedBefore reports whether the first token arrived before the time.
func (s *stream) startedBefore(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals) > 0 && s.arrivals[0].Before(at)
}

// recordGaps records the times between tokens.
func (s *stream) recordGaps(into durations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 1; i < len(s.arrivals); i++ {
		into.record(s.arrivals[i].Sub(s.arrivals[i-1]))
	}
}

// awaitTokens waits until each stream has n tokens.
func awaitTokens(ctx context.Context, streams []*stream, n int) error {
	return testcluster.Await(ctx, func() bool {
		for _, s := range streams {
			if s.tokens() < n {
				return false
			}
		}
		return true
	})
}

func waitFor(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
