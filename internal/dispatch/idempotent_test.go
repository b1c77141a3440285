package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Guards against idempotent calls that are delayed by a slow or silent upstream,
// and against hedges of content that may crash a second upstream.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newServers(2)
		s.setBehaviour(func(context.Context, string) behaviour {
			return behaviour{responseDelay: 10 * time.Millisecond, status: 200}
		})
		c := startDispatcher(t, config(platformtest.NewTableService(), s))
		for range 50 {
			c.Call(context.Background(), idempotentRequest())
		}
		s.list[0].behave = func(ctx context.Context, _ string) behaviour { return behaviour{executionDelay: time.Hour} }
		for range 10 {
			began := time.Now()
			g.Expect(c.Call(context.Background(), idempotentRequest()).Verdict.Outcome).To(Equal(contract.Completed))
			g.Expect(time.Since(began)).To(BeNumerically("<=", 25*time.Millisecond))
		}
		s.contentStatus = upstream.ContentStatus{Crashes: 1}
		before := len(s.placements)
		var slowest time.Duration
		for range 2 {
			began := time.Now()
			c.Call(context.Background(), idempotentRequest())
			slowest = max(slowest, time.Since(began))
		}
		g.Expect(len(s.placements)-before).To(Equal(2), "content blamed for a crash is not hedged")
		g.Expect(slowest).To(Equal(5 * time.Second))
	})
}

// Guards against retries that multiply the load while all upstreams fail: retries
// stay within the budget, and calls fail immediately once it is used up (P10).
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newServers(3)
		s.setBehaviour(func(context.Context, string) behaviour { return behaviour{loseResponse: true} })
		c := startDispatcher(t, config(platformtest.NewTableService(), s))
		const calls = 1000
		began := time.Now()
		for range calls {
			g.Expect(c.Call(context.Background(), idempotentRequest()).Verdict.Outcome).To(Equal(contract.Unknown))
		}
		elapsed := time.Since(began)
		allowed := 50 + calls/10 + int(elapsed.Seconds()) + 1
		g.Expect(len(s.observations)).To(BeNumerically("<=", calls+allowed))
		g.Expect(elapsed).To(BeNumerically("<", time.Minute))
		for _, kind := range s.observations {
			g.Expect(kind).To(Equal(upstream.ObservedConnectionLost))
		}
	})
}

// Guards against an error that is returned to the caller although another
// upstream is healthy.
func TestIdempotentRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newServers(2)
		s.list[0].behave = func(context.Context, string) behaviour { return behaviour{loseResponse: true} }
		c := startDispatcher(t, config(platformtest.NewTableService(), s))
		for range 20 {
			g.Expect(c.Call(context.Background(), idempotentRequest()).Verdict.Outcome).To(Equal(contract.Completed))
		}
	})
}

// Guards against a bucket that allows more retries than its ratio, constant
// refill and capacity together.
func TestBucketProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		began := time.UnixMilli(0)
		now := began
		bucket := dispatch.NewTokenBucket(now)
		requests, taken := 0, 0
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "request") {
				bucket = bucket.Deposit(now)
				requests++
				continue
			}
			next, ok := bucket.Take(now)
			bucket = next
			if ok {
				taken++
			}
		}
		limit := bucket.Capacity + bucket.Ratio*float64(requests) + bucket.RefillPerSecond*now.Sub(began).Seconds()
		if float64(taken) > limit+1e-6 {
			rt.Fatalf("took %d, limit %f", taken, limit)
		}
	})
}

// Guards against a hedge before the p95 latency or after half of the remaining
// time.
func TestHedgeDelay(t *testing.T) {
	g := NewWithT(t)
	few := dispatch.LatencySummary{Samples: 3, P95: time.Millisecond}
	many := dispatch.LatencySummary{Samples: 100, P95: 40 * time.Millisecond}
	delay := func(l dispatch.LatencySummary, remaining time.Duration) time.Duration {
		d, ok := dispatch.HedgeDelay(l, remaining, upstream.ContentStatus{})
		g.Expect(ok).To(BeTrue())
		return d
	}
	g.Expect(delay(few, time.Second)).To(Equal(500 * time.Millisecond))
	g.Expect(delay(many, time.Second)).To(Equal(40 * time.Millisecond))
	g.Expect(delay(many, 20*time.Millisecond)).To(Equal(10 * time.Millisecond))
	_, ok := dispatch.HedgeDelay(many, time.Second, upstream.ContentStatus{Crashes: 1})
	g.Expect(ok).To(BeFalse())
}
