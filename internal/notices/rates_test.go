package notices

import (
	"context"
	"errors"
	"io"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/pool"
)

// noticeStore is a store of notices that passes each change to all instances.
type noticeStore struct {
	discovery.Store
	mu      sync.Mutex // guards the fields below
	rows    map[string][]byte
	writes  int
	fails   bool
	readers []*Exchange
}

var errStoreDown = errors.New("store is down")

func (s *noticeStore) Put(_ context.Context, _ discovery.Topic, key string, value []byte) error {
	return s.change(discovery.Row{Key: key, Value: value})
}

func (s *noticeStore) Remove(_ context.Context, _ discovery.Topic, key string) error {
	return s.change(discovery.Row{Key: key, Deleted: true})
}

func (s *noticeStore) change(row discovery.Row) error {
	s.mu.Lock()
	s.writes++
	if s.fails {
		s.mu.Unlock()
		return errStoreDown
	}
	s.rows[row.Key] = row.Value
	if row.Deleted {
		delete(s.rows, row.Key)
	}
	readers := s.readers
	s.mu.Unlock()
	for _, reader := range readers {
		reader.apply(discovery.Batch{Rows: []discovery.Row{row}}, 0, nil)
	}
	return nil
}

func (s *noticeStore) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *noticeStore) recover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails = false
}

func (s *noticeStore) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails = true
}

func (s *noticeStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fails
}

func (s *noticeStore) rowCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows)
}

// rateInstance is the part of an instance that shares request rates.
type rateInstance struct {
	pool  *pool.Pool
	rates *rateExchange
}

func (s *noticeStore) newInstance(upstreams ...pool.Upstream) rateInstance {
	log := logrus.New()
	log.SetOutput(io.Discard)
	i := rateInstance{pool: pool.New()}
	i.pool.Replace(upstreams)
	i.rates = newRateExchange(s, s.isDown, i.pool, log)
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range s.rows {
		(&Exchange{rates: i.rates}).apply(discovery.Batch{Rows: []discovery.Row{{Key: key, Value: value}}}, 0, nil)
	}
	s.readers = append(s.readers, &Exchange{rates: i.rates})
	return i
}

func (i rateInstance) member() *pool.Member { return i.pool.Members("service")[0] }

// respond handles a response of the upstream to a request that was just sent.
func (i rateInstance) respond(rate pool.RequestRate) {
	i.member().ObserveRate(time.Now(), time.Now(), rate)
	i.rates.share(i.member())
}

// statedRate returns the rate that the instance knows, -1 if it knows none.
func (i rateInstance) statedRate() float64 {
	limit, ok := i.member().RateLimit(time.Now())
	if !ok {
		return -1
	}
	return limit.PerSecond
}

func stated(perSecond float64) pool.RequestRate {
	return pool.RequestRate{Stated: true, PerSecond: perSecond}
}

var ratedUpstream = pool.Upstream{ID: "u", Service: "service", Address: "u", Slots: 8, StartedAt: 1}

// Guards against instances that learn of a stated request rate, its change or its end only
// by requests of their own, and against a restarted instance that does not know it.
func TestRequestRatesReachOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &noticeStore{rows: map[string][]byte{}}
		first, second := store.newInstance(ratedUpstream), store.newInstance(ratedUpstream)
		first.respond(stated(3.3))
		synctest.Wait()
		g.Expect(second.statedRate()).To(Equal(3.3))
		g.Expect(store.newInstance(ratedUpstream).statedRate()).To(Equal(3.3), "restarted")
		late := store.newInstance()
		late.pool.Replace([]pool.Upstream{ratedUpstream})
		g.Expect(late.statedRate()).To(Equal(3.3), "upstream listed later")
		replaced := ratedUpstream
		replaced.StartedAt = 2
		g.Expect(store.newInstance(replaced).statedRate()).To(Equal(-1.0), "another process of the upstream")

		for range 100 {
			time.Sleep(50 * time.Millisecond)
			first.respond(stated(3.5))
			second.respond(stated(3.2))
		}
		g.Expect(store.writeCount()).To(Equal(1), "small changes")
		time.Sleep(3 * time.Second)
		first.respond(stated(1))
		time.Sleep(time.Second)
		g.Expect(second.statedRate()).To(Equal(1.0))

		time.Sleep(3 * time.Second)
		first.respond(pool.RequestRate{})
		second.respond(pool.RequestRate{})
		time.Sleep(time.Second)
		g.Expect(store.rowCount()).To(BeZero())
		g.Expect(late.statedRate()).To(Equal(-1.0))
		g.Expect(store.writeCount()).To(BeNumerically("<=", 4), "the end is written by one or two")
	})
}

