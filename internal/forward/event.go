package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the memory of one event. Events hold a few tokens.
const maxEventBytes = 1 << 20

var (
	errCutEvent = errors.New("the stream ended within an event")
	errLongLine = errors.New("an event is too long")
)

// event is one event of a stream with its bytes as the upstream sent them.
type event struct {
	raw      []byte
	id       int64
	numbered bool // it has an id
}

// eventReader splits a stream into whole events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

// next returns the next whole event. io.EOF means that the stream ended after
// a whole event.
func (e *eventReader) next() (event, error) {
	var out event
	for {
		line, err := e.r.ReadSlice('\n')
		out.raw = append(out.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(out.raw) > maxEventBytes {
				return event{}, errLongLine
			}
			continue
		case errors.Is(err, io.EOF) && len(out.raw) == 0:
			return event{}, io.EOF
		case errors.Is(err, io.EOF):
			return event{}, errCutEvent
		case err != nil:
			return event{}, errors.Wrap(err, "read event")
		}
		if len(out.raw) > maxEventBytes {
			return event{}, errLongLine
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			return out, nil
		}
		out.parse(content)
	}
}

func (e *event) parse(line []byte) {
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
