package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// runInterval is the time between two records of a running process.
	runInterval = 50 * time.Millisecond
	// recordedRuns is how many records are kept. After a pause, one or two may be made
	// before a signal of the time of the pause is handled.
	recordedRuns = 4
)

// runTimes records when the process ran. A signal that arrives while the process is
// paused is handled after the pause, and the grace time has passed meanwhile.
type runTimes struct {
	mu    sync.Mutex // guards times
	times []time.Time
}

// record records the time every runInterval until ctx ends.
func (r *runTimes) record(ctx context.Context) {
	ticker := time.NewTicker(runInterval)
	defer ticker.Stop()
	for {
		r.add(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *runTimes) add(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.times) == recordedRuns {
		r.times = append(r.times[:0], r.times[1:]...)
	}
	r.times = append(r.times, now)
}

// earliestSignal returns the earliest time at which a signal may have been sent.
func (r *runTimes) earliestSignal(handledAt time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return earliestSignal(r.times, handledAt)
}

// earliestSignal returns the earliest time at which a signal that is handled at a time may
// have been sent: a running process handles it within runInterval.
func earliestSignal(ranAt []time.Time, handledAt time.Time) time.Time {
	earliest := handledAt
	for i := len(ranAt) - 1; i >= 0; i-- {
		earliest = ranAt[i]
		if handledAt.Sub(earliest) >= runInterval {
			break
		}
	}
	return earliest
}
