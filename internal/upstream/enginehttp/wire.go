// Package enginehttp is the HTTP client of model engines, with server-sent
// events.
//
// Only load reports may reuse a connection: a reused connection may have gone
// silent while new ones work, and a probe must distinguish the two.
package enginehttp

import (
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Paths of the engine protocol.
const (
	StreamsPath = "/v1/streams"
	LoadPath    = "/v1/load"
)

// Headers of the engine protocol.
const (
	IncarnationHeader = "Foxtailhub-Incarnation"
	StateHeader       = "Foxtailhub-Upstream-State"
)

// Values of StateHeader in responses with status 503.
const (
	StateLeaving = "leaving"
	StateRefused = "refused"
)

// Types of server-sent events.
const (
	EventToken = "token"
	EventEnd   = "end"
)

// Event is the data of a server-sent event, as JSON. Offset and Text are set in
// token events, TokenCount in end events.
type Event struct {
	Stream     upstream.StreamID  `json:"stream"`
	Request    contract.RequestID `json:"request"`
	Offset     int64              `json:"offset"`
	Text       string             `json:"text,omitempty"`
	TokenCount int64              `json:"count,omitempty"`
}
