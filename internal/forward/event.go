package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes bounds one event. Events hold a few tokens.
	maxEventBytes = 64 << 10
	// uncountedEventBytes is the part of an event that is not counted as memory for
	// bodies, since each stream holds one such event.
	uncountedEventBytes = 4 << 10
)

var (
	errTruncatedEvent = errors.New("stream ended within an event")
	errEventTooLong   = errors.New("event exceeds the maximum size")
)

// event is one event of a stream, with its raw bytes as sent by the upstream.
type event struct {
	raw           []byte
	id            int64
	numbered      bool
	hasData       bool // it has a data field, so it is not only a comment
	reservedBytes int  // reserved bytes of memory for bodies
	slot          bool // it holds an event slot instead of further bytes
}

// eventReader splits a stream into complete events.
type eventReader struct {
	r      *bufio.Reader
	memory *reservation
}

func newEventReader(r io.Reader, memory *reservation) *eventReader {
	return &eventReader{r: bufio.NewReader(r), memory: memory}
}

// appendLine adds a line to an event and waits for the memory, which release frees.
func (e *eventReader) appendLine(out *event, line []byte) error {
	size := len(out.raw) + len(line)
	if size > maxEventBytes {
		return errEventTooLong
	}
	excess := size - uncountedEventBytes - out.reservedBytes
	if excess > 0 && !out.slot && !e.memory.reserveForEvent(out, excess) {
		return errMemoryExhausted
	}
	out.raw = append(out.raw, line...)
	return nil
}

// release frees the reserved memory of an event.
func (e *event) release(memory *reservation) {
	memory.release(e.reservedBytes)
	if e.slot {
		memory.releaseSlot()
	}
	e.reservedBytes, e.slot = 0, false
}

// next returns the next complete event. io.EOF means that the stream ended after a
// complete event.
func (e *eventReader) next() (event, error) {
	var out event
	for {
		line, err := e.r.ReadSlice('\n')
		if appendErr := e.appendLine(&out, line); appendErr != nil {
			out.release(e.memory)
			return event{}, appendErr
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(out.raw) == 0:
			return event{}, io.EOF
		case errors.Is(err, io.EOF):
			out.release(e.memory)
			return event{}, errTruncatedEvent
		case err != nil:
			out.release(e.memory)
			return event{}, errors.Wrap(err, "read event")
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			return out, nil
		}
		out.parse(content)
	}
}

func (e *event) parse(line []byte) {
	e.hasData = e.hasData || bytes.HasPrefix(line, []byte("data"))
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return // an id that is not a number gives no order
	}
	e.id = id
	e.numbered = true
}
