package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"foxtailhub.example/foxtailhub/internal/fleetrate"
	"foxtailhub.example/foxtailhub/internal/route"
)

// The platform limits the retries of all instances together: in any retryWindow a service may get
// a ratio times the requests of that window, or of the one before it, and retryAllowance.
const (
	retryWindow    = 10 * time.Second
	retryAllowance = 150
)

const (
	// plainBurst bounds the burst of a service without engines: the calls of all instances go
	// to the same few upstreams when those refuse them.
	plainBurst = 4
	// engineBurst bounds the burst of a service with engines, which are many.
	engineBurst = 16
	// minBurst is the least bound of a burst: an instance with few requests could never retry
	// with less.
	minBurst = 1
	// minResumptions is the least number of resumptions in a retryWindow beyond the common
	// budget. The engines that a failure domain loses run few streams of an instance in a
	// large fleet; those may be refused when they resume.
	minResumptions = 6
	// resumptionShare is the share of the part of the allowance for those resumptions in a
	// small fleet.
	resumptionShare = 0.5
	// refillOfRatio is the share of the ratio that refills use; bursts use the rest. An
	// instance of a large fleet has few requests, so chance decides how many of them are
	// refused at a time: a larger burst serves more than a faster refill.
	refillOfRatio           = 0.75
	refillOfRatioLargeFleet = 0.5
	// unlistedPart is the part of the allowance of an instance that the others do not count
	// yet, or that does not know them.
	unlistedPart = 1
)

// retryTerms are the terms of the retry budget of an instance for a service.
//
// The common budget is for all retries. A burst is at most the part of the allowance and
// burstShare times the requests of the window before it, so the instances together keep the
// limit for any distribution of the load, as long as burstShare and refillShare add up to
// at most the ratio.
//
// Streams that resume use what is left of the common budget, and then a budget of their own.
// Its parts add up to more than the limit in a large fleet, because each instance must be able
// to resume the few streams that it may lose. Their sum is bounded by the streams of the engines
// that are lost.
type retryTerms struct {
	refillShare float64 // retries that each request adds
	burstShare  float64 // addition to the burst for each request of the last retryWindow
	maxBurst    float64
	resumptions bool // whether streams that resume have a budget of their own
}

// termsFor returns the terms for a ratio of retries to requests and a part of the allowance.
func termsFor(ratio, part float64, engines bool) retryTerms {
	refill, maxBurst := refillOfRatio, float64(plainBurst)
	if engines {
		maxBurst = engineBurst
		if part < engineBurst {
			refill = refillOfRatioLargeFleet
		}
	}
	return retryTerms{refillShare: refill * ratio, burstShare: (1 - refill) * ratio, maxBurst: maxBurst, resumptions: engines}
}

// allowancePart returns the part of the allowance of an instance.
func allowancePart(fleet *fleetrate.Fleet, now time.Time) float64 {
	if fleet.SettledAt.IsZero() || fleet.SettledAt.After(now) {
		return unlistedPart
	}
	return retryAllowance / float64(max(1, len(fleet.Instances)))
}

// retryBucket is the state of a retry budget. It is a value that reads no clock.
type retryBucket struct {
	ratio    float64 // of retries to requests, of the users' limit
	engines  bool    // whether the service has engines
	tokens   float64
	part     float64 // current part of the allowance
	granted  float64 // largest part so far, which was added to the tokens
	requests eventWindow
	resumed  eventWindow // resumptions from the budget of their own
}

// withPart returns the bucket with the current part of the allowance.
func (b retryBucket) withPart(part float64) retryBucket {
	b.part = part
	b.tokens += max(0, part-b.granted)
	b.granted = max(b.granted, part)
	return b
}

// at returns the bucket at a time, with no more tokens than a burst has then.
func (b retryBucket) at(now time.Time) retryBucket {
	b.requests, b.resumed = b.requests.at(now), b.resumed.at(now)
	b.tokens = min(b.tokens, b.burst())
	return b
}

func (b retryBucket) terms() retryTerms { return termsFor(b.ratio, b.part, b.engines) }

// burst returns the most tokens that the bucket may have.
func (b retryBucket) burst() float64 {
	terms := b.terms()
	return min(max(b.part+terms.burstShare*float64(b.requests.count()), minBurst), terms.maxBurst)
}

// maxResumptions returns how many streams may resume in a retryWindow beyond the common budget.
func (b retryBucket) maxResumptions() float64 {
	if !b.terms().resumptions {
		return 0
	}
	return min(max(resumptionShare*b.part, minResumptions), engineBurst)
}

