package upstreamtest

import (
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Kill ends the process: all streams and connections are gone.
func (e *FakeEngine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
}

func (e *FakeEngine) kill() {
	e.exited = true
	for _, s := range e.streams {
		s.stopGenerating()
	}
	clear(e.streams)
	e.cutConnections()
}

// Restart starts a killed engine with a new incarnation.
func (e *FakeEngine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exited = false
	e.paused = false
	e.incarnation++
	e.broadcast()
}

// Close ends all streams of the engine at the end of a test.
func (e *FakeEngine) Close() { e.Kill() }

// Pause stops the process; its connections stay open. Unpause continues it.
func (e *FakeEngine) Pause() { e.update(func() { e.paused = true }) }

// Unpause continues a paused engine.
func (e *FakeEngine) Unpause() { e.update(func() { e.paused = false }) }

// CutConnections closes all open connections once; the streams continue.
func (e *FakeEngine) CutConnections() { e.update(e.cutConnections) }

func (e *FakeEngine) cutConnections() {
	for _, c := range e.connections {
		c.closed = true
	}
	e.connections = nil
	e.broadcast()
}

// SilenceConnections makes the connections that are open now silent permanently; new ones
// work.
func (e *FakeEngine) SilenceConnections() { e.eachConnection(func(c *connection) { c.silent = true }) }

// SkipToken drops the next token on each open connection.
func (e *FakeEngine) SkipToken() { e.eachConnection(func(c *connection) { c.skip = true }) }

// DuplicateToken sends the next token twice on each open connection.
func (e *FakeEngine) DuplicateToken() { e.eachConnection(func(c *connection) { c.duplicate = true }) }

// InjectOtherRequestToken injects a token of another request, at the next expected offset,
// into each open connection.
func (e *FakeEngine) InjectOtherRequestToken() {
	e.eachConnection(func(c *connection) {
		c.injected = append(c.injected, upstream.StreamEvent{
			Stream:  "other-stream",
			Request: contract.RequestID{Workspace: "other", Key: "other"},
			Token:   contract.Token{Offset: c.next, Text: "of another request"},
		})
	})
}

// InjectOldStreamToken injects a token of an old stream of the same request, at the next
// expected offset, into each open connection.
func (e *FakeEngine) InjectOldStreamToken() {
	e.eachConnection(func(c *connection) {
		c.injected = append(c.injected, upstream.StreamEvent{
			Stream:  c.stream.request.Stream + "-old",
			Request: c.stream.request.Request,
			Token:   contract.Token{Offset: c.next, Text: "of an old attempt"},
		})
	})
}

// SetRefusing makes the engine refuse new streams, or accept them again.
func (e *FakeEngine) SetRefusing(on bool) { e.update(func() { e.refusing = on }) }

// SetLeaving sets whether the engine is leaving and refuses new streams.
func (e *FakeEngine) SetLeaving(on bool) { e.update(func() { e.leaving = on }) }

// CrashOnPrompt makes the engine crash on a prompt that contains the text.
func (e *FakeEngine) CrashOnPrompt(text string) { e.update(func() { e.crashOn = text }) }

// SetIgnoreCancel makes the engine acknowledge cancellations but continue to
// generate.
func (e *FakeEngine) SetIgnoreCancel(on bool) { e.update(func() { e.ignoreCancel = on }) }

func (e *FakeEngine) eachConnection(change func(*connection)) {
	e.update(func() {
		for _, c := range e.connections {
			change(c)
		}
	})
}

func (e *FakeEngine) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	e.broadcast()
}
