package dispatch

import (
	"sync"
	"time"
)

// Settings of the retry budget. A ratio of one tenth keeps the extra load small
// when many upstreams fail. The constant refill allows retries on an instance
// with little traffic. The capacity bounds the burst after a period of low load.
const (
	budgetRatio           = 0.1
	budgetRefillPerSecond = 1.0
	budgetCapacity        = 50.0
)

// TokenBucket is a token bucket that limits retries and hedges: each request adds a
// fraction of a token, each retry or hedge takes one token. It is a plain value;
// the current time is an argument.
type TokenBucket struct {
	Ratio           float64 // tokens per request
	RefillPerSecond float64 // tokens per second, regardless of requests
	Capacity        float64 // maximum number of tokens

	tokens  float64
	updated time.Time
}

// NewTokenBucket returns a full bucket with the default settings.
func NewTokenBucket(now time.Time) TokenBucket {
	return TokenBucket{
		Ratio:           budgetRatio,
		RefillPerSecond: budgetRefillPerSecond,
		Capacity:        budgetCapacity,
		tokens:          budgetCapacity,
		updated:         now,
	}
}

// Deposit returns the bucket after one request.
func (b TokenBucket) Deposit(now time.Time) TokenBucket {
	b = b.refill(now)
	b.tokens = min(b.Capacity, b.tokens+b.Ratio)
	return b
}

// Take returns the bucket after one retry or hedge, or false if the bucket
// holds less than one token.
func (b TokenBucket) Take(now time.Time) (TokenBucket, bool) {
	b = b.refill(now)
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

func (b TokenBucket) refill(now time.Time) TokenBucket {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.Capacity, b.tokens+b.RefillPerSecond*elapsed.Seconds())
		b.updated = now
	}
	return b
}

// RetryBudget is the retry budget of an instance. It covers retries and hedges of
// calls and generations.
type RetryBudget struct {
	mu     sync.Mutex // guards bucket
	bucket TokenBucket
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{bucket: NewTokenBucket(time.Now())} }

// NewRetryBudgetWith returns a full budget that allows ratio retries per request and a
// burst of capacity. It has no constant refill.
func NewRetryBudgetWith(ratio, capacity float64) *RetryBudget {
	return &RetryBudget{bucket: TokenBucket{Ratio: ratio, Capacity: capacity, tokens: capacity, updated: time.Now()}}
}

// RecordRequest adds the fraction of a token for one request of a caller.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket = b.bucket.Deposit(time.Now())
}

// Available reports whether a retry or hedge may be sent now, without taking a
// token.
func (b *RetryBudget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.bucket.Take(time.Now())
	return ok
}

// Refills reports whether a budget that is used up can allow retries again.
func (b *RetryBudget) Refills() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.Ratio > 0 || b.bucket.RefillPerSecond > 0
}

// Take takes one token for a retry or hedge. It returns false if the budget is
// used up.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, ok := b.bucket.Take(time.Now())
	b.bucket = next
	return ok
}
