// Package logsink writes log lines asynchronously and with a limited rate.
//
// The package must never block a caller of Write and must report how many lines
// it dropped.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueCapacity is the maximum number of lines queued for the output, about 1 MB.
	queueCapacity = 4096
	// maxLineBytes bounds a line, since errors quote what other programs sent.
	maxLineBytes = 16 << 10
	// cutMark ends a line that was cut.
	cutMark = " (cut)"
	// reportInterval is the time between reports of dropped lines.
	reportInterval = time.Second
)

// Sink is an io.Writer for whole lines. It is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes at most linesPerSecond lines per second, with
// bursts of twice as many.
func New(out io.Writer, linesPerSecond int) *Sink {
	s := &Sink{
		lines:   make(chan []byte, queueCapacity),
		limiter: rate.NewLimiter(rate.Limit(linesPerSecond), 2*linesPerSecond),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go s.run(out)
	return s
}

// Write queues a line, or drops it if the rate is exceeded or the queue is full.
// It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limiter.Allow() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- cut(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// cut returns a copy of a line, without what exceeds maxLineBytes.
func cut(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return bytes.Clone(line)
	}
	return append(bytes.ToValidUTF8(line[:maxLineBytes], nil), cutMark+"\n"...)
}

// Close writes the queued lines and stops the sink.
func (s *Sink) Close() {
	close(s.stop)
	<-s.done
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			_, _ = out.Write(line) // errors cannot be reported anywhere
		case <-ticker.C:
			s.reportDropped(out)
		case <-s.stop:
			s.flush(out)
			return
		}
	}
}

func (s *Sink) flush(out io.Writer) {
	for {
		select {
		case line := <-s.lines:
			_, _ = out.Write(line)
		default:
			s.reportDropped(out)
			return
		}
	}
}

func (s *Sink) reportDropped(out io.Writer) {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, "time=%q level=warning msg=\"log lines dropped\" lines=%d\n", time.Now().Format(time.RFC3339Nano), n)
	}
}
