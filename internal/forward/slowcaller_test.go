package forward

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/route"
)

// slowWriter takes a response at a fixed rate, and fails a write at its deadline.
type slowWriter struct {
	*httptest.ResponseRecorder
	bytesPerSecond int
	deadline       time.Time
}

func (w *slowWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

func (w *slowWriter) Write(p []byte) (int, error) {
	took := time.Duration(float64(len(p)) / float64(w.bytesPerSecond) * float64(time.Second))
	if left := time.Until(w.deadline); took > left {
		time.Sleep(left)
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(took)
	return w.ResponseRecorder.Write(p)
}

// Guards against cutting off the answer to a caller that reads it slowly, at the time limit for callers that do not read.
func TestSlowCallerGetsWholeAnswer(t *testing.T) {
	for _, length := range []int{bufferedResponseBytes, 3 * bufferedResponseBytes} {
		inVirtualTime(t, func(t *testing.T) {
			r := route.Route{Kind: route.Idempotent, MaxAttempts: 1, Timeout: 10 * time.Second}
			h := newHarness(t, r, false, "a")
			answer := strings.Repeat("x", length)
			h.setBehaviour(respondWith(http.StatusOK, answer), "a")
			request := httptest.NewRequest(http.MethodPost, "http://host/path/", strings.NewReader("body"))
			request.Header.Set("Id", "request-1")
			w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), bytesPerSecond: 64 << 10}
			h.f.ServeHTTP(w, request)
			h.g.Expect(w.Code).To(Equal(http.StatusOK))
			h.g.Expect(w.Body.String() == answer).To(BeTrue())
		})
	}
}

// Guards against an answer that occupies its memory and connection while its caller does not read.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := route.Route{Kind: route.Idempotent, MaxAttempts: 1, Timeout: 10 * time.Second}
		h := newHarness(t, r, false, "a")
		h.setBehaviour(respondWith(http.StatusOK, strings.Repeat("x", bufferedResponseBytes)), "a")
		request := httptest.NewRequest(http.MethodPost, "http://host/path/", strings.NewReader("body"))
		request.Header.Set("Id", "request-1")
		began := time.Now()
		h.f.ServeHTTP(&slowWriter{ResponseRecorder: httptest.NewRecorder(), bytesPerSecond: 1}, request)
		h.g.Expect(time.Since(began)).To(Equal(writeTimeout))
	})
}
