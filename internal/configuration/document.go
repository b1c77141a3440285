// Package configuration holds the declared state of the system (services,
// upstreams, workspaces and rules under a version number), accepts patches to
// it and keeps the version that is in force at this instance.
//
// The package must never move an instance to a lower version.
package configuration

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Version numbers configurations from 1; 0 is the empty configuration.
type Version int64

// Kind is the kind of a service or an upstream.
type Kind string

// The kinds.
const (
	KindEngine  Kind = "engine"  // serves a model
	KindService Kind = "service" // a plain service
)

// ResumePolicy is the trade-off between resume latency and extra resource use.
type ResumePolicy string

// The resume policies.
const (
	// ResumeSparing probes the same engine first and uses another one only if the probe fails.
	ResumeSparing ResumePolicy = "sparing"
	// ResumeFast probes the same engine and starts an attempt on another one at the same time.
	ResumeFast ResumePolicy = "fast"
)

// LossHeadroom is the loss for which a service keeps slots free.
type LossHeadroom string

// The headrooms.
const (
	// HeadroomNone admits new generations into all slots.
	HeadroomNone LossHeadroom = "none"
	// HeadroomUpstream keeps as many slots free as the largest upstream has.
	HeadroomUpstream LossHeadroom = "upstream"
	// HeadroomFailureDomain keeps as many slots free as the largest failure domain has.
	HeadroomFailureDomain LossHeadroom = "failure_domain"
)

// Document is a complete configuration.
type Document struct {
	Services   map[contract.ServiceID]Service     `json:"services"`
	Upstreams  map[contract.UpstreamID]Upstream   `json:"upstreams"`
	Workspaces map[contract.WorkspaceID]Workspace `json:"workspaces"`
	Rules      map[string]Rule                    `json:"rules"`
}

// Service is a target that callers address.
type Service struct {
	Kind Kind `json:"kind"`
	// Idempotent is true if calls may be repeated. Default false. Ignored for engines.
	Idempotent bool `json:"idempotent,omitempty"`
	// Model, ModelVersion and Adapter pin what engines must serve. Required for engines (Adapter optional).
	Model        string `json:"model,omitempty"`
	ModelVersion string `json:"model_version,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	// ResumePolicy is "sparing" or "fast". Default "sparing".
	ResumePolicy ResumePolicy `json:"resume_policy,omitempty"`
	// LossHeadroom is "none", "upstream" or "failure_domain": new generations are
	// admitted only into the slots that remain if the live upstream or failure
	// domain with the most slots of this service is lost, so that resumed
	// generations need not wait for a slot. Default "upstream": engines crash
	// often, and one engine is a small part of a fleet. Engines only.
	LossHeadroom LossHeadroom `json:"loss_headroom,omitempty"`
	// DeadlineMS is the time for a whole request, in milliseconds. Default 600000 for engines, 10000 for plain services.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// QueueMS is the longest wait for admission, in milliseconds. Default 10000 for engines, 1000 for plain services.
	QueueMS int64 `json:"queue_ms,omitempty"`
	// DetachGraceMS is how long a generation continues without a connected caller, in milliseconds. Default 30000.
	DetachGraceMS int64 `json:"detach_grace_ms,omitempty"`
	// MaxTokens is the maximum length of the text, in tokens. Default 32768.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// MaxAttempts is the maximum number of attempts of one generation. Default 8.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Upstreams lists the upstreams of the service.
	Upstreams []contract.UpstreamID `json:"upstreams"`
}

// Upstream is an engine or a plain service server.
type Upstream struct {
	Kind          Kind                     `json:"kind"`
	Address       string                   `json:"address"` // IP number and port
	FailureDomain contract.FailureDomainID `json:"failure_domain"`
	// Slots is the maximum number of concurrent requests. Default 8.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing is true if the upstream rejects a request with an old fencing number. Default false.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Workspace is a customer of the users' services.
type Workspace struct {
	// RequestsPerSecond is the limit over all instances. Default 100.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// ConcurrentGenerations is the limit over all instances. Default 100.
	ConcurrentGenerations int `json:"concurrent_generations,omitempty"`
	// Weight is the weight in the fair queue. Default 1.
	Weight float64 `json:"weight,omitempty"`
}

// Rule allows the callers of a workspace to use a service. A workspace can use
// only the services named by its rules.
type Rule struct {
	Workspace contract.WorkspaceID `json:"workspace"`
	Service   contract.ServiceID   `json:"service"`
	// Priority is "interactive" or "batch". Default "interactive".
	Priority string `json:"priority,omitempty"`
	// Upstreams restricts the service's upstreams for this workspace. Default: all of them.
	Upstreams []contract.UpstreamID `json:"upstreams,omitempty"`
}

// Snapshot is an immutable configuration with its version. Its maps must not
// be changed.
type Snapshot struct {
	Version    Version   `json:"version"`
	PatchID    string    `json:"patch_id"`
	AcceptedAt time.Time `json:"accepted"`
	Document   Document  `json:"document"`
}

// Source returns the snapshot in force. It never returns nil; before the first
// version it returns a Snapshot with version 0.
type Source interface {
	Current() *Snapshot
}
