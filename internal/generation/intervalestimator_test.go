package generation_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/generation"
)

// The property tests run with a fixed seed unless a flag sets another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against a silence time-out so short that a regular stream is suspected,
// or so long that no time is left for a new attempt within the resume bound.
func TestSilenceTimeoutBounds(t *testing.T) {
	cases := map[string]struct {
		intervals []time.Duration
		want      time.Duration
	}{
		"no samples":          {nil, time.Second},
		"fast":                {[]time.Duration{5 * time.Millisecond, 5 * time.Millisecond}, 150 * time.Millisecond},
		"slow":                {[]time.Duration{800 * time.Millisecond}, time.Second},
		"regular 100 ms":      {regularIntervals(100*time.Millisecond, 100), 200 * time.Millisecond},
		"bursts of 10 and 90": {burstIntervals(100), 276 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var r generation.IntervalEstimator
			for _, interval := range c.intervals {
				r.Observe(interval)
			}
			NewWithT(t).Expect(r.SilenceTimeout()).To(BeNumerically("~", c.want, 10*time.Millisecond))
		})
	}
}

func regularIntervals(interval time.Duration, n int) []time.Duration {
	var all []time.Duration
	for range n {
		all = append(all, interval)
	}
	return all
}

func burstIntervals(n int) []time.Duration {
	var all []time.Duration
	for i := range n {
		all = append(all, time.Duration(10+80*(i%2))*time.Millisecond)
	}
	return all
}

// Guards against the same time-out for prefill and for tokens: the first token may
// take longer, and its time-out follows the observed times.
func TestFirstTokenTimeout(t *testing.T) {
	g := NewWithT(t)
	var r generation.IntervalEstimator
	g.Expect(r.FirstTokenTimeout()).To(Equal(3 * time.Second))
	for range 100 {
		r.Observe(100 * time.Millisecond)
	}
	g.Expect(r.FirstTokenTimeout()).To(Equal(time.Second))
	for range 100 {
		r.Observe(4 * time.Second)
	}
	g.Expect(r.FirstTokenTimeout()).To(BeNumerically("~", 8*time.Second, 500*time.Millisecond))
}
