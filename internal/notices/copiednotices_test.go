package notices

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	copiedCallTime = 6 * time.Millisecond
	// copiedReadDelay is the longest time until an instance reads a change, and
	// copiedReturnDelay that until it notices a return.
	copiedReadDelay   = 40 * time.Millisecond
	copiedReturnDelay = time.Second
	// copiedIdleInterval is the time between two reads without a change.
	copiedIdleInterval = 10 * time.Second
)

// copiedNotices is a store of notices that may come back from a copy of itself.
type copiedNotices struct {
	discovery.Store
	t    *testing.T
	mu   sync.Mutex // guards the fields below
	rows map[string][]byte
	era  discovery.Era
	down bool
	// readOnly means that writes are refused.
	readOnly bool
	writes   []time.Time
	changed  chan struct{}
	// responseDelay is the time from a write to its response.
	responseDelay time.Duration
}

func newCopiedNotices(t *testing.T) *copiedNotices {
	return &copiedNotices{t: t, rows: map[string][]byte{}, changed: make(chan struct{})}
}

// change performs a write.
func (s *copiedNotices) change(write func()) error {
	time.Sleep(copiedCallTime)
	s.mu.Lock()
	s.writes = append(s.writes, time.Now())
	if s.down || s.readOnly {
		s.mu.Unlock()
		return errStoreDown
	}
	write()
	close(s.changed)
	s.changed = make(chan struct{})
	delay := s.responseDelay
	s.mu.Unlock()
	time.Sleep(delay)
	return nil
}

func (s *copiedNotices) setResponseDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDelay = delay
}

func (s *copiedNotices) Put(_ context.Context, _ discovery.Topic, key string, value []byte) error {
	return s.change(func() { s.rows[key] = value })
}

func (s *copiedNotices) Remove(_ context.Context, _ discovery.Topic, key string) error {
	return s.change(func() { delete(s.rows, key) })
}

func (s *copiedNotices) Create(_ context.Context, _ discovery.Topic, key string, value []byte) (current []byte, err error) {
	err = s.change(func() {
		if _, found := s.rows[key]; !found {
			s.rows[key] = value
		}
		current = s.rows[key]
	})
	return current, err
}

func (s *copiedNotices) snapshot() (rows map[string][]byte, era discovery.Era, changed <-chan struct{}, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows), s.era, s.changed, s.down
}

// copyRows returns the present rows.
func (s *copiedNotices) copyRows() map[string][]byte {
	rows, _, _, _ := s.snapshot()
	return rows
}

func (s *copiedNotices) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *copiedNotices) setReadOnly(readOnly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readOnly = readOnly
}

func (s *copiedNotices) forgetWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = nil
}

func (s *copiedNotices) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// restore replaces the rows by those of a copy.
func (s *copiedNotices) restore(copied map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.writes = map[string][]byte{}, nil
	maps.Copy(s.rows, copied)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// count returns the number of rows with a prefix.
func (s *copiedNotices) count(prefix string) (n int) {
	for key := range s.copyRows() {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// writesSinceReturn returns the number of writes, and the most in any second.
func (s *copiedNotices) writesSinceReturn() (total, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.writes {
		for n := 0; i+n < len(s.writes) && s.writes[i+n].Sub(s.writes[i]) < time.Second; n++ {
			most = max(most, n+1)
		}
	}
	return len(s.writes), most
}

// noticesInstance is the part of an instance that exchanges notices.
type noticesInstance struct {
	rateInstance
	partInstance
	crashes *crashExchange
}

// startNotices starts an instance that knows upstreams.
func (s *copiedNotices) startNotices(name string, upstreams ...pool.Upstream) *noticesInstance {
	ctx, cancel := context.WithCancel(context.Background())
	log := discardLogger()
	i := &noticesInstance{rateInstance: rateInstance{pool: pool.New()}}
	i.pool.Replace(upstreams)
	i.rates = newRateExchange(s, s.isDown, i.pool, log)
	i.crashes = newCrashExchange(s, poison.NewQuarantine(nil), log)
	i.partExchange = newPartExchange(s, s.isDown, poison.NewLedger(), name, log)
	n := &Exchange{crashes: i.crashes, rates: i.rates, parts: i.partExchange}
	var running sync.WaitGroup
	running.Go(func() { i.partExchange.run(ctx) })
	running.Go(func() { i.rates.run(ctx) })
	running.Go(func() { s.follow(ctx, n.Keeper().Apply) })
	i.partInstance.stop = func() {
		cancel()
		running.Wait()
	}
	s.t.Cleanup(i.partInstance.stop)
	return i
}

func (s *copiedNotices) startNoticesFleet(size int, upstreams ...pool.Upstream) []*noticesInstance {
	fleet := make([]*noticesInstance, size)
	for n := range fleet {
		fleet[n] = s.startNotices(fmt.Sprint("instance-", n), upstreams...)
	}
	time.Sleep(time.Second)
	return fleet
}

// follow passes the differences between two reads to an instance.
func (s *copiedNotices) follow(ctx context.Context, apply func(batch discovery.Batch, gap time.Duration)) {
	var held map[string][]byte
	var heldEra discovery.Era
	for ctx.Err() == nil {
		rows, era, changed, down := s.snapshot()
		if !down {
			batch := discovery.Batch{Era: era, Returned: held != nil && era > heldEra}
			for key, value := range rows {
				if old, found := held[key]; !found || !bytes.Equal(old, value) {
					batch.Rows = append(batch.Rows, discovery.Row{Key: key, Value: value})
				}
			}
			for key := range held {
				if _, found := rows[key]; !found {
					batch.Rows = append(batch.Rows, discovery.Row{Key: key, Deleted: true})
				}
			}
			held, heldEra = rows, era
			apply(batch, 0)
		}
		timer := time.NewTimer(copiedIdleInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		delay := copiedReadDelay
		if _, era, _, down := s.snapshot(); down || era > heldEra {
			delay = copiedReturnDelay
		}
		timer = time.NewTimer(time.Duration(rand.Float64() * float64(delay)))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
