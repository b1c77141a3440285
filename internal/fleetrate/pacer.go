package fleetrate

import "time"

// Pacer spaces the requests of one instance to one upstream by its allotment. It is
// immutable.
type Pacer struct {
	allotment Allotment
	due       time.Time // when the next request is due
}

// NewPacer returns the pacer of an instance that has just got an allotment. The phase
// keeps the instances, which mostly get theirs at the same time, from sending together.
func NewPacer(now time.Time, a Allotment) Pacer {
	if a.NotBefore.After(now) {
		now = a.NotBefore
	}
	return Pacer{allotment: a, due: now.Add(max(scale(a.Phase, a.Interval), a.Delay))}
}

// Allotment returns the current allotment.
func (p Pacer) Allotment() Allotment { return p.allotment }

// With returns the pacer with a changed allotment. A change leaves no room for more
// requests than the new allotment has: the rate may change with each response.
func (p Pacer) With(now time.Time, a Allotment) Pacer {
	if a.Holder != p.allotment.Holder || a.NotBefore.After(now) || p.allotment.NotBefore.IsZero() {
		return NewPacer(now, a)
	}
	next := Pacer{allotment: a, due: p.due.Add(a.Interval - p.allotment.Interval)}
	if latest := now.Add(a.Interval); next.due.After(latest) {
		next.due = latest
	}
	return next
}

// NextAt returns the earliest time from now on at which a request may be sent. ok is
// false if that time is not known.
func (p Pacer) NextAt(now time.Time) (at time.Time, ok bool) {
	if p.allotment.NotBefore.IsZero() {
		return time.Time{}, false
	}
	due := p.dueAt(now)
	if due.Before(now) {
		due = now
	}
	return due, true
}

// Take returns the pacer after a request that is sent now. ok is false if none may be sent.
func (p Pacer) Take(now time.Time) (next Pacer, ok bool) {
	if at, known := p.NextAt(now); !known || at.After(now) {
		return p, false
	}
	return p.Charge(now), true
}

// Charge returns the pacer after a request that was sent whether or not it was due; the
// following ones are delayed by it.
func (p Pacer) Charge(now time.Time) Pacer {
	due := p.dueAt(now)
	if p.allotment.Holder {
		// An instance that has not sent for a while gets back a part of an interval only.
		if earliest := now.Add(-scale(burst-1, p.allotment.Interval)); due.Before(earliest) {
			due = earliest
		}
	}
	return Pacer{allotment: p.allotment, due: due.Add(p.allotment.Interval)}
}

// dueAt returns when the next request is due, as of now. A trial that was not used in time
// is skipped.
func (p Pacer) dueAt(now time.Time) time.Time {
	late := now.Sub(p.due) - trialValidity
	if p.allotment.Holder || late <= 0 {
		return p.due
	}
	missed := (late + p.allotment.Interval - 1) / p.allotment.Interval
	return p.due.Add(missed * p.allotment.Interval)
}

func scale(share float64, d time.Duration) time.Duration { return time.Duration(share * float64(d)) }
