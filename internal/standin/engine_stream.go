package standin

import (
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// engineStream is one stream of an engine. Its fields are guarded by Engine.mu.
type engineStream struct {
	request    upstream.StreamRequest
	chain      *textChain
	texts      []string // prefix and generated tokens
	length     int64    // number of tokens of the complete text
	readyAt    time.Time
	readers    int
	detachedAt time.Time // when the last reader detached
	ended      bool
	cancelled  bool
	endedAt    time.Time
	changed    chan struct{} // closed and replaced at each change
}

func newEngineStream(request upstream.StreamRequest) *engineStream {
	s := &engineStream{
		request: request,
		chain:   newTextChain(request.Prompt, request.Sampling.Seed),
		texts:   slices.Clone(request.Prefix),
		length:  TextLength(request.Prompt, request.MaxTokens),
		changed: make(chan struct{}),
	}
	for _, text := range request.Prefix {
		s.chain.add(text)
	}
	return s
}

// generate appends one token.
func (s *engineStream) generate(engineNonce string) {
	nonce := ""
	if s.request.Sampling.Temperature > 0 {
		nonce = engineNonce
	}
	word := s.chain.next(nonce)
	s.chain.add(word)
	s.texts = append(s.texts, word)
	s.notify()
}

func (s *engineStream) complete() bool { return int64(len(s.texts)) >= s.length }

func (s *engineStream) end(now time.Time, cancelled bool) {
	s.ended, s.cancelled, s.endedAt = true, cancelled, now
	s.notify()
}

func (s *engineStream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// matches reports whether the text before the position has the position's
// digest. decided is false while a running stream has not reached the position.
func (s *engineStream) matches(position contract.Position) (equal, decided bool) {
	if position.Offset > int64(len(s.texts)) {
		return false, s.ended
	}
	return contract.DigestOf(s.texts[:position.Offset]) == position.Digest, true
}
