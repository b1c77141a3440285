package upstreamtest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// EngineConfig describes a FakeEngine.
type EngineConfig struct {
	Target          upstream.Target
	Pin             upstream.ModelPin
	Nonce           uint64        // distinguishes the texts of engines
	Greedy          bool          // requests with temperature 0 get the same text (nonce 0) at all engines with this option
	FirstTokenDelay time.Duration // time before the first token of a stream
	TokenInterval   time.Duration // time between tokens
	Slots           int           // reported in the load report
}

// FakeEngine is an upstream.Engine in memory with fault injection. All streams of
// an engine stop with Close.
type FakeEngine struct {
	config EngineConfig

	mu           sync.Mutex // guards all fields below and the streams and connections
	changed      chan struct{}
	incarnation  int
	streams      map[upstream.StreamID]*fakeStream
	connections  []*connection
	exited       bool
	paused       bool
	refusing     bool
	leaving      bool
	crashOn      string
	crashes      []string // prompts that the engine has crashed on
	ignoreCancel bool
	starts       []upstream.StreamRequest
	cancels      []upstream.StreamID
}

var _ upstream.Engine = (*FakeEngine)(nil)

// fakeStream is one stream; its fields are guarded by the engine's lock.
type fakeStream struct {
	request     upstream.StreamRequest
	pin         upstream.ModelPin
	firstOffset int64 // offset of the first token that the stream generates
	texts       []string
	positions   []contract.PrefixDigest // positions[i] is the digest before offset i
	digester    *contract.Digester
	done        bool
	stop        chan struct{}
	stopped     bool
}

// NewFakeEngine returns a running engine.
func NewFakeEngine(config EngineConfig) *FakeEngine {
	return &FakeEngine{
		config:      config,
		changed:     make(chan struct{}),
		incarnation: 1,
		streams:     map[upstream.StreamID]*fakeStream{},
	}
}

// Config returns the engine's description.
func (e *FakeEngine) Config() EngineConfig { return e.config }

// Starts returns the requests that the engine has accepted.
func (e *FakeEngine) Starts() []upstream.StreamRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]upstream.StreamRequest(nil), e.starts...)
}

// Cancels returns the streams that were cancelled.
func (e *FakeEngine) Cancels() []upstream.StreamID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]upstream.StreamID(nil), e.cancels...)
}

// Crashes returns the prompts that the engine has crashed on.
func (e *FakeEngine) Crashes() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.crashes...)
}

// Exited reports whether the engine's process has ended.
func (e *FakeEngine) Exited() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.exited
}

// Running returns how many streams with the prompt are being generated.
func (e *FakeEngine) Running(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := 0
	for _, s := range e.streams {
		if s.request.Prompt == prompt && !s.done && !s.stopped {
			running++
		}
	}
	return running
}

// Start starts a stream.
func (e *FakeEngine) Start(ctx context.Context, request upstream.StreamRequest) (upstream.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.awaitAlive(ctx); err != nil {
		return nil, err
	}
	if err := e.admit(request); err != nil {
		return nil, err
	}
	if e.crashOn != "" && strings.Contains(request.Prompt, e.crashOn) {
		e.crashes = append(e.crashes, request.Prompt)
		e.kill()
		return nil, upstream.ErrConnectionLost
	}
	stream := e.newStream(request)
	e.streams[request.Stream] = stream
	e.starts = append(e.starts, request)
	go e.generate(stream)
	return e.connect(stream, stream.firstOffset, ""), nil
}

func (e *FakeEngine) admit(request upstream.StreamRequest) error {
	if e.leaving {
		return upstream.ErrLeaving
	}
	servesPin := request.Pin == (upstream.ModelPin{}) || request.Pin == e.config.Pin
	if e.refusing || !servesPin {
		return upstream.ErrRefused
	}
	return nil
}

func (e *FakeEngine) newStream(request upstream.StreamRequest) *fakeStream {
	s := &fakeStream{
		request:     request,
		pin:         e.config.Pin,
		firstOffset: int64(len(request.Prefix)),
		digester:    contract.NewDigester(),
		stop:        make(chan struct{}),
	}
	s.positions = append(s.positions, s.digester.PrefixDigest())
	for _, text := range request.Prefix {
		s.add(text)
	}
	return s
}

