package configuration_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/platform/platformhttp"
	"foxtailhub.example/foxtailhub/internal/standin"
)

const (
	httpOperators = 3
	httpPatches   = 8
)

// submitUntilSettled submits like an operator's tool: it resubmits the same patch
// after an uncertain result and uses the new base after a conflict.
func submitUntilSettled(ctx context.Context, a *configuration.Acceptor, id, workspace string) error {
	var base configuration.Version
	for ctx.Err() == nil {
		switch r := a.Submit(ctx, workspacePatch(id, base, workspace)); r.Status {
		case configuration.StatusAccepted:
			return nil
		case configuration.StatusConflict:
			base = r.Version
		case configuration.StatusInvalid:
			return fmt.Errorf("patch %s with base %d: %s", id, base, r.Message)
		}
	}
	return ctx.Err()
}

// Guards against patches that are lost or accepted twice when the HTTP adapter
// uses a store that loses a third of its responses after taking effect.
func TestAcceptanceOverHTTP(t *testing.T) {
	g := NewWithT(t)
	platform := standin.NewPlatform(standin.PlatformConfig{Seed: 1})
	server := httptest.NewServer(platform)
	defer server.Close()
	platform.Faults().Set(standin.Fault{DropResponseRate: 0.3})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for operator := range httpOperators {
		acceptor := configuration.NewAcceptor(configuration.AcceptorConfig{
			Store:         configuration.NewStore(platformhttp.NewTableService(platformhttp.Config{Address: server.URL})),
			Holder:        configuration.NewHolder(),
			CheckMajority: anyRoster,
			Publish:       func(context.Context, *configuration.Snapshot) error { return nil },
			Log:           quietLog(),
		})
		wg.Go(func() {
			for i := range httpPatches {
				id := fmt.Sprintf("w%d-%d", operator, i)
				g.Expect(submitUntilSettled(ctx, acceptor, id, id)).To(Succeed())
			}
		})
	}
	wg.Wait()
	platform.Faults().Set(standin.Fault{})
	history, err := configuration.NewStore(platformhttp.NewTableService(platformhttp.Config{Address: server.URL})).History(ctx, 100)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(history).To(HaveLen(httpOperators * httpPatches))
	g.Expect(history[0].Document.Workspaces).To(HaveLen(httpOperators * httpPatches))
}
