package pool

import "time"

// LoadReport is the load that an engine reports. It is some hundred milliseconds old.
type LoadReport struct {
	Decoding      int // streams in decode
	Prefilling    int // streams in prefill
	Queued        int // queued streams
	Leaving       bool
	KVTokensUsed  int   // KV cache in use that cannot be evicted, in tokens
	KVTokensTotal int   // size of the KV cache in tokens; 0: unknown
	StartedAt     int64 // process start time in Unix milliseconds; 0: unknown
	// RetryAfter is the Retry-After of an upstream that refused to report; 0: it has
	// reported.
	RetryAfter time.Duration
	Rate       RequestRate
}

// HealthStatus is the result of a health check.
type HealthStatus struct {
	ID         string
	Ready      bool // it accepts requests
	Leaving    bool
	RetryAfter time.Duration // Retry-After; 0: none
	Rate       RequestRate
}