// deposit returns the bucket after a request.
func (b retryBucket) deposit(now time.Time, part float64) retryBucket {
	b = b.withPart(part).at(now) // cut before the request adds to the burst
	b.requests = b.requests.add()
	b.tokens = min(b.tokens+b.terms().refillShare, b.burst())
	return b
}

// take returns the bucket after a retry. ok is false if it may not be sent.
func (b retryBucket) take(now time.Time, use retryUse) (next retryBucket, ok bool) {
	const rounding = 1e-9
	b = b.at(now)
	switch {
	case b.tokens >= 1-rounding:
		b.tokens = max(0, b.tokens-1)
	case use == resumption && float64(b.resumed.count()+1) <= b.maxResumptions()+rounding:
		b.resumed = b.resumed.add()
	default:
		return b, false
	}
	return b, true
}

// eventWindow counts the events of at most the last retryWindow.
type eventWindow struct {
	slots [windowSlots]uint32
	slot  int64 // number of the latest slot
}

const (
	windowSlots = 20
	slotLength  = retryWindow / windowSlots
)

func (w eventWindow) at(now time.Time) eventWindow {
	slot := now.UnixNano() / int64(slotLength)
	for passed := min(slot-w.slot, windowSlots); passed > 0; passed-- {
		w.slots[(slot-passed+1)%windowSlots] = 0
	}
	w.slot = max(w.slot, slot)
	return w
}

func (w eventWindow) add() eventWindow {
	w.slots[w.slot%windowSlots]++
	return w
}

func (w eventWindow) count() (sum uint32) {
	for _, n := range w.slots {
		sum += n
	}
	return sum
}

// retryUse is what a retry is for.
type retryUse int

const (
	// otherRetry is a retry after a refusal, of a call, or a hedge.
	otherRetry retryUse = iota
	// resumption continues a stream that has run, whose caller would lose it.
	resumption
)

// RetryBudget is the retry budget of this instance for one service.
type RetryBudget struct {
	started time.Time
	bucket  atomic.Pointer[retryBucket]
}

// now returns the time by the monotonic clock: steps of the wall clock must not empty the window.
func (b *RetryBudget) now() time.Time { return time.Unix(0, 0).Add(time.Since(b.started)) }

// update replaces the bucket by step's result until no concurrent update interferes.
func (b *RetryBudget) update(step func(retryBucket) retryBucket) {
	for {
		old := b.bucket.Load()
		next := step(*old)
		if b.bucket.CompareAndSwap(old, &next) {
			return
		}
	}
}

// RecordRequest adds a request of a caller.
func (b *RetryBudget) RecordRequest(fleet *fleetrate.Fleet) {
	part := allowancePart(fleet, time.Now())
	b.update(func(old retryBucket) retryBucket { return old.deposit(b.now(), part) })
}

// Available reports whether a stream may resume now, without taking that from the budget.
func (b *RetryBudget) Available() bool {
	_, ok := b.bucket.Load().take(b.now(), resumption)
	return ok
}

// Refills reports whether a budget that is used up can allow retries again.
func (b *RetryBudget) Refills() bool {
	bucket := b.bucket.Load()
	return bucket.ratio > 0 || bucket.maxResumptions() > 0
}

// Take takes the resumption of a stream from the budget. It returns false if the budget is used up.
func (b *RetryBudget) Take() bool { return b.takeFor(resumption) }

// takeFor takes a retry from the budget. It returns false if the budget for that use is used up.
func (b *RetryBudget) takeFor(use retryUse) (ok bool) {
	b.update(func(old retryBucket) (next retryBucket) {
		next, ok = old.take(b.now(), use)
		return next
	})
	return ok
}

// RetryBudgets holds the retry budget of each service.
type RetryBudgets struct {
	ratio   float64
	budgets sync.Map // by name of the service, of *RetryBudget
}

// NewRetryBudgets returns budgets that keep this instance's part of the users' limit, whose
// ratio of retries to requests is given.
func NewRetryBudgets(ratio float64) *RetryBudgets { return &RetryBudgets{ratio: ratio} }

// For returns the budget of a service. A new one is full.
func (b *RetryBudgets) For(service route.Service, fleet *fleetrate.Fleet) *RetryBudget {
	if budget, ok := b.budgets.Load(service.Name); ok {
		return budget.(*RetryBudget)
	}
	budget := &RetryBudget{started: time.Now()}
	full := retryBucket{ratio: b.ratio, engines: service.Engine != nil}.withPart(allowancePart(fleet, time.Now()))
	budget.bucket.Store(&full)
	actual, _ := b.budgets.LoadOrStore(service.Name, budget)
	return actual.(*RetryBudget)
}
