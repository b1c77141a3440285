package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Attempt holds the header fields of one attempt of a caller.
type Attempt struct {
	ID       string
	APIKey   string        // API key
	TimeLeft time.Duration // until the caller's deadline
	Forged   string        // value for headers that only the system may set; empty: none
	Stream   *StreamRequest
}

// StreamRequest holds the additional header fields of a streaming request.
type StreamRequest struct {
	PromptTokens int
	OutputTokens int
	PromptParts  []PromptPart
	LastEventID  int // number of the last event that the caller received; 0: none
}

// PromptPart is a part of a prompt. The last part of a prompt is specific to the
// request.
type PromptPart struct {
	ID     string
	Tokens int
}

// SetHeader sets the header fields like the platform's clients do.
func (a Attempt) SetHeader(h http.Header) {
	h.Set("X-Attempt-Id", a.ID)
	h.Set("Authorization", "Bearer "+a.APIKey)
	h.Set("X-Deadline-Ms", strconv.FormatInt(a.TimeLeft.Milliseconds(), 10))
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
	if a.Stream.LastEventID > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(a.Stream.LastEventID))
	}
}
