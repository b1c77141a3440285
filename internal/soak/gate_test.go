package soak

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/link/linktest"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

var errProcessExited = errors.New("the process has exited")

// gate controls the interfaces of one process of an instance: they block while the
// process is paused and fail after it has exited.
type gate struct {
	exited              chan struct{}
	platformUnreachable atomic.Bool // table service and instance list fail

	mu      sync.Mutex    // guards resumed
	resumed chan struct{} // nil while the process runs
}

func newGate() *gate { return &gate{exited: make(chan struct{})} }

// awaitRunning waits while the process is paused; it fails with errProcessExited.
func (g *gate) awaitRunning() error {
	for {
		g.mu.Lock()
		resumed := g.resumed
		g.mu.Unlock()
		if resumed == nil {
			break
		}
		<-resumed
	}
	select {
	case <-g.exited:
		return errProcessExited
	default:
		return nil
	}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

func (g *gate) kill() {
	close(g.exited)
	g.resume()
}

// failIfExited returns failure if the process has exited, else err.
func (g *gate) failIfExited(err, failure error) error {
	if g.awaitRunning() != nil {
		return failure
	}
	return err
}

type gatedTable struct {
	*gate
	platform.TableService
}

func (t gatedTable) unavailable() bool {
	return t.awaitRunning() != nil || t.platformUnreachable.Load()
}

func (t gatedTable) Read(ctx context.Context, key string) (platform.Row, error) {
	if t.unavailable() {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, err := t.TableService.Read(ctx, key)
	return row, t.failIfExited(err, platform.ErrUnavailable)
}

func (t gatedTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if t.unavailable() {
		return nil, platform.ErrUnavailable
	}
	rows, err := t.TableService.List(ctx, prefix, after, limit)
	return rows, t.failIfExited(err, platform.ErrUnavailable)
}

func (t gatedTable) Commit(ctx context.Context, transactions []platform.Transaction) ([]platform.CommitResult, error) {
	if t.unavailable() {
		return nil, platform.ErrUnavailable
	}
	results, err := t.TableService.Commit(ctx, transactions)
	return results, t.failIfExited(err, platform.ErrUncertain)
}

type gatedList struct {
	*gate
	platform.InstanceList
}

func (l gatedList) List(ctx context.Context) (platform.List, error) {
	if l.awaitRunning() != nil || l.platformUnreachable.Load() {
		return platform.List{}, platform.ErrUnavailable
	}
	return l.InstanceList.List(ctx)
}

func (l gatedList) Register(ctx context.Context, entry platform.ListEntry) error {
	if l.awaitRunning() != nil || l.platformUnreachable.Load() {
		return platform.ErrUnavailable
	}
	return l.InstanceList.Register(ctx, entry)
}

func (l gatedList) Deregister(ctx context.Context, id string) error {
	if l.awaitRunning() != nil || l.platformUnreachable.Load() {
		return platform.ErrUnavailable
	}
	return l.InstanceList.Deregister(ctx, id)
}

// gatedEngines dials the fake engines through the gate.
type gatedEngines struct {
	*gate
	upstream.EngineDialer
}

func (d gatedEngines) Engine(target upstream.Target) upstream.Engine {
	return gatedEngine{d.gate, d.EngineDialer.Engine(target)}
}

type gatedEngine struct {
	*gate
	upstream.Engine
}

func (e gatedEngine) Start(ctx context.Context, request upstream.StreamRequest) (upstream.Stream, error) {
	return e.open(func() (upstream.Stream, error) { return e.Engine.Start(ctx, request) })
}

func (e gatedEngine) Resume(ctx context.Context, id upstream.StreamID, from contract.Position) (upstream.Stream, error) {
	return e.open(func() (upstream.Stream, error) { return e.Engine.Resume(ctx, id, from) })
}

func (e gatedEngine) open(connect func() (upstream.Stream, error)) (upstream.Stream, error) {
	if e.awaitRunning() != nil {
		return nil, upstream.ErrUnreachable
	}
	stream, err := connect()
	if err = e.failIfExited(err, upstream.ErrConnectionLost); err != nil {
		return nil, err
	}
	return gatedStream{e.gate, stream}, nil
}

func (e gatedEngine) Cancel(ctx context.Context, id upstream.StreamID) error {
	if e.awaitRunning() != nil {
		return upstream.ErrUnreachable
	}
	return e.Engine.Cancel(ctx, id)
}

func (e gatedEngine) Load(ctx context.Context) (upstream.LoadReport, error) {
	if e.awaitRunning() != nil {
		return upstream.LoadReport{}, upstream.ErrUnreachable
	}
	report, err := e.Engine.Load(ctx)
	return report, e.failIfExited(err, upstream.ErrUnreachable)
}

type gatedStream struct {
	*gate
	upstream.Stream
}

func (s gatedStream) Next(ctx context.Context) (upstream.StreamEvent, error) {
	event, err := s.Stream.Next(ctx)
	return event, s.failIfExited(err, upstream.ErrConnectionLost)
}

// gatedLink is an instance.Transport over the simulated network.
type gatedLink struct {
	*gate
	*linktest.Transport
}

func (l gatedLink) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (l gatedLink) Address() string   { return "" }
func (l gatedLink) Stats() link.Stats { return link.Stats{} }

func (l gatedLink) Request(ctx context.Context, peer contract.InstanceID, kind link.MessageType, body []byte) ([]byte, error) {
	if err := l.awaitRunning(); err != nil {
		return nil, err
	}
	response, err := l.Transport.Request(ctx, peer, kind, body)
	return response, l.failIfExited(err, errProcessExited)
}

func (l gatedLink) OpenStream(ctx context.Context, peer contract.InstanceID, kind link.MessageType, body []byte) (link.FrameReader, error) {
	if err := l.awaitRunning(); err != nil {
		return nil, err
	}
	frames, err := l.Transport.OpenStream(ctx, peer, kind, body)
	if err != nil {
		return nil, err
	}
	return gatedFrames{l.gate, frames}, nil
}

type gatedFrames struct {
	*gate
	link.FrameReader
}

func (f gatedFrames) Next(ctx context.Context) ([]byte, error) {
	frame, err := f.FrameReader.Next(ctx)
	return frame, f.failIfExited(err, errProcessExited)
}

func (l gatedLink) Handle(kind link.MessageType, handler link.Handler) {
	l.Transport.Handle(kind, func(ctx context.Context, peer contract.InstanceID, body []byte) ([]byte, error) {
		if err := l.awaitRunning(); err != nil {
			return nil, err
		}
		response, err := handler(ctx, peer, body)
		return response, l.failIfExited(err, errProcessExited)
	})
}

func (l gatedLink) HandleStream(kind link.MessageType, handler link.StreamHandler) {
	l.Transport.HandleStream(kind, func(
		ctx context.Context, peer contract.InstanceID, body []byte, send func([]byte) error,
	) error {
		if err := l.awaitRunning(); err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			select {
			case <-l.exited:
				cancel()
			case <-ctx.Done():
			}
		}()
		return handler(ctx, peer, body, func(frame []byte) error {
			if err := l.awaitRunning(); err != nil {
				return err
			}
			return send(frame)
		})
	})
}
