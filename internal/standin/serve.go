package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// faultPath is the path of the fault switch of each stand-in.
	faultPath         = "/fault"
	readHeaderTimeout = 10 * time.Second
)

type connKey struct{}

// Serve serves HTTP until ctx ends and then closes the listener and all
// connections. If the listener is a Listener, faults do not affect connections
// that carry a request to /fault, so that its sender gets a response.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           exemptControl(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// exemptControl exempts the connections of control requests from faults and
// closes them after the response, so that no other request uses them.
func exemptControl(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == faultPath {
			w.Header().Set("Connection", "close")
			if c, ok := r.Context().Value(connKey{}).(*conn); ok {
				c.setControl()
			}
		}
		next.ServeHTTP(w, r)
	})
}
