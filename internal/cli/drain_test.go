package cli_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/cli"
)

// Guards against a drain that is reported as failed because the instance exited
// between two status requests.
func TestDrainWaitEndsWithTheInstance(t *testing.T) {
	g := NewWithT(t)
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"draining":true,"generations":1,"calls":0}`))
		_ = server.Listener.Close()
	}))
	defer server.Close()
	var out, errOut bytes.Buffer
	code := cli.Run(t.Context(), cli.IOStreams{Stdout: &out, Stderr: &errOut}, []string{"drain", "-wait", "-endpoints", server.URL})
	g.Expect(code).To(Equal(cli.ExitOK), errOut.String())
	g.Expect(out.String()).To(Equal("draining=true generations=1 calls=0\nexited\n"))
}

// Guards against an unreachable instance that is reported as drained.
func TestDrainOfUnreachableInstanceFails(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	var out, errOut bytes.Buffer
	code := cli.Run(t.Context(), cli.IOStreams{Stdout: &out, Stderr: &errOut}, []string{"drain", "-wait", "-endpoints", server.URL})
	g.Expect(code).To(Equal(cli.ExitFailed))
	g.Expect(out.String()).To(BeEmpty())
}
