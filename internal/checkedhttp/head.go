package checkedhttp

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes bounds the heads of a response, including interim ones, if the transport sets no other bound.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of a head. A decoded field takes many times its bytes, and a
	// server may hold the rest of the head back while each request waits for it.
	maxHeadLines = 256
	// scannedLineBytes is the part of a line that is looked at.
	scannedLineBytes = 64
)

// headScanner follows the head of a response as its bytes arrive. It finds the end of the head as
// net/http does: at the first empty line, whether its lines end with CRLF or LF.
type headScanner struct {
	active  bool   // the next byte belongs to a head
	interim bool   // the current head is of an interim response, which another head follows
	old     bool   // the version of the current head is older than HTTP/1.1
	lines   int    // complete lines of the current head
	line    []byte // beginning of the current line
}

// start expects the head of the next response.
func (s *headScanner) start() { *s = headScanner{active: true, line: s.line[:0]} }

// scan looks at the next bytes of the connection. It returns how many of them may be read: those up to the
// end of an invalid line, because the parser would take a part of a line for a whole one.
func (s *headScanner) scan(data []byte) (readable int, err error) {
	for i, b := range data {
		switch {
		case !s.active:
			return len(data), nil
		case b == '\n':
			if err := s.endLine(); err != nil {
				return i + 1, err
			}
		case len(s.line) < scannedLineBytes:
			s.line = append(s.line, b)
		}
	}
	return len(data), nil
}

func (s *headScanner) endLine() error {
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	s.line = s.line[:0]
	s.lines++
	switch {
	case len(line) == 0:
		s.active, s.lines = s.interim, 0
	case s.lines == 1:
		s.interim, s.old = isInterim(line), bytes.Compare(line, []byte("HTTP/1.1")) < 0
	case s.lines > maxHeadLines:
		return errors.Wrapf(ErrInvalidResponse, "head has more than %d lines", maxHeadLines)
	case s.old && isTransferCoding(line):
		return errors.Wrap(ErrInvalidResponse, "response of HTTP/1.0 with a transfer coding")
	}
	return nil
}

// isTransferCoding reports whether a line is the field Transfer-Encoding. In a response of HTTP/1.0 it makes
// the framing faulty (RFC 9112, section 6.1), but net/http ignores and removes it there.
func isTransferCoding(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return bytes.EqualFold(name, []byte("Transfer-Encoding"))
}

// isInterim reports whether a status line is that of an interim response (RFC 9110, section 15.2).
// After 101 no other response follows.
func isInterim(statusLine []byte) bool {
	_, status, _ := bytes.Cut(statusLine, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}
