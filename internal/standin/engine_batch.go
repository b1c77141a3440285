package standin

import (
	"slices"
	"strings"
	"time"
)

// sweepInterval is the time between two sweeps for expired streams.
const sweepInterval = time.Second

// runBatches generates one token for each running stream per token interval,
// until the engine is closed.
func (e *Engine) runBatches() {
	ticker := time.NewTicker(e.config.TokenInterval)
	defer ticker.Stop()
	for {
		if e.idle() {
			ticker.Stop()
			select {
			case <-e.newWork:
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
			e.exitProcess()
			return
		}
	}
}

func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.queue) == 0 && len(e.running) == 0
}

// step runs one token interval and reports whether a fault makes the engine exit.
func (e *Engine) step(now time.Time) (exits bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep(now)
	e.fillSlots(now)
	exitPrompt := e.faults.Current().ExitOnPrompt
	for _, stream := range e.running {
		if now.Before(stream.readyAt) {
			continue
		}
		if exitPrompt != "" && strings.Contains(stream.request.Prompt, exitPrompt) {
			return true
		}
		if !stream.complete() {
			stream.generate(e.nonce)
			e.counters.TokensGenerated++
		}
		if e.exitAt > 0 && e.counters.TokensGenerated >= e.exitAt {
			return true
		}
		if stream.complete() {
			stream.end(now, false)
		}
	}
	e.removeEnded()
	return false
}

// enqueue adds a stream to the queue, after all streams of the same or a higher
// priority. It must be called with e.mu held.
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
	case e.newWork <- struct{}{}:
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
	hits := e.cache.lookupAndInsert(tokens)
	uncached := len(tokens) - hits
	stream.readyAt = now.Add(time.Duration(uncached) * e.config.PrefillPerToken)
	e.counters.PrefillTokens += int64(uncached)
	e.counters.PrefixTokensRecomputed += int64(min(uncached, len(stream.request.Prefix)))
	e.counters.CacheHitTokens += int64(hits)
	if hits > 0 {
		e.counters.CacheHits++
	}
}

// sweep cancels streams without a reader and deletes ended streams, each after
// its configured lifetime. It must be called with e.mu held.
func (e *Engine) sweep(now time.Time) {
	if now.Sub(e.lastSweep) < sweepInterval {
		return
	}
	e.lastSweep = now
	for id, stream := range e.streams {
		detached := stream.readers == 0 && now.Sub(stream.detachedAt) > e.config.UnreadLifetime
		if !stream.ended && detached {
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

// removeEnded removes ended streams from the slots and the queue and caches the
// texts of those that were running. It must be called with e.mu held.
func (e *Engine) removeEnded() {
	before := len(e.queue) + len(e.running)
	ended := func(stream *engineStream) bool {
		if stream.ended {
			e.cache.lookupAndInsert(slices.Concat(promptTokens(stream.request.Prompt), stream.texts))
		}
		return stream.ended
	}
	e.running = slices.DeleteFunc(e.running, ended)
	e.queue = slices.DeleteFunc(e.queue, func(stream *engineStream) bool { return stream.ended })
	if len(e.queue)+len(e.running) != before {
		e.recordLoad()
	}
}
