package platformhttp_test

import (
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/platform/platformhttp"
	"foxtailhub.example/foxtailhub/internal/rawserver"
)

// serveBytes returns the address of a server that answers with bytes, and repeats some without end unless they
// are empty.
func serveBytes(t *testing.T, response, repeated string) string {
	listener, err := rawserver.Listen(rawserver.Loopback, rawserver.Respond(response, repeated))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// Guards against an instance that keeps the responses of a platform's service that never end until it
// is out of memory: each may have 64 MiB, and many are read at the same time.
func TestEndlessResponsesUseLittleMemory(t *testing.T) {
	const (
		calls         = 32
		machineMemory = 256 << 20
	)
	g := NewWithT(t)
	address := serveBytes(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10))
	table := platformhttp.NewTableService(platformhttp.Config{Address: "http://" + address, Timeout: 10 * time.Second})
	var before, afterwards runtime.MemStats
	runtime.ReadMemStats(&before)
	var running sync.WaitGroup
	for range calls {
		running.Go(func() {
			_, err := table.Read(t.Context(), "key")
			g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue(), "%v", err)
			_, err = table.Commit(t.Context(), insert("key", "value"))
			g.Expect(errors.Is(err, platform.ErrUncertain)).To(BeTrue(), "%v", err)
		})
	}
	running.Wait()
	runtime.ReadMemStats(&afterwards)
	t.Logf("%d MiB more from the operating system", (afterwards.Sys-before.Sys)>>20)
	g.Expect(afterwards.Sys - before.Sys).To(BeNumerically("<", machineMemory))

	long := strings.Repeat("x", 1<<20)
	address = serveBytes(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+long, "")
	objects := platformhttp.NewObjectStore(platformhttp.Config{Address: "http://" + address, Timeout: 10 * time.Second})
	for range 2 * calls { // also after responses that were given up
		got, err := objects.Get(t.Context(), "name")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(got)).To(Equal(len(long)))
	}
}
