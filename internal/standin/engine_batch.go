package standin

import (
	"slices"
	"strings"
	"time"
)

// sweepInterval is the time between two searches for streams to cancel or forget.
const sweepInterval = time.Second

// batch runs the streams until the engine is closed: one token for each running
// stream per interval.
func (e *Engine) batch() {
	ticker := time.NewTicker(e.config.TokenInterval)
	defer ticker.Stop()
	for {
		if e.idle() {
			ticker.Stop()
			select {
			case <-e.wake:
			case <-e.closed:
				return
			}
			ticker.Reset(e.config.TokenInterval)
		}
		select {
		case <-ticker.C:
		case <-e.closed:
			return
		}
		if !e.waitWhilePaused(e.closed) {
			return
		}
		if e.step(time.Now()) {
			e.die()
			return
		}
	}
}

func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.queue) == 0 && len(e.running) == 0
}

// step runs one interval and reports whether a fault ends the engine.
func (e *Engine) step(now time.Time) (dies bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep(now)
	e.fillSlots(now)
	deadly := e.faults.Current().DieOnPrompt
	for _, stream := range e.running {
		if now.Before(stream.readyAt) {
			continue
		}
		if deadly != "" && strings.Contains(stream.request.Prompt, deadly) {
			return true
		}
		if !stream.complete() {
			stream.generate(e.nonce)
			e.counters.TokensGenerated++
		}
		if e.dieAt > 0 && e.counters.TokensGenerated >= e.dieAt {
			return true
		}
		if stream.complete() {
			stream.end(now, false)
		}
	}
	e.removeEnded()
	return false
}

// enqueue adds a stream behind those of the same or a higher priority.
// It must be called with e.mu held.
func (e *Engine) enqueue(stream *engineStream) {
	e.streams[stream.request.Stream] = stream
	at := slices.IndexFunc(e.queue, func(other *engineStream) bool {
		return other.request.Priority < stream.request.Priority
	})
	if at < 0 {
		at = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, at, stream)
	e.recordLoad()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) fillSlots(now time.Time) {
	for len(e.queue) > 0 && len(e.running) < e.config.Slots {
		stream := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, stream)
		e.prefill(now, stream)
		e.recordLoad()
	}
}

func (e *Engine) prefill(now time.Time, stream *engineStream) {
	prompt := promptTokens(stream.request.Prompt)
	tokens := slices.Concat(prompt, stream.request.Prefix)
	hits := e.cache.use(tokens)
	missing := len(tokens) - hits
	stream.readyAt = now.Add(time.Duration(missing) * e.config.PrefillPerToken)
	e.counters.PrefillTokens += int64(missing)
	e.counters.PrefixTokensRecomputed += int64(min(missing, len(stream.request.Prefix)))
	e.counters.CacheHitTokens += int64(hits)
	if hits > 0 {
		e.counters.CacheHits++
	}
}

// sweep cancels streams without a reader and forgets streams that ended long
// ago. It must be called with e.mu held.
func (e *Engine) sweep(now time.Time) {
	if now.Sub(e.sweptAt) < sweepInterval {
		return
	}
	e.sweptAt = now
	for id, stream := range e.streams {
		unread := stream.readers == 0 && now.Sub(stream.unreadAt) > e.config.UnreadLifetime
		if !stream.ended && unread {
			e.cancel(now, stream)
		}
		if stream.ended && now.Sub(stream.endedAt) > e.config.EndedLifetime {
			delete(e.streams, id)
		}
	}
}

// cancel must be called with e.mu held.
func (e *Engine) cancel(now time.Time, stream *engineStream) {
	if stream.ended {
		return
	}
	stream.end(now, true)
	e.counters.StreamsCancelled++
	e.removeEnded()
}

// removeEnded frees the slots and queue places of ended streams and caches
// their texts. It must be called with e.mu held.
func (e *Engine) removeEnded() {
	before := len(e.queue) + len(e.running)
	ended := func(stream *engineStream) bool {
		if stream.ended {
			e.cache.use(slices.Concat(promptTokens(stream.request.Prompt), stream.texts))
		}
		return stream.ended
	}
	e.running = slices.DeleteFunc(e.running, ended)
	e.queue = slices.DeleteFunc(e.queue, func(stream *engineStream) bool { return stream.ended })
	if len(e.queue)+len(e.running) != before {
		e.recordLoad()
	}
}
