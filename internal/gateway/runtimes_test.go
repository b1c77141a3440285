package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a grace time that is counted from the end of a pause in which SIGTERM arrived.
func TestSignalOfAPauseIsDatedBeforeThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var r runTimes
		for range 10 {
			r.add(time.Now())
			time.Sleep(runInterval)
		}
		g.Expect(time.Since(r.earliestSignal(time.Now()))).To(BeNumerically("<=", 2*runInterval))

		pausedAt := time.Now()
		r.add(pausedAt)
		time.Sleep(2 * time.Second)
		g.Expect(r.earliestSignal(time.Now())).To(Equal(pausedAt)) // the signal is handled first
		for range 2 {
			r.add(time.Now())
			time.Sleep(runInterval / 4)
		}
		g.Expect(r.earliestSignal(time.Now())).To(Equal(pausedAt))
	})
	NewWithT(t).Expect(earliestSignal(nil, time.Unix(1, 0))).To(Equal(time.Unix(1, 0)))
}

// Guards against requests that are cut off because SIGTERM was handled after a pause, and the grace time counted from then.
func TestGraceTimeIncludesPauseBeforeSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gateway := newTestGateway(t, &fakePlatform{})
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.runTimes.record(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		time.Sleep(3 * time.Second) // the process is paused
		gateway.beginLeaving()
		left, leaving := gateway.drainState.GraceLeft()
		g.Expect(leaving).To(BeTrue())
		g.Expect(left).To(BeNumerically("<=", milliseconds(gateway.settings.GraceMS)-3*time.Second))
		g.Expect(left).To(BeNumerically(">=", milliseconds(gateway.settings.GraceMS)-3*time.Second-2*runInterval))
	})
}
