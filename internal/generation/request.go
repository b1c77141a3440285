package generation

import (
	"crypto/sha256"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Request is a request for a generation.
type Request struct {
	ID          contract.RequestID
	Service     contract.ServiceID
	Pin         upstream.ModelPin
	Prompt      string
	Sampling    upstream.Sampling // Seed 0: derived from ID
	MaxTokens   int64
	Priority    upstream.Priority
	Policy      configuration.ResumePolicy
	MaxAttempts int
	QueueUntil  time.Time     // latest time to wait for an upstream for a request that never ran
	Deadline    time.Time     // of the whole request
	DetachGrace time.Duration // how long the generation continues without a caller
	Resume      *ResumeState  // nil: from the beginning

	content upstream.ContentKey // set once by Open, because prompts may be long
}

// ResumeState is the state that a reconnecting caller sends.
type ResumeState struct {
	Position contract.Position
	Locator  string   // of the last start or attempt event; may be empty
	Received []string // text of each token before Position; may be empty
}

// ContentKeyOf returns the key of a request's content: service, prompt and
// parameters. It does not depend on the caller or the request identifier.
func ContentKeyOf(r Request) upstream.ContentKey {
	hash := sha256.New()
	// The lengths make the concatenation of the texts unambiguous.
	_, _ = fmt.Fprintf(hash, "%d %d %d %v %d\n",
		len(r.Service), len(r.Prompt), r.Sampling.Seed, r.Sampling.Temperature, r.MaxTokens)
	_, _ = io.WriteString(hash, string(r.Service)) // hash.Hash never returns an error
	_, _ = io.WriteString(hash, r.Prompt)
	return upstream.ContentKey(hash.Sum(nil)[:len(upstream.ContentKey{})])
}

// sampling returns the parameters with a seed. The derived seed is the same on
// each instance, so that engines generate the same text for a repeated request.
func (r Request) sampling() upstream.Sampling {
	s := r.Sampling
	if s.Seed == 0 {
		s.Seed = xxhash.Sum64String(r.ID.String())
	}
	return s
}

// position returns the end of the caller's text.
func (r Request) position() contract.Position {
	if r.Resume == nil {
		return contract.StartPosition()
	}
	return r.Resume.Position
}

// received returns the caller's text if it is complete and matches its position.
func (r Request) received() ([]string, bool) {
	if r.Resume == nil || len(r.Resume.Received) == 0 {
		return nil, r.position() == contract.StartPosition()
	}
	texts := r.Resume.Received
	complete := int64(len(texts)) == r.Resume.Position.Offset
	return texts, complete && contract.DigestOf(texts) == r.Resume.Position.Digest
}
