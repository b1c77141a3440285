package upstreamtest

import (
	"context"
	"sync/atomic"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// SeverableDialer cuts one instance off from all engines: new connections fail,
// open ones are lost at their next event.
type SeverableDialer struct {
	dialer  upstream.EngineDialer
	severed atomic.Bool
}

// NewSeverableDialer returns a dialer that is connected.
func NewSeverableDialer(dialer upstream.EngineDialer) *SeverableDialer {
	return &SeverableDialer{dialer: dialer}
}

// SetSevered cuts the instance off, or reconnects it.
func (d *SeverableDialer) SetSevered(on bool) { d.severed.Store(on) }

// Engine returns the engine at a target.
func (d *SeverableDialer) Engine(target upstream.Target) upstream.Engine {
	return severableEngine{engine: d.dialer.Engine(target), dialer: d}
}

type severableEngine struct {
	engine upstream.Engine
	dialer *SeverableDialer
}

// Start starts a stream unless the instance is cut off.
func (e severableEngine) Start(ctx context.Context, request upstream.StreamRequest) (upstream.Stream, error) {
	if e.dialer.severed.Load() {
		return nil, upstream.ErrUnreachable
	}
	s, err := e.engine.Start(ctx, request)
	return severableStream{s, e.dialer}, err
}

// Resume resumes a stream unless the instance is cut off.
func (e severableEngine) Resume(
	ctx context.Context, id upstream.StreamID, from contract.Position,
) (upstream.Stream, error) {
	if e.dialer.severed.Load() {
		return nil, upstream.ErrUnreachable
	}
	s, err := e.engine.Resume(ctx, id, from)
	return severableStream{s, e.dialer}, err
}

// Cancel cancels a stream unless the instance is cut off.
func (e severableEngine) Cancel(ctx context.Context, id upstream.StreamID) error {
	if e.dialer.severed.Load() {
		return upstream.ErrUnreachable
	}
	return e.engine.Cancel(ctx, id)
}

// Load returns the load report unless the instance is cut off.
func (e severableEngine) Load(ctx context.Context) (upstream.LoadReport, error) {
	if e.dialer.severed.Load() {
		return upstream.LoadReport{}, upstream.ErrUnreachable
	}
	return e.engine.Load(ctx)
}

type severableStream struct {
	upstream.Stream
	dialer *SeverableDialer
}

// Next returns the next event unless the instance is cut off.
func (s severableStream) Next(ctx context.Context) (upstream.StreamEvent, error) {
	event, err := s.Stream.Next(ctx)
	if s.dialer.severed.Load() {
		return upstream.StreamEvent{}, upstream.ErrConnectionLost
	}
	return event, err
}
