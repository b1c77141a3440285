package pool

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/fleetrate"
)

func statedRate(perSecond float64) RequestRate {
	return RequestRate{Stated: true, PerSecond: perSecond}
}

// takeUntil counts the requests that may be sent in steps of 10 ms until a time.
func takeUntil(m *Member, from, to time.Time) int {
	taken := 0
	for now := from; now.Before(to); now = now.Add(10 * time.Millisecond) {
		if m.TakeRequest(now) {
			taken++
		}
	}
	return taken
}

// Guards against a limit that outlives the responses which state it, that an older or
// invalid response lifts, or that a restarted upstream inherits.
func TestRequestRateHoldsAsLongAsItIsStated(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	m := newTestMember(upstream("a", "a"))
	g.Expect(m.ObserveRate(at(0), at(-50), RequestRate{})).To(Equal(RateUnchanged))
	g.Expect(m.ObserveRate(at(100), at(50), statedRate(2))).To(Equal(RateStarted))
	g.Expect(m.ObserveRate(at(110), at(60), RequestRate{})).To(Equal(RateUnchanged), "sent before the rate was stated")
	g.Expect(m.ObserveRate(at(120), at(110), RequestRate{Invalid: true})).To(Equal(RateUnchanged))
	g.Expect(m.ObserveRate(at(130), at(110), statedRate(2))).To(Equal(RateUnchanged))
	g.Expect(m.ObserveRate(at(140), at(110), statedRate(3))).To(Equal(RateChanged))
	limit, ok := m.RateLimit(at(150))
	g.Expect(ok).To(BeTrue())
	g.Expect(limit.PerSecond).To(Equal(3.0))
	g.Expect(limit.Age).To(Equal(10 * time.Millisecond))
	g.Expect(m.ObserveRate(at(300), at(200), RequestRate{})).To(Equal(RateEnded))
	g.Expect(takeUntil(m, at(300), at(400))).To(Equal(10), "no limit")

	m.ObserveRate(at(500), at(450), statedRate(0))
	m.MarkReplaced(2)
	m.FinishIdentify(Identity{ID: "a-2", StartedAt: 2})
	_, limited := m.RateLimit(at(600))
	g.Expect(limited).To(BeFalse())
}

// Guards against several requests for one place when they are taken at the same time,
// and against a rate whose part grows with each response that changes it a little.
func TestRequestsAreTakenOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	m := newTestMember(upstream("a", "a"))
	m.ObserveRate(now, now, statedRate(2))
	var taken atomic.Int64
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			if m.TakeRequest(now.Add(time.Second)) {
				taken.Add(1)
			}
		})
	}
	callers.Wait()
	g.Expect(taken.Load()).To(BeEquivalentTo(1))
	sent := 0
	for i := range 1000 {
		at := now.Add(time.Second + time.Duration(i)*10*time.Millisecond)
		m.ObserveRate(at, at, statedRate(2+float64(i%7)/100))
		if m.TakeRequest(at) {
			sent++
		}
	}
	g.Expect(sent).To(BeNumerically("<=", 21), "in ten seconds")
	g.Expect(sent).To(BeNumerically(">=", 16))
}

// Guards against a fleet whose change is not noticed, and against requests of an instance
// that the others do not count yet.
func TestRequestRateFollowsTheFleet(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	p := New()
	p.Replace([]Upstream{upstream("a", "a")})
	m := p.Members("service")[0]
	m.ObserveRate(now, now, statedRate(10))
	fleet := &fleetrate.Fleet{Self: "0", SettledAt: now.Add(5 * time.Second)}
	for i := range 4 {
		fleet.Instances = append(fleet.Instances, fleetrate.Instance{ID: strconv.Itoa(i), FailureDomain: "d"})
	}
	g.Expect(takeUntil(m, now, now.Add(2*time.Second))).To(BeNumerically("~", 18, 1), "alone")
	p.SetFleet(fleet)
	g.Expect(takeUntil(m, now.Add(2*time.Second), now.Add(5*time.Second))).To(BeZero(), "not settled")
	retryAfter, known := RetryAfter(p.Members("service"), now.Add(3*time.Second))
	g.Expect(known).To(BeTrue())
	g.Expect(retryAfter).To(BeNumerically(">=", 2*time.Second))
	g.Expect(takeUntil(m, now.Add(5*time.Second), now.Add(9*time.Second))).To(BeNumerically("~", 9, 1), "a quarter")
	p.SetFleet(&fleetrate.Fleet{Self: "0", Instances: fleet.Instances})
	g.Expect(takeUntil(m, now.Add(9*time.Second), now.Add(20*time.Second))).To(BeZero(), "not listed")
	_, known = RetryAfter(p.Members("service"), now.Add(9*time.Second))
	g.Expect(known).To(BeFalse())
}

