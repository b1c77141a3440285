package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// countingRecorder counts the writes of the response.
type countingRecorder struct {
	*httptest.ResponseRecorder
	writes atomic.Int64
}

func (w *countingRecorder) Write(p []byte) (int, error) {
	w.writes.Add(1)
	return w.ResponseRecorder.Write(p)
}

func newTestServer() *Server {
	return NewServer(ServerConfig{
		ID: "engine-1", Engine: true, Slots: 8, WorkDuration: 50 * time.Millisecond, EventInterval: 20 * time.Millisecond,
		RunLog: io.Discard, Exit: func(int) {},
	})
}

func injectFault(g Gomega, s *Server, fault ServerFault) {
	body, err := json.Marshal(fault)
	g.Expect(err).NotTo(HaveOccurred())
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, faultPath, strings.NewReader(string(body))))
	g.Expect(w.Code).To(Equal(http.StatusOK))
}

func streamRequest(ctx context.Context, body string, events int, parts ...PromptPart) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/draft/x", strings.NewReader(body))
	Attempt{ID: "r", Stream: &StreamRequest{OutputTokens: events * tokensPerEvent, PromptParts: parts}}.SetHeader(r.Header)
	return r
}

// Guards against a silent server that answers health checks or load reports, or loses a request.
func TestSilentServerAnswersNothingAndGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const silence = 1200 * time.Millisecond
		s := newTestServer()
		w := &countingRecorder{ResponseRecorder: httptest.NewRecorder()}
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			s.ServeHTTP(w, streamRequest(t.Context(), "prompt", 20))
		}()
		time.Sleep(205 * time.Millisecond)
		injectFault(g, s, ServerFault{SilenceMS: int(silence.Milliseconds())})
		start := time.Now()
		before := w.writes.Load()
		g.Expect(before).To(BeNumerically(">", 0))
		for _, path := range []string{"/healthz", "/v1/report", "/draft/y"} {
			go func() {
				s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
				if time.Since(start) < silence {
					t.Errorf("%s was answered after %v", path, time.Since(start))
				}
			}()
		}
		time.Sleep(silence / 2)
		injectFault(g, s, ServerFault{})
		time.Sleep(silence/2 - time.Millisecond)
		g.Expect(w.writes.Load()).To(Equal(before), "events written during the silence")
		<-finished
		synctest.Wait()
		g.Expect(w.writes.Load()).To(BeEquivalentTo(20))
	})
}
