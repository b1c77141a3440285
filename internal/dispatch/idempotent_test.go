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

// Guards against a slow or silent upstream that delays idempotent calls, and
// against hedges of contents that may crash a second upstream.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newServers(2)
		s.behave(func(context.Context, string) behaviour { return behaviour{answer: 10 * time.Millisecond, status: 200} })
		c := start(t, config(platformtest.NewTable(), s))
		for range 50 {
			c.Call(context.Background(), stock())
		}
		s.list[0].behave = func(ctx context.Context, _ string) behaviour { return behaviour{before: time.Hour} }
		for range 10 {
			began := time.Now()
			g.Expect(c.Call(context.Background(), stock()).Verdict.Outcome).To(Equal(contract.Completed))
			g.Expect(time.Since(began)).To(BeNumerically("<=", 25*time.Millisecond))
		}
		s.standing = upstream.Standing{Deaths: 1}
		before := len(s.placed)
		var slowest time.Duration
		for range 2 {
			began := time.Now()
			c.Call(context.Background(), stock())
			slowest = max(slowest, time.Since(began))
		}
		g.Expect(len(s.placed)-before).To(Equal(2), "a suspect is sent once")
		g.Expect(slowest).To(Equal(5 * time.Second))
	})
}

// Guards against load that multiplies while all upstreams fail: retries stay
// within the budget, and calls are answered at once when it is used up (P10).
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newServers(3)
		s.behave(func(context.Context, string) behaviour { return behaviour{lose: true} })
		c := start(t, config(platformtest.NewTable(), s))
		const calls = 1000
		began := time.Now()
		for range calls {
			g.Expect(c.Call(context.Background(), stock()).Verdict.Outcome).To(Equal(contract.Unknown))
		}
		elapsed := time.Since(began)
		allowed := 50 + calls/10 + int(elapsed.Seconds()) + 1
		g.Expect(len(s.seen)).To(BeNumerically("<=", calls+allowed))
		g.Expect(elapsed).To(BeNumerically("<", time.Minute))
		for _, kind := range s.seen {
			g.Expect(kind).To(Equal(upstream.ObservedLost))
		}
	})
}

// Guards against an error that reaches the caller although another upstream is
// well.
func TestIdempotentRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newServers(2)
		s.list[0].behave = func(context.Context, string) behaviour { return behaviour{lose: true} }
		c := start(t, config(platformtest.NewTable(), s))
		for range 20 {
			g.Expect(c.Call(context.Background(), stock()).Verdict.Outcome).To(Equal(contract.Completed))
		}
	})
}

// Guards against a budget that pays for more than the ratio, the floor and the
// capacity together allow.
func TestBucketProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		began := time.UnixMilli(0)
		now := began
		bucket := dispatch.NewBucket(now)
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
		limit := bucket.Capacity + bucket.Ratio*float64(requests) + bucket.FloorPerSecond*now.Sub(began).Seconds()
		if float64(taken) > limit+1e-6 {
			rt.Fatalf("took %d, limit %f", taken, limit)
		}
	})
}

// Guards against a hedge before the p95 or after half of the remaining time.
func TestHedgeDelay(t *testing.T) {
	g := NewWithT(t)
	few := dispatch.Latency{Samples: 3, P95: time.Millisecond}
	many := dispatch.Latency{Samples: 100, P95: 40 * time.Millisecond}
	delay := func(l dispatch.Latency, remaining time.Duration) time.Duration {
		d, ok := dispatch.HedgeDelay(l, remaining, upstream.Standing{})
		g.Expect(ok).To(BeTrue())
		return d
	}
	g.Expect(delay(few, time.Second)).To(Equal(500 * time.Millisecond))
	g.Expect(delay(many, time.Second)).To(Equal(40 * time.Millisecond))
	g.Expect(delay(many, 20*time.Millisecond)).To(Equal(10 * time.Millisecond))
	_, ok := dispatch.HedgeDelay(many, time.Second, upstream.Standing{Deaths: 1})
	g.Expect(ok).To(BeFalse())
}
