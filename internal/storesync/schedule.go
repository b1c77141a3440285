package storesync

import (
	"context"
	"math/rand/v2"
	"time"

	"foxtailhub.example/foxtailhub/internal/discovery"
)

// PollSchedule returns the schedule on which a topic is polled from the store. An instance that
// reads for followers polls more often, so that rows are still fresh one hop later.
func (s *Syncer) PollSchedule(topic discovery.Topic, standalone discovery.PollSchedule) discovery.PollSchedule {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pollSchedule(topic, standalone)
}

// pollSchedule is PollSchedule for a caller that holds mu.
func (s *Syncer) pollSchedule(topic discovery.Topic, schedule discovery.PollSchedule) discovery.PollSchedule {
	switch maxInterval := fractionOf(readIntervalShare, s.MaxAge[topic]); {
	case !s.source.readStore:
		schedule.Wait = 0 // a direct read needs past changes only, so no long poll
	case s.transport != nil:
		schedule.Wait, schedule.Pause = min(schedule.Wait, maxInterval), min(schedule.Pause, maxInterval)
	}
	if remaining := s.startedAt + s.StartupSpread + startupWriteMargin - s.Clock(); topic == discovery.Instances && remaining > 0 {
		// Instances that start later are read soon after the end of the spread, and
		// sooner while there are no links.
		schedule.Pause = min(schedule.Pause, remaining)
		if s.transport == nil {
			schedule.Pause = min(schedule.Pause, startupWriteMargin)
		}
	}
	return schedule
}

// AwaitRead waits until a topic is due to be read from the store. lastRead is the time of the
// last read, zero before the first. An instance that reads the store reads each topic again soon
// after the store has returned from a copy, unless a peer delivers it (AwaitPeers); a follower gets the
// rows from its source.
func (s *Syncer) AwaitRead(ctx context.Context, topic discovery.Topic, standalone discovery.PollSchedule, lastRead time.Time) {
	jitter, returnDelay := rand.Float64(), discovery.ReturnDelay()
	var returnSeen time.Time
	for {
		newest, laterEra := s.Eras.Newest()
		held, loaded := s.Logs[topic].Revision()
		if newest > held.Era && returnSeen.IsZero() {
			returnSeen = time.Now()
		}
		s.mu.Lock()
		if loaded && newest > held.Era {
			s.observeEra(newest)
		}
		rescheduled := s.rescheduled
		var wait time.Duration
		if age, loaded := s.Logs[topic].Age(); !loaded || !s.source.readStore {
			wait = s.untilDirectRead(topic, age, loaded, jitter)
		} else if !lastRead.IsZero() {
			wait = time.Until(lastRead.Add(s.pollSchedule(topic, standalone).Pause))
			if newest > held.Era {
				wait = min(wait, time.Until(returnSeen.Add(returnDelay)))
			}
		}
		if wait <= 0 {
			s.directReads[topic] = s.Clock()
		}
		s.mu.Unlock()
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-rescheduled:
		case <-laterEra:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// untilDirectRead returns the time until an instance that follows a peer, or has not read
// the topic yet, has to read it directly. The caller holds mu.
func (s *Syncer) untilDirectRead(topic discovery.Topic, age time.Duration, loaded bool, jitter float64) time.Duration {
	switch {
	case !loaded && topic == discovery.Instances:
		return s.firstInstancesRead - s.Clock()
	case !loaded && topic == discovery.Notices && s.LinksEnabled && !(s.source.readStore && s.transport != nil):
		return s.startedAt + s.StartupSpread + linkStartupTimeout - s.Clock()
	case !loaded:
		return 0
	}
	maxAge := s.MaxAge[topic]
	wait := fractionOf(directReadShare+directReadJitterShare*jitter, maxAge) - age
	lastRead, hasRead := s.directReads[topic]
	if s.StoreFailing() {
		// The read of any topic shows whether the store has recovered, so the backoff
		// counts from the last read of all topics.
		for _, at := range s.directReads {
			lastRead, hasRead = max(lastRead, at), true
		}
	}
	if hasRead {
		wait = max(wait, fractionOf(directReadBackoffShare, maxAge)-(s.Clock()-lastRead))
	}
	return wait
}
