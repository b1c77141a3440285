package workspace

import (
	"math"
	"sort"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

const (
	// refreshInterval is the time between two computations of the shares. It
	// equals the interval of the heartbeats that carry the demand.
	refreshInterval = 500 * time.Millisecond
	// demandSmoothing is the time constant of the smoothed demand.
	demandSmoothing = 5 * time.Second
	// demandExpiry is how long an instance's demand counts without a new report;
	// the instance may have crashed.
	demandExpiry = 30 * time.Second
	// shareRaiseRefreshes is the number of refreshes for which a larger share
	// must have been computed before it applies; a smaller one applies
	// immediately. Within 1 s of a change of demand the other instances have
	// reduced their shares, and within 1 s more this instance has their reports
	// of slots in use; 3 s leave a margin.
	shareRaiseRefreshes = 7
	// reportInterval is the minimum time between two changes of the reported
	// demand, except at its start and end. The own share is also computed from
	// the reported demand, so that the shares of all instances agree in the
	// meantime.
	reportInterval = 5 * time.Second
	// reportAbsoluteTolerance is the absolute change of a demand that is not
	// reported.
	reportAbsoluteTolerance = 0.25
	// maxInUse bounds the slots in use that a peer can report.
	maxInUse = 1 << 20
	// reportRelativeTolerance is the relative change of a demand that is not
	// reported.
	reportRelativeTolerance = 0.2
	// minDemand is the smoothed demand below which a workspace is inactive.
	minDemand = 0.02
	// zeroDemandPeriod is how long a demand that ended is reported as zero, so
	// that other instances drop it before it expires.
	zeroDemandPeriod = 5 * time.Second
)

// WorkspaceDemand is the demand of a workspace at one instance. A steady demand is
// reported with unchanged amounts, so that it need not be sent again.
type WorkspaceDemand struct {
	_           struct{} `cbor:",toarray"`
	Workspace   contract.WorkspaceID
	Rate        float64 // requests per second
	Concurrency float64 // concurrent generations needed
	InUse       int     // generations in progress if they exceed the own share, else 0
}

type remoteDemand struct {
	rate       float64
	concurrent float64
	inUse      int
	receivedAt time.Time
}

// Demand returns the demand of this instance for each active workspace, by
// name. A demand that ended is reported as zero for zeroDemandPeriod.
func (a *Admission) Demand() []WorkspaceDemand {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	out := []WorkspaceDemand{}
	a.states.Range(func(_, value any) bool {
		s := value.(*state)
		ended := !s.endedAt.IsZero() && now.Sub(s.endedAt) < zeroDemandPeriod
		if !s.activeSince.IsZero() || ended {
			out = append(out, s.demandEntry())
		}
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Workspace < out[j].Workspace })
	return out
}

func (s *state) demandEntry() WorkspaceDemand {
	inUse := s.running.Load()
	if inUse <= s.slots.Load() {
		inUse = 0 // within the share, which the other instances grant anyway
	}
	return WorkspaceDemand{
		Workspace:   s.id,
		Rate:        s.reportedRate,
		Concurrency: s.reportedConcurrent,
		InUse:       int(inUse),
	}
}

// ApplyDemand applies the demand of another instance. Earlier demand of workspaces
// that entries omits is kept until it expires.
func (a *Admission) ApplyDemand(instance contract.InstanceID, entries []WorkspaceDemand) {
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
		others := a.remoteDemands[e.Workspace]
		if e.Rate == 0 && e.Concurrency == 0 && e.InUse == 0 {
			delete(others, instance)
			continue
		}
		if others == nil {
			others = map[contract.InstanceID]remoteDemand{}
			a.remoteDemands[e.Workspace] = others
		}
		others[instance] = remoteDemand{rate: e.Rate, concurrent: e.Concurrency, inUse: e.InUse, receivedAt: now}
	}
}

// validDemand rejects invalid values of another instance, which would distort the
// shares.
func validDemand(e WorkspaceDemand) bool {
	return validAmount(e.Rate) && validAmount(e.Concurrency) && e.InUse >= 0 && e.InUse < maxInUse
}

func validAmount(x float64) bool { return x >= 0 && x < math.MaxFloat32 }

// refresh updates the smoothed demand, drops expired demand of other instances
// and applies the new shares.
func (a *Admission) refresh(now time.Time) {
	document := a.config.Configuration.Current().Document
	a.mu.Lock()
	elapsed := now.Sub(a.refreshedAt)
	a.refreshedAt = now
	a.expireRemoteDemands(now)
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

// expireRemoteDemands must be called with a.mu held.
func (a *Admission) expireRemoteDemands(now time.Time) {
	for workspace, others := range a.remoteDemands {
		for instance, d := range others {
			if now.Sub(d.receivedAt) > demandExpiry {
				delete(others, instance)
			}
		}
		if len(others) == 0 {
			delete(a.remoteDemands, workspace)
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

// updateReported updates the demand that is reported to other instances.
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

// reportedAmount returns the amount to report: the previous one unless it has
// changed beyond the tolerances. While reported demands remain unchanged, all
// instances compute their shares from the same numbers.
func reportedAmount(before, now float64) float64 {
	if before > 0 && now > 0 && math.Abs(now-before) <= max(reportRelativeTolerance*before, reportAbsoluteTolerance) {
		return before
	}
	return roundDemand(now)
}

// updateShare must be called with a.mu held.
func (a *Admission) updateShare(s *state, l limits) {
	equalRate, equalSlots := l.equalShare(a.config.InstanceCount())
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

// demands must be called with a.mu held. The own demand is the reported one, as
// other instances have it. Own slots in use do not raise the own share: those
// above it are released as generations end.
func (a *Admission) demands(s *state) (rates, slots []Demand) {
	own := s.demandEntry()
	rates = append(rates, Demand{Instance: a.config.Instance, Amount: own.Rate})
	slots = append(slots, Demand{Instance: a.config.Instance, Amount: own.Concurrency})
	for instance, d := range a.remoteDemands[s.id] {
		rates = append(rates, Demand{Instance: instance, Amount: d.rate})
		slots = append(slots, Demand{Instance: instance, Amount: d.concurrent, InUse: d.inUse})
	}
	return rates, slots
}

// roundDemand rounds to six binary digits, which CBOR encodes in three bytes.
func roundDemand(x float64) float64 {
	const digits = 1 << 6
	if x <= 0 {
		return 0
	}
	fraction, exponent := math.Frexp(x)
	return math.Ldexp(math.Round(fraction*digits)/digits, exponent)
}
