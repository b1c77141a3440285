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
	// freeEventBytes is the part of an event that is not counted as memory for bodies,
	// since each stream holds one such event.
	uncountedEventBytes = 4 << 10
)

var (
	errTruncatedEvent = errors.New("the stream ended within an event")
	errEventTooLong   = errors.New("an event is too long")
)

// event is one event of a stream with its bytes as the upstream sent them.
type event struct {
	raw      []byte
	id       int64
	numbered bool // it has an id
	data     bool // it has data: it is more than a comment
	reserved int  // bytes of memory for bodies
}

// eventReader splits a stream into whole events.
type eventReader struct {
	r      *bufio.Reader
	memory *reservation
}

func newEventReader(r io.Reader, memory *reservation) *eventReader {
	return &eventReader{r: bufio.NewReader(r), memory: memory}
}

// grow adds bytes to an event. Its memory is given back by release.
func (e *eventReader) appendLine(out *event, line []byte) error {
	size := len(out.raw) + len(line)
	if size > maxEventBytes {
		return errEventTooLong
	}
	if excess := size - uncountedEventBytes - out.reserved; excess > 0 {
		if !e.memory.reserve(excess) {
			return errMemoryExhausted
		}
		out.reserved += excess
	}
	out.raw = append(out.raw, line...)
	return nil
}

// release gives back the memory of an event.
func (e *event) release(memory *reservation) {
	memory.release(e.reserved)
	e.reserved = 0
}

// next returns the next whole event. io.EOF means that the stream ended after
// a whole event.
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
			return event{}, errTruncatedEvent
		case err != nil:
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
	e.data = e.data || bytes.HasPrefix(line, []byte("data"))
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return // an id that is no number orders nothing
	}
	e.id = id
	e.numbered = true
}
