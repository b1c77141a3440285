package notices

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/poison"
)

// Times of the store and its readers.
const (
	partStoreCallTime = 6 * time.Millisecond
	partStoreInterval = 5 * time.Millisecond // between two writes
	partStoreMaxWait  = time.Second
	partReadDelay     = 40 * time.Millisecond  // longest, of a change
	partReadBackoff   = 600 * time.Millisecond // longest, while the store is down
)

// partStore is a store of notices that its readers follow with a delay.
type partStore struct {
	discovery.Store
	mu      sync.Mutex // guards the fields below
	rows    map[string]discovery.Row
	version int64
	changed chan struct{}
	freeAt  time.Time // end of the last write in the queue
	down    bool
	mute    bool           // calls are performed, but get no response
	calls   map[string]int // by the prefix of the key, also refused ones
}

func newPartStore() *partStore {
	return &partStore{rows: map[string]discovery.Row{}, changed: make(chan struct{}), calls: map[string]int{}}
}

func (s *partStore) Put(ctx context.Context, _ discovery.Topic, key string, value []byte) error {
	_, err := s.write(ctx, discovery.Row{Key: key, Value: value}, false)
	return err
}

func (s *partStore) Create(ctx context.Context, _ discovery.Topic, key string, value []byte) ([]byte, error) {
	return s.write(ctx, discovery.Row{Key: key, Value: value}, true)
}

func (s *partStore) Remove(ctx context.Context, _ discovery.Topic, key string) error {
	_, err := s.write(ctx, discovery.Row{Key: key, Deleted: true}, false)
	return err
}

func (s *partStore) write(_ context.Context, row discovery.Row, ifAbsent bool) (value []byte, err error) {
	s.mu.Lock()
	kind, _, _ := strings.Cut(strings.TrimPrefix(row.Key, partKeyPrefix), "/")
	if row.Deleted {
		kind = "removal"
	}
	s.calls[kind]++
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	wait := s.freeAt.Sub(now)
	if s.down || wait > partStoreMaxWait {
		s.mu.Unlock()
		return nil, errStoreDown
	}
	s.freeAt = s.freeAt.Add(partStoreInterval)
	s.mu.Unlock()
	time.Sleep(wait + partStoreCallTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mute {
		defer func() { value, err = nil, errStoreDown }()
	}
	if old, found := s.rows[row.Key]; ifAbsent && found && !old.Deleted {
		return old.Value, nil
	}
	s.version++
	row.Version = s.version
	s.rows[row.Key] = row
	close(s.changed)
	s.changed = make(chan struct{})
	return row.Value, nil
}

func (s *partStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *partStore) setMute(mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = mute
}

func (s *partStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// since returns the rows that changed after a version.
func (s *partStore) since(version int64) (batch discovery.Batch, changed chan struct{}, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch.Version = s.version
	for _, row := range s.rows {
		if row.Version > version && !(version == 0 && row.Deleted) {
			batch.Rows = append(batch.Rows, row)
		}
	}
	return batch, s.changed, s.down
}

// keys returns the keys of the rows with a prefix.
func (s *partStore) keys(prefix string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && !row.Deleted {
			keys = append(keys, key)
		}
	}
	return keys
}

func (s *partStore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].Value
}

func (s *partStore) takeCalls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = map[string]int{}
	return calls
}

// partInstance is the part of an instance that shares evidence on parts.
type partInstance struct {
	*partExchange
	stop context.CancelFunc
	done chan struct{}
}

// newInstance returns an instance that is not running.
func (s *partStore) newInstance(name string) *partInstance {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &partInstance{partExchange: newPartExchange(s, s.isDown, poison.NewLedger(), name, log)}
}

func (s *partStore) start(t *testing.T, name string) *partInstance {
	ctx, stop := context.WithCancel(t.Context())
	i := s.newInstance(name)
	i.stop, i.done = stop, make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { i.run(ctx) })
	running.Go(func() { s.follow(ctx, i.partExchange) })
	go func() {
		running.Wait()
		close(i.done)
	}()
	return i
}

// follow passes changes to an instance.
func (s *partStore) follow(ctx context.Context, e *partExchange) {
	var version int64
	for ctx.Err() == nil {
		batch, changed, down := s.since(version)
		if !down && batch.Version > version {
			version = batch.Version
			(&Exchange{parts: e}).apply(batch, 0, nil)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		delay := partReadDelay
		if down {
			delay = partReadBackoff
		}
		time.Sleep(time.Duration(rand.Float64() * float64(delay)))
	}
}

func (s *partStore) startFleet(t *testing.T, size int) []*partInstance {
	fleet := make([]*partInstance, size)
	for i := range fleet {
		fleet[i] = s.start(t, fmt.Sprint("instance-", i))
	}
	return fleet
}

func stopFleet(fleet []*partInstance) {
	for _, i := range fleet {
		i.stop()
	}
	for _, i := range fleet {
		<-i.done
	}
}

// sees adds a crash to the ledger of the instance that has seen it, as a forwarder does.
func (i *partInstance) sees(upstream int, prompts ...poison.Prompt) {
	now := time.Now()
	crash := poison.Crash{UpstreamID: fmt.Sprint("upstream-", upstream), FailureDomain: fmt.Sprint("domain-", upstream%3), Prompts: prompts, At: now}
	verdicts := i.ledger.AddCrash(now, crash)
	i.ShareCrash(crash)
	i.ShareVerdicts(verdicts)
}

// succeeds records an answer that goes on.
func (i *partInstance) succeeds(prompt poison.Prompt) {
	now := time.Now()
	contradicted, _ := i.ledger.AddSuccess(now, now, prompt)
	i.ShareSuccess(contradicted)
}

// refuses reports whether a request is refused, and records it as a forwarder does.
func (i *partInstance) refuses(prompt poison.Prompt) bool {
	verdict, refused := i.ledger.Refuses(prompt)
	if refused {
		i.Refused(verdict)
	}
	return refused
}

// refusing counts the instances that refuse a prompt.
func refusing(fleet []*partInstance, prompt poison.Prompt) (n int) {
	for _, i := range fleet {
		if i.refuses(prompt) {
			n++
		}
	}
	return n
}

const (
	poisonPart = poison.Part(0xbad)
	systemPart = poison.Part(0x5)
)

// poisonPrompt returns a prompt with the poison part, a shared one and one of its own.
func poisonPrompt(n int) poison.Prompt {
	return poison.Prompt{systemPart, poisonPart, poison.Part(1000 + n)}
}

// soundPrompt returns the same without the poison part.
func soundPrompt(n int) poison.Prompt { return poison.Prompt{systemPart, poison.Part(1000 + n)} }

// crashEach lets an instance each see a crash, 300 ms apart.
func crashEach(fleet []*partInstance, crashes int) {
	for n := range crashes {
		fleet[n*len(fleet)/crashes].sees(n, poisonPrompt(n))
		time.Sleep(300 * time.Millisecond)
	}
}

func expectRefusedBy(g Gomega, fleet []*partInstance, want int, description string) {
	g.Expect(refusing(fleet, poisonPrompt(99))).To(Equal(want), description)
	g.Expect(refusing(fleet, soundPrompt(99))).To(BeZero(), description)
}
