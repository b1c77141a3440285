package gateway

import (
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/discovery"
)

// firstReadTimeout is the time in which a store that is well answers the first reads,
// also when a hundred instances start at once (95 ms with a list of 1,000 upstreams).
const firstReadTimeout = 300 * time.Millisecond

// startup ends when the instance has read the configuration and the list of
// upstreams for the first time, or when the store does not answer. A balancer
// sends callers to an instance that was restarted before it has asked it, so
// they wait for the end of the startup instead of being refused.
type startup struct {
	once sync.Once
	done chan struct{}

	mu     sync.Mutex // guards unread
	unread map[discovery.Topic]bool
}

func newStartup(topics ...discovery.Topic) *startup {
	s := &startup{done: make(chan struct{}), unread: map[discovery.Topic]bool{}}
	for _, topic := range topics {
		s.unread[topic] = true
	}
	time.AfterFunc(firstReadTimeout, s.finish)
	return s
}

func (s *startup) finish() { s.once.Do(func() { close(s.done) }) }

// topicRead notes that a topic is known.
func (s *startup) topicRead(topic discovery.Topic) {
	s.mu.Lock()
	delete(s.unread, topic)
	remaining := len(s.unread)
	s.mu.Unlock()
	if remaining == 0 {
		s.finish()
	}
}

// trackApplied returns apply with a note of the topic after each batch.
func (s *startup) trackApplied(topic discovery.Topic, apply func(discovery.Batch, time.Duration)) func(discovery.Batch, time.Duration) {
	return func(batch discovery.Batch, gap time.Duration) {
		apply(batch, gap)
		s.topicRead(topic)
	}
}
