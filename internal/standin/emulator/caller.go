package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Attempt is what one attempt of a caller says in its header.
type Attempt struct {
	ID     string
	Key    string        // API key
	Left   time.Duration // until the caller's deadline
	Forged string        // value for headers that only the system may set; empty: none
	Stream *StreamRequest
}

// StreamRequest is what the caller of a stream says besides.
type StreamRequest struct {
	PromptTokens int
	OutputTokens int
	PromptParts  []PromptPart
	LastEvent    int // number of the last event that the caller has; 0: none
}

// PromptPart is a part of a prompt; the last one is the request's own.
type PromptPart struct {
	ID     string
	Tokens int
}

// SetHeader writes the attempt as the platform's clients do.
func (a Attempt) SetHeader(h http.Header) {
	h.Set("X-Attempt-Id", a.ID)
	h.Set("Authorization", "Bearer "+a.Key)
	h.Set("X-Deadline-Ms", strconv.FormatInt(a.Left.Milliseconds(), 10))
	if a.Forged != "" {
		h.Set("X-Tenant", a.Forged)
		h.Set("X-Hold", a.Forged)
	}
	if a.Stream == nil {
		return
	}
	var parts []string
	for _, part := range a.Stream.PromptParts {
		parts = append(parts, fmt.Sprintf("%s:%d", part.ID, part.Tokens))
	}
	h.Set("X-Model", "m")
	h.Set("X-Token-Counts", fmt.Sprintf("%d,%d", a.Stream.PromptTokens, a.Stream.OutputTokens))
	h.Set("X-Prompt-Prefix", strings.Join(parts, ","))
	if a.Stream.LastEvent > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(a.Stream.LastEvent))
	}
}