// Guards against a KV copy at an upstream at which a stream could not resume from it, and
// against a limited upstream that is used although its rate allows no request.
func TestChoiceRespectsRequestRate(t *testing.T) {
	g := NewWithT(t)
	candidates := []Candidate{candidate("a", "a"), candidate("b", "b")}
	candidates[0].StatesRate, candidates[1].Active = true, 7
	i, ok := Choose(candidates, Requirements{}, newRandom())
	g.Expect(ok).To(BeTrue())
	g.Expect(i).To(Equal(0), "its rate allows a request")
	i, _ = Choose(candidates, Requirements{KVCopy: true}, newRandom())
	g.Expect(i).To(Equal(1))
	candidates[0].UntilRequest = time.Second
	for _, need := range []Requirements{{}, {Prefer: "a", Resume: true}, {NotRepeatable: true}} {
		i, _ = Choose(candidates, need, newRandom())
		g.Expect(i).To(Equal(1))
	}
	_, ok = Choose(candidates[:1], Requirements{Prefer: "a", Resume: true}, newRandom())
	g.Expect(ok).To(BeFalse())
}

// Guards against an instance without a part that misses the end of a limit and hears of it
// only by its next trial request, many minutes later.
func TestNoticeOfTheEndReachesAllInstances(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	fleet := &fleetrate.Fleet{Self: "0", SettledAt: now}
	for i := range 300 {
		fleet.Instances = append(fleet.Instances, fleetrate.Instance{ID: strconv.Itoa(i), FailureDomain: "d"})
	}
	p := New()
	p.SetFleet(fleet)
	var upstreams []Upstream
	for i := range 100 {
		upstreams = append(upstreams, upstream(strconv.Itoa(i), "d"))
	}
	p.Replace(upstreams)
	held := 0
	for _, m := range p.Members("service") {
		m.ObserveRate(now, now, statedRate(20))
		limit, _ := m.RateLimit(now)
		g.Expect(m.ApplyRateEnd(now.Add(100*time.Millisecond)) == RateEnded).To(Equal(!limit.Part.Holder))
		if limit.Part.Holder {
			held++
			g.Expect(m.ApplyRateEnd(now.Add(2 * time.Second))).To(Equal(RateEnded))
		}
	}
	g.Expect(held).To(BeNumerically("~", 100*26/300, 6), "26 holders of 300")
}

// Guards against an instance that keeps an older rate because two notices came within a second.
func TestLaterNoticeReplacesAnEarlierOneAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	p := New()
	p.Replace([]Upstream{{ID: "u", Service: "service", Address: "u", Slots: 8, StartedAt: 1}})
	m := p.Members("service")[0]
	rate := func() float64 {
		limit, _ := m.RateLimit(now)
		return limit.PerSecond
	}
	p.ApplyRateNotice(now, "u", RateNotice{PerSecond: 8, StartedAt: 1})
	now = now.Add(100 * time.Millisecond)
	p.ApplyRateNotice(now, "u", RateNotice{PerSecond: 2, StartedAt: 1})
	g.Expect(rate()).To(Equal(2.0))
	m.ObserveRate(now, now, RequestRate{Stated: true, PerSecond: 3})
	p.ApplyRateNotice(now.Add(noticeDelay/2), "u", RateNotice{PerSecond: 8, StartedAt: 1})
	g.Expect(rate()).To(Equal(3.0), "a response of the upstream is newer")
}
