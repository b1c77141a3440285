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

// Bucket is a token bucket that limits retries and hedges: each request adds a
// fraction of a token, each retry or hedge takes one token. It is a plain value;
// the current time is an argument.
type Bucket struct {
	Ratio          float64 // tokens per request
	FloorPerSecond float64 // tokens per second, regardless of requests
	Capacity       float64 // maximum number of tokens

	tokens  float64
	updated time.Time
}

// NewBucket returns a full bucket with the default settings.
func NewBucket(now time.Time) Bucket {
	return Bucket{
		Ratio:          budgetRatio,
		FloorPerSecond: budgetRefillPerSecond,
		Capacity:       budgetCapacity,
		tokens:         budgetCapacity,
		updated:        now,
	}
}

// Deposit returns the bucket after one request.
func (b Bucket) Deposit(now time.Time) Bucket {
	b = b.refill(now)
	b.tokens = min(b.Capacity, b.tokens+b.Ratio)
	return b
}

// Take returns the bucket after one retry or hedge, or false if the bucket
// holds less than one token.
func (b Bucket) Take(now time.Time) (Bucket, bool) {
	b = b.refill(now)
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

func (b Bucket) refill(now time.Time) Bucket {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.Capacity, b.tokens+b.FloorPerSecond*elapsed.Seconds())
		b.updated = now
	}
	return b
}

// Budget is the retry budget of an instance. It covers retries and hedges of
// calls and generations.
type Budget struct {
	mu     sync.Mutex // guards bucket
	bucket Bucket
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{bucket: NewBucket(time.Now())} }

// NewBudgetOf returns a full budget that allows ratio retries per request and a
// burst of capacity. It has no constant refill.
func NewBudgetOf(ratio, capacity float64) *Budget {
	return &Budget{bucket: Bucket{Ratio: ratio, Capacity: capacity, tokens: capacity, updated: time.Now()}}
}

// Request adds the fraction of a token for one request of a caller.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket = b.bucket.Deposit(time.Now())
}

// Available reports whether a retry or hedge may be sent now, without taking a
// token.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.bucket.Take(time.Now())
	return ok
}

// Take takes one token for a retry or hedge. It returns false if the budget is
// used up.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, ok := b.bucket.Take(time.Now())
	b.bucket = next
	return ok
}
