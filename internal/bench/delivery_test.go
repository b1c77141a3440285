package bench

import (
	"context"
	"testing"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/testcluster"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// readyDialer returns the same readyEngine for all targets.
type readyDialer struct{ engine *readyEngine }

// Engine implements upstream.EngineDialer.
func (d readyDialer) Engine(upstream.Target) upstream.Engine { return d.engine }

// readyEngine is an engine without delay: tokens are available as fast as they are read.
type readyEngine struct {
	upstream.Engine
	tokens  int64
	request upstream.StreamRequest // of the only stream
}

// Start implements upstream.Engine.
func (e *readyEngine) Start(_ context.Context, request upstream.StreamRequest) (upstream.Stream, error) {
	e.request = request
	return &readyStream{request: request, tokens: e.tokens}, nil
}

// Resume implements upstream.Engine. On a busy machine the stream may pause for
// longer than the silence timeout and be resumed.
func (e *readyEngine) Resume(_ context.Context, _ upstream.StreamID, from contract.Position) (upstream.Stream, error) {
	return &readyStream{request: e.request, next: from.Offset, tokens: e.tokens}, nil
}

type readyStream struct {
	request upstream.StreamRequest
	next    int64
	tokens  int64
}

// Incarnation implements upstream.Stream.
func (s *readyStream) Incarnation() upstream.Incarnation { return "one" }

// Close implements upstream.Stream.
func (s *readyStream) Close() {}

// Next implements upstream.Stream.
func (s *readyStream) Next(context.Context) (upstream.StreamEvent, error) {
	event := upstream.StreamEvent{Stream: s.request.Stream, Request: s.request.Request}
	if s.next == s.tokens {
		event.End, event.TokenCount = true, s.tokens
		return event, nil
	}
	event.Token = contract.Token{Offset: s.next, Text: "12345678 "}
	s.next++
	return event, nil
}

// BenchmarkDelivery measures the delivery of one token from an engine's stream to
// the caller's subscription, without sockets and encoding.
func BenchmarkDelivery(b *testing.B) {
	router := &leastBusyRouter{targets: []upstream.Target{{ID: "one"}}, active: make([]int, 1)}
	dialer := readyDialer{engine: &readyEngine{tokens: int64(b.N)}}
	registry := generation.NewRegistry(generation.Config{Instance: "instance-0", Router: router, Dialer: dialer})
	request := generation.Request{
		ID:      contract.RequestID{Workspace: testcluster.Workspace, Key: contract.NewKey()},
		Service: testcluster.GenerationService, Prompt: "care guide", MaxTokens: int64(b.N), MaxAttempts: 1,
		Policy: configuration.ResumeSparing, Deadline: time.Now().Add(time.Hour), QueueUntil: time.Now().Add(time.Hour),
	}
	b.ReportAllocs()
	b.ResetTimer()
	subscription, verdict, ok := registry.Open(context.Background(), request)
	if !ok {
		b.Fatalf("refused: %+v", verdict)
	}
	defer subscription.Close()
	for {
		event, err := subscription.Next(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		if event.Kind == generation.EventEnd {
			if event.TokenCount != int64(b.N) {
				b.Fatalf("%d tokens, expected %d", event.TokenCount, b.N)
			}
			return
		}
	}
}
