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
	// shareRaiseRefreshes is how many refreshes a larger share must have been due before
	// it comes into force; a smaller one does at once. Within 1 s of a change of
	// demand the others have reduced their shares, and within 1 s more this
	// instance knows which places they still hold; 3 s leave a margin.
	shareRaiseRefreshes = 7
	// reportInterval is the least time between two changes of what is reported,
	// but for the begin and the end of a demand. The own share is computed from
	// the reported demand too, so that shares agree in the meantime.
	reportInterval = 5 * time.Second
	// reportAbsoluteTolerance is the change of a small demand that is not reported.
	reportAbsoluteTolerance = 0.25
	// maxInUse bounds what a peer can report as held.
	maxInUse = 1 << 20
	// reportRelativeTolerance is the relative change of a demand that is not reported.
	reportRelativeTolerance = 0.2
	// minDemand is the smoothed demand below which a workspace is not active.
	minDemand = 0.02
	// zeroDemandPeriod is how long an ended demand is still reported as zero, so
	// that the others drop it before it expires.
	zeroDemandPeriod = 5 * time.Second
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

type peerDemand struct {
	rate       float64
	concurrent float64
	inUse      int
	receivedAt time.Time
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
		ended := !s.endedAt.IsZero() && now.Sub(s.endedAt) < zeroDemandPeriod
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
	if held <= s.slots.Load() {
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
		others := a.peerDemands[e.Workspace]
		if e.Rate == 0 && e.Concurrent == 0 && e.Held == 0 {
			delete(others, instance)
			continue
		}
		if others == nil {
			others = map[contract.InstanceID]peerDemand{}
			a.peerDemands[e.Workspace] = others
		}
		others[instance] = peerDemand{rate: e.Rate, concurrent: e.Concurrent, inUse: e.Held, receivedAt: now}
	}
}

// validDemand guards the shares against a peer that reports nonsense.
func validDemand(e DemandEntry) bool {
	return finite(e.Rate) && finite(e.Concurrent) && e.Held >= 0 && e.Held < maxInUse
}

func finite(x float64) bool { return x >= 0 && x < math.MaxFloat32 }

// refresh smooths the own demand, drops old demand of others and puts new
// shares in force.
func (a *Admission) refresh(now time.Time) {
	document := a.config.Configuration.Current().Document
	a.mu.Lock()
	elapsed := now.Sub(a.refreshedAt)
	a.refreshedAt = now
	a.expirePeerDemands(now)
	a.states.Range(func(key, value any) bool {
		s := value.(*state)
		w, ok := document.Workspaces[s.id]
		if !ok && s.running.Load() == 0 && s.waiting.Load() == 0 {
			a.states.Delete(key)
			return true
		}
		s.updateDemand(elapsed, now)
		a.updateShare(s, limitsOf(w))
		return true
	})
	a.mu.Unlock()
	a.dispatchAll(now)
}

// expirePeerDemands must be called with a.mu held.
func (a *Admission) expirePeerDemands(now time.Time) {
	for workspace, others := range a.peerDemands {
		for instance, d := range others {
			if now.Sub(d.receivedAt) > demandExpiry {
				delete(others, instance)
			}
		}
		if len(others) == 0 {
			delete(a.peerDemands, workspace)
		}
	}
}

// updateDemand updates the smoothed demand.
func (s *state) updateDemand(elapsed time.Duration, now time.Time) {
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / demandSmoothing.Seconds())
	perSecond := float64(s.requestsSinceRefresh.Swap(0)) / elapsed.Seconds()
	needed := float64(s.running.Load() + s.waiting.Load() + s.refusedSinceRefresh.Swap(0))
	s.rate = keep*s.rate + (1-keep)*perSecond
	s.concurrent = keep*s.concurrent + (1-keep)*needed
	active := s.rate >= minDemand || s.concurrent >= minDemand || s.running.Load() > 0
	switch {
	case active && s.activeSince.IsZero():
		s.activeSince = now
		s.endedAt = time.Time{}
	case !active && !s.activeSince.IsZero():
		s.activeSince = time.Time{}
		s.endedAt = now
		s.rate, s.concurrent = 0, 0
	}
	s.updateReported(active, now)
}

// updateReported updates what the others are told.
func (s *state) updateReported(active bool, now time.Time) {
	reported := s.reportedRate > 0 || s.reportedConcurrent > 0
	if active && reported && now.Sub(s.reportedAt) < reportInterval {
		return
	}
	rate, concurrent := reportedAmount(s.reportedRate, s.rate), reportedAmount(s.reportedConcurrent, s.concurrent)
	if rate != s.reportedRate || concurrent != s.reportedConcurrent {
		s.reportedRate, s.reportedConcurrent, s.reportedAt = rate, concurrent, now
	}
}

// reportedAmount returns what is reported of an amount: the same as before unless it
// has changed much. While the reported demands stay the same, all instances
// compute their shares from the same numbers.
func reportedAmount(before, now float64) float64 {
	if before > 0 && now > 0 && math.Abs(now-before) <= max(reportRelativeTolerance*before, reportAbsoluteTolerance) {
		return before
	}
	return roundDemand(now)
}

// updateShare must be called with a.mu held.
func (a *Admission) updateShare(s *state, l limits) {
	equalRate, equalSlots := l.equalShare(a.config.Instances())
	if s.activeSince.IsZero() {
		s.recentShares = nil
		s.setShare(equalRate, equalSlots)
		return
	}
	rates, slots := a.demands(s)
	if len(s.recentShares) == 0 {
		s.recentShares = append(s.recentShares, shareTarget{equalRate, equalSlots})
	}
	s.recentShares = append(s.recentShares, shareTarget{
		rate:  Share(l.rate, a.config.Instance, rates),
		slots: IntegerShare(l.slots, a.config.Instance, slots),
	})
	s.recentShares = s.recentShares[max(0, len(s.recentShares)-shareRaiseRefreshes):]
	smallest := s.recentShares[0]
	for _, d := range s.recentShares {
		smallest.rate = min(smallest.rate, d.rate)
		smallest.slots = min(smallest.slots, d.slots)
	}
	s.setShare(smallest.rate, smallest.slots)
}

// demands must be called with a.mu held. The own demand is the one that the
// others see. The own held places do not raise the own share: places above it
// are given up as they come free.
func (a *Admission) demands(s *state) (rates, slots []Demand) {
	own := s.entry()
	rates = append(rates, Demand{Instance: a.config.Instance, Amount: own.Rate})
	slots = append(slots, Demand{Instance: a.config.Instance, Amount: own.Concurrent})
	for instance, d := range a.peerDemands[s.id] {
		rates = append(rates, Demand{Instance: instance, Amount: d.rate})
		slots = append(slots, Demand{Instance: instance, Amount: d.concurrent, Held: d.inUse})
	}
	return rates, slots
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