// Guards against a rate that is never shared because its first write failed, against writes
// for each response while the store fails, and against notices that stay for good.
func TestRequestRateIsSharedAfterTheStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &noticeStore{rows: map[string][]byte{}, fails: true}
		first, second := store.newInstance(ratedUpstream), store.newInstance(ratedUpstream)
		for range 100 {
			first.respond(stated(3))
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(store.writeCount()).To(BeNumerically("<=", 6), "in ten seconds")
		g.Expect(second.statedRate()).To(Equal(-1.0))
		store.recover()
		time.Sleep(rateWriteInterval)
		first.respond(stated(3))
		synctest.Wait()
		g.Expect(second.statedRate()).To(Equal(3.0))

		time.Sleep(rateWriteInterval)
		store.fail()
		first.respond(pool.RequestRate{})
		time.Sleep(rateWriteInterval)
		g.Expect(store.rowCount()).To(Equal(1))
		store.recover()
		first.respond(pool.RequestRate{})
		time.Sleep(time.Second)
		g.Expect(store.rowCount()).To(BeZero(), "the end of a limit is written later too")
		time.Sleep(rateWriteInterval)
		first.respond(stated(3))
		synctest.Wait()

		first.pool.Replace(nil)
		second.pool.Replace(nil)
		ctx, cancel := context.WithCancel(t.Context())
		go first.rates.run(ctx)
		go second.rates.run(ctx)
		time.Sleep(obsoleteCheckInterval / 2)
		g.Expect(store.rowCount()).To(Equal(1))
		time.Sleep(3 * obsoleteCheckInterval)
		g.Expect(store.rowCount()).To(BeZero())
		cancel()
		time.Sleep(obsoleteSpread) // let pending removals end
	})
}

// Guards against a notice of another program that sets a senseless rate or ends the process.
func TestInvalidRateNoticesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	i := (&noticeStore{rows: map[string][]byte{}}).newInstance(ratedUpstream)
	for _, value := range []string{``, `null`, `{}`, `[]`, `{"started_at":1}`, `{"per_second":-1,"started_at":1}`, `{"per_second":"3","started_at":1}`, `{"per_second":1e999,"started_at":1}`} {
		(&Exchange{rates: i.rates}).apply(discovery.Batch{Rows: []discovery.Row{{Key: "rate/u", Value: []byte(value)}, {Key: "rate/", Value: []byte(value)}}}, 0, nil)
		g.Expect(i.statedRate()).To(Equal(-1.0), value)
	}
}

// spreaderFunc passes notices to instances directly.
type spreaderFunc func(message rateMessage)

func (f spreaderFunc) spread(_ context.Context, message rateMessage) { f(message) }

// Guards against instances that do not learn of a request rate, or of its end, while the
// store is away, and against a message for each response meanwhile.
func TestRequestRatesGoOverLinksWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &noticeStore{rows: map[string][]byte{}, fails: true}
		first, second := store.newInstance(ratedUpstream), store.newInstance(ratedUpstream)
		messages := 0
		first.rates.setLinks(spreaderFunc(func(message rateMessage) {
			messages++
			second.rates.receive(message)
		}))
		second.rates.setLinks(spreaderFunc(func(message rateMessage) {
			messages++
			first.rates.receive(message)
		}))
		first.respond(stated(3))
		time.Sleep(time.Millisecond)
		g.Expect(second.statedRate()).To(Equal(3.0))
		for range 90 {
			first.respond(stated(3))
			second.respond(stated(3.1))
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(messages).To(Equal(1))
		time.Sleep(rateWriteInterval)
		first.respond(pool.RequestRate{})
		time.Sleep(rateWriteInterval)
		g.Expect(second.statedRate()).To(Equal(-1.0))

		first.respond(stated(5))
		time.Sleep(rateWriteInterval)
		g.Expect(second.statedRate()).To(Equal(5.0))
		store.recover()
		time.Sleep(time.Second)
		second.respond(stated(5))
		synctest.Wait()
		g.Expect(store.rowCount()).To(Equal(1), "for instances that start later")
		before := messages
		time.Sleep(rateLinkInterval)
		first.respond(stated(5))
		time.Sleep(time.Second)
		g.Expect(messages).To(Equal(before), "the store works")
	})
}

// Guards against a malformed notice from a link that is applied.
func TestInvalidRateMessagesAreRefused(t *testing.T) {
	g := NewWithT(t)
	for _, message := range []rateMessage{
		{}, {UpstreamID: "u", PerSecond: -1}, {UpstreamID: "u", PerSecond: math.NaN()}, {UpstreamID: "u", PerSecond: math.Inf(1)},
		{UpstreamID: strings.Repeat("u", maxUpstreamID+1)},
	} {
		body, err := link.Encode(message)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = decodeRateMessage(body)
		g.Expect(err).To(MatchError(errInvalidRateMessage))
	}
	_, err := decodeRateMessage([]byte("text"))
	g.Expect(err).To(HaveOccurred())
}
