package checkedhttp

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// EndsWithConnection reports whether only the end of its connection ends a response.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Close && response.Body != http.NoBody
}

// unframedBody is the body of a response that ends with its connection. Such a response is complete
// unless the connection indicates an error (RFC 9112, section 8). A server that closes its connection
// before it has read the request may have failed, and its reset may follow the end of the data.
type unframedBody struct {
	io.ReadCloser
	ctx     context.Context // of the request
	written <-chan error    // result of writing the request; the transport ends the writing at the end of the data
	end     error           // result of reads from now on; nil: the data has not ended
}

// Read reads from the body.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.checkRequest()
		b.end = err
	}
	return n, err
}

// checkRequest returns io.EOF if the request has been written.
func (b *unframedBody) checkRequest() error {
	select {
	case err := <-b.written:
		if err != nil {
			return errors.Wrapf(io.ErrUnexpectedEOF, "response without a length ended before the request was sent: %v", err)
		}
		return io.EOF
	case <-b.ctx.Done():
		return context.Cause(b.ctx)
	}
}
