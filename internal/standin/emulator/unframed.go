package emulator

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
)

// unframedWriter writes a response with neither a length nor chunks to a connection that it
// has taken over. A whole response ends with Close.
type unframedWriter struct {
	conn     net.Conn
	header   http.Header
	kind     string
	stream   bool
	began    bool  // the head is written
	writes   int   // of the body, so events of a stream
	cutError error // the response was cut, or a write failed
}

// newUnframedWriter takes over the connection of a response.
func newUnframedWriter(w http.ResponseWriter, kind string, stream bool) (*unframedWriter, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	return &unframedWriter{conn: conn, header: w.Header(), kind: kind, stream: stream}, nil
}

func (w *unframedWriter) Header() http.Header { return w.header }

func (w *unframedWriter) WriteHeader(status int) {
	if w.began {
		return
	}
	w.began = true
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status)) // never fails
	_ = w.header.Write(&head)                                                        // likewise
	head.WriteString("\r\n")
	_, w.cutError = w.conn.Write(head.Bytes())
}

// Write writes a part of the body. It cuts the response in the middle of the part if that is
// the fault: a stream after some events, another response in its first part.
func (w *unframedWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.cutError != nil {
		return 0, w.cutError
	}
	w.writes++
	cut := w.kind == UnframedReset && !w.stream || w.kind != UnframedWhole && w.stream && w.writes > eventsBeforeStall
	if !cut {
		n, err := w.conn.Write(p)
		w.cutError = err
		return n, err
	}
	w.cutError = net.ErrClosed
	n, _ := w.conn.Write(p[:len(p)/2]) // the connection ends in any case
	if tcp, ok := w.conn.(interface{ SetLinger(seconds int) error }); ok && w.kind == UnframedReset {
		_ = tcp.SetLinger(0) // so that Close resets; fails only if the connection is already closed
	}
	_ = w.conn.Close()
	return n, w.cutError
}

// FlushError implements the flush of http.ResponseController; nothing is buffered.
func (w *unframedWriter) FlushError() error { return w.cutError }

// Close ends the response.
func (w *unframedWriter) Close() { _ = w.conn.Close() } // the response may have been cut