func (s *fakeStream) add(text string) {
	s.texts = append(s.texts, text)
	s.digester.Add(text)
	s.positions = append(s.positions, s.digester.PrefixDigest())
}

// Resume opens a stream over a new connection. A position before the first
// generated token is rejected.
func (e *FakeEngine) Resume(
	ctx context.Context, id upstream.StreamID, from contract.Position,
) (upstream.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.awaitAlive(ctx); err != nil {
		return nil, err
	}
	stream, known := e.streams[id]
	if !known {
		return nil, upstream.ErrStreamNotFound
	}
	if from.Offset < stream.firstOffset {
		return nil, upstream.ErrPrefixMismatch
	}
	if from.Offset < int64(len(stream.positions)) && stream.positions[from.Offset] != from.Digest {
		return nil, upstream.ErrPrefixMismatch
	}
	return e.connect(stream, from.Offset, from.Digest), nil
}

// Cancel ends a stream.
func (e *FakeEngine) Cancel(ctx context.Context, id upstream.StreamID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.awaitAlive(ctx); err != nil {
		return err
	}
	e.cancels = append(e.cancels, id)
	stream, known := e.streams[id]
	if !known {
		return upstream.ErrStreamNotFound
	}
	if e.ignoreCancel {
		return nil
	}
	stream.stopGenerating()
	delete(e.streams, id)
	for _, c := range e.connections {
		c.closed = c.closed || c.stream == stream
	}
	e.broadcast()
	return nil
}

func (s *fakeStream) stopGenerating() {
	if !s.stopped {
		s.stopped = true
		close(s.stop)
	}
}

// Load returns the load report.
func (e *FakeEngine) Load(ctx context.Context) (upstream.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.awaitAlive(ctx); err != nil {
		return upstream.LoadReport{}, err
	}
	running := 0
	for _, s := range e.streams {
		if !s.done {
			running++
		}
	}
	return upstream.LoadReport{
		Incarnation: e.currentIncarnation(), Leaving: e.leaving,
		Running: running, Slots: e.config.Slots, Models: []upstream.ModelPin{e.config.Pin},
	}, nil
}

// generate produces the stream's tokens until its end.
func (e *FakeEngine) generate(s *fakeStream) {
	delay := e.config.FirstTokenDelay
	for {
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-s.stop:
			timer.Stop()
			return
		}
		if !e.produce(s) {
			return
		}
		delay = e.config.TokenInterval
	}
}

// produce adds one token or the end; it reports whether the stream continues.
func (e *FakeEngine) produce(s *fakeStream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.paused && !s.stopped {
		e.wait(context.Background())
	}
	if s.stopped {
		return false
	}
	defer e.broadcast()
	if int64(len(s.texts)) >= s.request.MaxTokens {
		s.done = true
		return false
	}
	nonce := e.config.Nonce
	if e.config.Greedy && s.request.Sampling.Temperature == 0 {
		nonce = 0
	}
	s.add(TokenText(s.request.Prompt, s.pin, s.digester.PrefixDigest(), nonce))
	s.done = int64(len(s.texts)) >= s.request.MaxTokens
	return !s.done
}

// awaitAlive blocks while the engine is paused, like a stopped process.
func (e *FakeEngine) awaitAlive(ctx context.Context) error {
	for e.paused && !e.exited {
		if err := e.wait(ctx); err != nil {
			return err
		}
	}
	if e.exited {
		return upstream.ErrUnreachable
	}
	return ctx.Err()
}

// wait releases the lock until the engine's state changes.
func (e *FakeEngine) wait(ctx context.Context) error {
	changed := e.changed
	e.mu.Unlock()
	defer e.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *FakeEngine) broadcast() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *FakeEngine) currentIncarnation() upstream.Incarnation {
	return upstream.Incarnation(fmt.Sprintf("%s#%d", e.config.Target.ID, e.incarnation))
}
