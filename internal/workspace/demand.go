package workspace

import (
	"math"
	"sort"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

const (
	// refreshInterval is the time between two computations of the shares. It
	// equals the interval of heartbeats, which carry the demand.
	refreshInterval = 500 * time.Millisecond
	// demandSmoothing is the time constant of the smoothed demand.
	demandSmoothing = 5 * time.Second
	// demandExpiry is how long an instance's demand counts without being
	// learned again: the instance may be gone.
	demandExpiry = 30 * time.Second
	// shareWindow is how many refreshes a larger share must have been due before
	// it comes into force; a smaller one does at once. Within 1 s of a change of
	// demand the others have reduced their shares, and within 1 s more this
	// instance knows which places they still hold; 3 s leave a margin.
	shareWindow = 7
	// reportInterval is the least time between two changes of what is reported,
	// but for the begin and the end of a demand. The own share is computed from
	// the reported demand too, so that shares agree in the meantime.
	reportInterval = 5 * time.Second
	// reportFloor is the change of a small demand that is not reported.
	reportFloor = 0.25
	// maxHeld bounds what a peer can report as held.
	maxHeld = 1 << 20
	// reportTolerance is the relative change of a demand that is not reported.
	reportTolerance = 0.2
	// demandMin is the smoothed demand below which a workspace is not active.
	demandMin = 0.02
	// demandFarewell is how long an ended demand is still reported as zero, so
	// that the others drop it before it expires.
	demandFarewell = 5 * time.Second
)

// DemandEntry is the demand of a workspace at one instance. A steady demand is
// reported with the same amounts, so that it need not be sent again.
type DemandEntry struct {
	_          struct{} `cbor:",toarray"`
	Workspace  contract.WorkspaceID
	Rate       float64 // requests per second
	Concurrent float64 // generations wanted at a time
	Held       int     // generations in progress, if more than the own share of places, else 0
}

type learnedDemand struct {
	rate       float64
	concurrent float64
	held       int
	at         time.Time
}

// Demand returns the demand of this instance for each active workspace, by
// name. A demand that ended is reported as zero for a short time.
func (a *Admission) Demand() []DemandEntry {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	out := []DemandEntry{}
	a.states.Range(func(_, value any) bool {
		s := value.(*state)
		ended := !s.endedAt.IsZero() && now.Sub(s.endedAt) < demandFarewell
		if !s.activeSince.IsZero() || ended {
			out = append(out, s.entry())
		}
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Workspace < out[j].Workspace })
	return out
}

func (s *state) entry() DemandEntry {
	held := s.running.Load()
	if held <= s.places.Load() {
		held = 0 // within the share that the others grant anyway
	}
	return DemandEntry{
		Workspace:  s.id,
		Rate:       s.reportedRate,
		Concurrent: s.reportedConcurrent,
		Held:       int(held),
	}
}

// Learn takes the demand of another instance. Workspaces that entries does not
// name keep what was learned before until it expires.
func (a *Admission) Learn(instance contract.InstanceID, entries []DemandEntry) {
	if instance == a.config.Instance {
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range entries {
		if !validDemand(e) {
			continue
		}
		others := a.others[e.Workspace]
		if e.Rate == 0 && e.Concurrent == 0 && e.Held == 0 {
			delete(others, instance)
			continue
		}
		if others == nil {
			others = map[contract.InstanceID]learnedDemand{}
			a.others[e.Workspace] = others
		}
		others[instance] = learnedDemand{rate: e.Rate, concurrent: e.Concurrent, held: e.Held, at: now}
	}
}

// validDemand guards the shares against a peer that reports nonsense.
func validDemand(e DemandEntry) bool {
	return finite(e.Rate) && finite(e.Concurrent) && e.Held >= 0 && e.Held < maxHeld
}

func finite(x float64) bool { return x >= 0 && x < math.MaxFloat32 }

// refresh smooths the own demand, drops old demand of others and puts new
// shares in force.
func (a *Admission) refresh(now time.Time) {
	document := a.config.Configuration.Current().Document
	a.mu.Lock()
	elapsed := now.Sub(a.refreshed)
	a.refreshed = now
	a.expire(now)
	a.states.Range(func(key, value any) bool {
		s := value.(*state)
		w, ok := document.Workspaces[s.id]
		if !ok && s.running.Load() == 0 && s.waiting.Load() == 0 {
			a.states.Delete(key)
			return true
		}
		s.observe(elapsed, now)
		a.share(s, limitsOf(w))
		return true
	})
	a.mu.Unlock()
	a.kickAll(now)
}

// expire must be called with a.mu held.
func (a *Admission) expire(now time.Time) {
	for workspace, others := range a.others {
		for instance, d := range others {
			if now.Sub(d.at) > demandExpiry {
				delete(others, instance)
			}
		}
		if len(others) == 0 {
			delete(a.others, workspace)
		}
	}
}

// observe updates the smoothed demand.
func (s *state) observe(elapsed time.Duration, now time.Time) {
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / demandSmoothing.Seconds())
	perSecond := float64(s.asked.Swap(0)) / elapsed.Seconds()
	wanted := float64(s.running.Load() + s.waiting.Load() + s.refused.Swap(0))
	s.rate = keep*s.rate + (1-keep)*perSecond
	s.concurrent = keep*s.concurrent + (1-keep)*wanted
	active := s.rate >= demandMin || s.concurrent >= demandMin || s.running.Load() > 0
	switch {
	case active && s.activeSince.IsZero():
		s.activeSince = now
		s.endedAt = time.Time{}
	case !active && !s.activeSince.IsZero():
		s.activeSince = time.Time{}
		s.endedAt = now
		s.rate, s.concurrent = 0, 0
	}
	s.report(active, now)
}

// report updates what the others are told.
func (s *state) report(active bool, now time.Time) {
	reported := s.reportedRate > 0 || s.reportedConcurrent > 0
	if active && reported && now.Sub(s.reportedAt) < reportInterval {
		return
	}
	rate, concurrent := report(s.reportedRate, s.rate), report(s.reportedConcurrent, s.concurrent)
	if rate != s.reportedRate || concurrent != s.reportedConcurrent {
		s.reportedRate, s.reportedConcurrent, s.reportedAt = rate, concurrent, now
	}
}

// report returns what is reported of an amount: the same as before unless it
// has changed much. While the reported demands stay the same, all instances
// compute their shares from the same numbers.
func report(before, now float64) float64 {
	if before > 0 && now > 0 && math.Abs(now-before) <= max(reportTolerance*before, reportFloor) {
		return before
	}
	return roundDemand(now)
}

// share must be called with a.mu held.
func (a *Admission) share(s *state, l limits) {
	equalRate, equalPlaces := l.equalPart(a.config.Instances())
	if s.activeSince.IsZero() {
		s.due = nil
		s.setShare(equalRate, equalPlaces)
		return
	}
	rates, places := a.demands(s)
	if len(s.due) == 0 {
		s.due = append(s.due, due{equalRate, equalPlaces})
	}
	s.due = append(s.due, due{
		rate:   Share(l.rate, a.config.Instance, rates),
		places: IntegerShare(l.places, a.config.Instance, places),
	})
	s.due = s.due[max(0, len(s.due)-shareWindow):]
	least := s.due[0]
	for _, d := range s.due {
		least.rate = min(least.rate, d.rate)
		least.places = min(least.places, d.places)
	}
	s.setShare(least.rate, least.places)
}

// demands must be called with a.mu held. The own demand is the one that the
// others see. The own held places do not raise the own share: places above it
// are given up as they come free.
func (a *Admission) demands(s *state) (rates, places []Demand) {
	own := s.entry()
	rates = append(rates, Demand{Instance: a.config.Instance, Amount: own.Rate})
	places = append(places, Demand{Instance: a.config.Instance, Amount: own.Concurrent})
	for instance, d := range a.others[s.id] {
		rates = append(rates, Demand{Instance: instance, Amount: d.rate})
		places = append(places, Demand{Instance: instance, Amount: d.concurrent, Held: d.held})
	}
	return rates, places
}

// roundDemand rounds to six binary digits: CBOR encodes such a number in three
// bytes.
func roundDemand(x float64) float64 {
	const digits = 1 << 6
	if x <= 0 {
		return 0
	}
	fraction, exponent := math.Frexp(x)
	return math.Ldexp(math.Round(fraction*digits)/digits, exponent)
}
