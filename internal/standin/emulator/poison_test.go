package emulator

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a poison part that crashes a server before it has computed the prompt, or
// only at one stage of the response, and against crashes by other prompts.
func TestPoisonPartCrashesServerThatBeginsToWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const crashed = "crashed"
		run := func(body string, parts ...PromptPart) (ended any, took time.Duration, response *httptest.ResponseRecorder) {
			s := newTestServer()
			s.config.Exit = func(int) { panic(crashed) }
			response = httptest.NewRecorder()
			start := time.Now()
			defer func() {
				ended, took = recover(), time.Since(start)
			}()
			s.ServeHTTP(response, streamRequest(t.Context(), body, 3, parts...))
			return
		}
		stages := map[string]bool{}
		for n := range 20 {
			ended, took, response := run(fmt.Sprint("prompt ", n), PromptPart{ID: "shared", Tokens: 1}, PromptPart{ID: PoisonPartPrefix + "-1", Tokens: 1}, PromptPart{ID: "own", Tokens: 1})
			g.Expect(ended).To(Equal(crashed))
			g.Expect(took).To(Equal(50 * time.Millisecond))
			stages[fmt.Sprint(response.Flushed, response.Body.Len() > 0)] = true
		}
		g.Expect(stages).To(HaveLen(3))
		ended, _, response := run("prompt 0", PromptPart{ID: "shared", Tokens: 1}, PromptPart{ID: "own", Tokens: 1})
		g.Expect(ended).To(BeNil())
		g.Expect(response.Code).To(Equal(http.StatusOK))
	})
}
