package fleetrate

import "time"

// The requests that an upstream tolerates from all instances together in any
// toleranceWindow: toleranceFactor times its rate, and toleranceRequests.
const (
	toleranceWindow   = 4 * time.Second
	toleranceFactor   = 1.5
	toleranceRequests = 5
)

const (
	// useShare is the share of the rate that the holders use.
	useShare = 0.9
	// reserveShare is the part of the tolerance beyond the used rate that is kept for
	// trial requests, and for instances whose lists differ for a moment.
	reserveShare = 0.25
	// minRate is the rate, in requests a second, that is assumed for an upstream which
	// takes fewer, even none: without a request nobody notices that it takes more again.
	minRate = 0.25
	// maxRate bounds stated rates, in requests a second; more is no limit in practice.
	maxRate = 1e6
	// trialShare is the share of the rate for trial requests of all other instances.
	trialShare = 0.1
	// minTrialInterval is the least time between two trial requests of an instance.
	minTrialInterval = 10 * time.Second
	// trialValidity is how long a trial request may be sent after its time. Unused trials
	// of many instances must not add up to a burst.
	trialValidity = time.Second
	// quietTime is the time without requests of holders after the start of a limit below
	// minRate: the requests that were sent before all instances knew of it may use the whole
	// tolerance of the first window. All know of it within half a second.
	quietTime = toleranceWindow + 500*time.Millisecond
	// burst is the most requests of a holder at one moment: a request that comes late
	// does not delay the following ones by as much.
	burst = 1.5
)

// Allotment is the part of an upstream's rate that an instance has.
type Allotment struct {
	// Holder means that the instance has a share of the rate. Other instances only send
	// trial requests, from which they notice the end of a limit by themselves.
	Holder    bool
	Holders   int
	Instances int
	Interval  time.Duration // mean time between two requests
	Phase     float64       // share of the interval before the first request, from [0, 1)
	Delay     time.Duration // least time before the first request
	NotBefore time.Time     // earliest time of the first request; zero: none may be sent
}

// Divide returns the part of an instance with a rank of an upstream's rate, in requests
// a second.
//
// Each holder may exceed its share by a burst in any window. Therefore a low rate has few
// holders even in a large fleet.
func Divide(perSecond float64, rank Rank, settledAt time.Time) Allotment {
	rate := min(max(perSecond, minRate), maxRate)
	a := Allotment{Holders: min(maxHolders(rate), rank.Instances), Instances: rank.Instances, NotBefore: settledAt}
	if rank.Index < a.Holders {
		a.Holder = true
		a.Interval = seconds(float64(a.Holders) / (useShare * rate))
		a.Phase = (float64(rank.Index) + 0.5) / float64(a.Holders)
		if perSecond < minRate {
			a.Delay = quietTime
		}
		return a
	}
	others := rank.Instances - a.Holders
	a.Interval = max(seconds(float64(others)/(trialShare*rate)), minTrialInterval)
	a.Phase = (float64(rank.Index-a.Holders) + 0.5) / float64(others)
	return a
}

// maxHolders returns the largest number of holders whose bursts the upstream tolerates.
func maxHolders(rate float64) int {
	tolerated := (toleranceFactor-useShare)*rate*toleranceWindow.Seconds() + toleranceRequests
	return max(1, int((1-reserveShare)*tolerated/burst))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
