package emulator

import (
	"net/http"
	"time"
)

// awaitSilenceEnd waits until the server is not silent. It also waits if the caller
// disconnects, because a paused process does not notice that.
func (s *Server) awaitSilenceEnd() {
	for s.isSilent() {
		s.mu.Lock()
		end := s.silentUntil
		s.mu.Unlock()
		time.Sleep(time.Until(end))
	}
}

func (s *Server) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silentUntil)
}

// silenceableWriter delays output until the server is not silent.
type silenceableWriter struct {
	http.ResponseWriter
	server *Server
}

func (w *silenceableWriter) Write(p []byte) (int, error) {
	w.server.awaitSilenceEnd()
	return w.ResponseWriter.Write(p)
}

func (w *silenceableWriter) WriteHeader(status int) {
	w.server.awaitSilenceEnd()
	w.ResponseWriter.WriteHeader(status)
}

// FlushError implements the flush of http.ResponseController.
func (w *silenceableWriter) FlushError() error {
	w.server.awaitSilenceEnd()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the inner writer for http.ResponseController.
func (w *silenceableWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
