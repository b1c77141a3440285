package bench

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against wrong slopes in CAPACITY.md: the fit must match the rows.
func TestFit(t *testing.T) {
	g := NewWithT(t)
	l := fitLine([]float64{3, 6, 9}, []float64{7, 13, 19})
	g.Expect(l.slope).To(BeNumerically("~", 2, 1e-9))
	g.Expect(l.intercept).To(BeNumerically("~", 1, 1e-9))
	g.Expect(fitLine([]float64{3, 3}, []float64{1, 2}).slope).To(BeZero())
}

// Guards against a pause that is missed because it began before the fault, or
// attributed to the fault although it began long after it.
func TestPauseAfter(t *testing.T) {
	g := NewWithT(t)
	began := time.Unix(1000, 0)
	s := newStream(1, 0, 5)
	for _, ms := range []int{0, 20, 820, 840, 9000} {
		s.recordArrival(began.Add(time.Duration(ms) * time.Millisecond))
	}
	pause, before := s.pauseAfter(began.Add(120 * time.Millisecond))
	g.Expect(pause).To(Equal(8160 * time.Millisecond))
	g.Expect(before).To(Equal(4))
	s.arrivals = s.arrivals[:4]
	pause, before = s.pauseAfter(began.Add(120 * time.Millisecond))
	g.Expect(pause).To(Equal(700 * time.Millisecond))
	g.Expect(before).To(Equal(2))
	pause, _ = s.pauseAfter(began.Add(time.Second))
	g.Expect(pause).To(BeZero())
}
