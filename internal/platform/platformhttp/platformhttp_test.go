package platformhttp_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/platform/platformhttp"
	"foxtailhub.example/foxtailhub/internal/standin"
)

func newPlatform(t *testing.T, cfg standin.PlatformConfig) (*standin.Platform, platformhttp.Config) {
	p := standin.NewPlatform(cfg)
	server := httptest.NewServer(p)
	t.Cleanup(func() {
		p.Faults().Set(standin.Fault{})
		server.Close()
	})
	return p, platformhttp.Config{Address: server.URL, Timeout: 200 * time.Millisecond}
}

func insert(key, value string) []platform.Transaction {
	return []platform.Transaction{{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: []byte(value)}},
	}}
}

// Guards against transactions whose conditions are ignored, and rows altered by
// the JSON encoding.
func TestTable(t *testing.T) {
	g := NewWithT(t)
	p, cfg := newPlatform(t, standin.PlatformConfig{})
	table := platformhttp.NewTableService(cfg)
	_, err := table.Read(t.Context(), "a/1")
	g.Expect(errors.Is(err, platform.ErrNotFound)).To(BeTrue())

	results, err := table.Commit(t.Context(), append(insert("a/1", "x\x00"), insert("a/1", "y")...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(results[0].Applied).To(BeTrue())
	g.Expect(results[1].Applied).To(BeFalse())
	row, err := table.Read(t.Context(), "a/1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row).To(Equal(platform.Row{Key: "a/1", Value: []byte("x\x00"), Revision: results[0].Revision}))

	for _, key := range []string{"a/3", "a/2", "b/1"} {
		_, err = table.Commit(t.Context(), insert(key, ""))
		g.Expect(err).NotTo(HaveOccurred())
	}
	rows, err := table.List(t.Context(), "a/", "a/1", 5)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveExactElements(HaveField("Key", "a/2"), HaveField("Key", "a/3")))
	rows, err = table.List(t.Context(), "", "", 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveLen(2))

	_, err = table.Commit(t.Context(), []platform.Transaction{{Writes: []platform.Write{{Key: "a/2"}}}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = table.Read(t.Context(), "a/2")
	g.Expect(errors.Is(err, platform.ErrNotFound)).To(BeTrue())
	g.Expect(p.Counters()).To(And(HaveField("Rows", int64(3)), HaveField("Writes", int64(5)), HaveField("Reads", int64(5))))
}

// Guards against ErrUnavailable for a write that took effect, and ErrUncertain for
// a write that certainly had no effect.
func TestWriteErrors(t *testing.T) {
	for name, c := range map[string]struct {
		fault     standin.Fault
		uncertain bool
		applied   bool
	}{
		"refused":     {standin.Fault{Refuse: true}, false, false},
		"answer lost": {standin.Fault{DropResponse: true}, true, true},
		"all lost":    {standin.Fault{DropResponseRate: 1}, true, true},
		"slow":        {standin.Fault{DelayMS: 400}, true, true},
		"paused":      {standin.Fault{Pause: true}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, cfg := newPlatform(t, standin.PlatformConfig{})
			table := platformhttp.NewTableService(cfg)
			_, err := table.Commit(t.Context(), insert("warm", "1")) // the fault applies to a reused connection
			g.Expect(err).NotTo(HaveOccurred())
			p.Faults().Set(c.fault)
			_, err = table.Commit(t.Context(), insert("k", "v"))
			g.Expect(errors.Is(err, platform.ErrUncertain)).To(Equal(c.uncertain))
			g.Expect(errors.Is(err, platform.ErrUnavailable)).To(Equal(!c.uncertain))
			p.Faults().Set(standin.Fault{})
			if c.applied { // a write that timed out takes effect later
				g.Eventually(func() error { _, err := table.Read(t.Context(), "k"); return err }).Should(Succeed())
				g.Expect(p.Counters().Transactions).To(Equal(int64(2)), "the commit must not be sent twice")
				return
			}
			_, err = table.Read(t.Context(), "k")
			g.Expect(errors.Is(err, platform.ErrNotFound)).To(BeTrue())
		})
	}
}

// Guards against ErrUnavailable for a commit that receives a 503 without the effect
// header. A refused connection is the only network error without effect. A
// malformed response fails a read with ErrUnavailable.
func TestAmbiguousResponses(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == platformhttp.PathCommit {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("{"))
	}))
	defer server.Close()
	table := platformhttp.NewTableService(platformhttp.Config{Address: server.URL})
	_, err := table.Commit(t.Context(), insert("k", "v"))
	g.Expect(errors.Is(err, platform.ErrUncertain)).To(BeTrue())
	_, err = table.Read(t.Context(), "k")
	g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	table = platformhttp.NewTableService(platformhttp.Config{Address: "http://" + listener.Addr().String()})
	_, err = table.Commit(t.Context(), insert("k", "v"))
	g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())
	g.Expect(errors.Is(err, platform.ErrUncertain)).To(BeFalse())
}

// Guards against lost objects and list entries, and against a list with a lag that
// returns the current state.
func TestObjectsAndList(t *testing.T) {
	g := NewWithT(t)
	p, cfg := newPlatform(t, standin.PlatformConfig{})
	objects := platformhttp.NewObjectStore(cfg)
	g.Expect(objects.Put(t.Context(), "a/b", []byte{0, 1})).To(Succeed())
	g.Expect(objects.Get(t.Context(), "a/b")).To(Equal([]byte{0, 1}))
	_, err := objects.Get(t.Context(), "none")
	g.Expect(errors.Is(err, platform.ErrNotFound)).To(BeTrue())

	instances := platformhttp.NewInstanceList(cfg)
	g.Expect(instances.Register(t.Context(), platform.ListEntry{ID: "i", State: platform.StateLive})).To(Succeed())
	g.Expect(instances.List(t.Context())).To(HaveField("Instances", HaveExactElements(HaveField("ID", "i"))))
	request, err := http.NewRequest(http.MethodPut, cfg.Address+platformhttp.PathUpstreams+"u", strings.NewReader(`{"state":"leaving"}`))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	g.Expect(instances.List(t.Context())).To(HaveField("Upstreams",
		HaveExactElements(And(HaveField("ID", "u"), HaveField("State", platform.StateLeaving)))))
	p.Faults().Set(standin.Fault{LagMS: 60_000})
	g.Expect(instances.List(t.Context())).To(HaveField("Instances", BeEmpty()))
	p.Faults().Set(standin.Fault{})
	g.Expect(instances.Deregister(t.Context(), "i")).To(Succeed())
	g.Expect(instances.List(t.Context())).To(HaveField("Instances", BeEmpty()))
}

// Guards against a stand-in that does not enforce the platform's rate limit.
func TestRateLimit(t *testing.T) {
	g := NewWithT(t)
	p, cfg := newPlatform(t, standin.PlatformConfig{WritesPerSecond: 1})
	table := platformhttp.NewTableService(cfg)
	_, err := table.Commit(t.Context(), insert("k", "v"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = table.Commit(t.Context(), insert("l", "v"))
	g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())
	g.Expect(p.Counters().Refused).To(Equal(int64(1)))
}

type connectionKey struct{}

// Guards against one timeout per idle connection after all connections have become
// unresponsive.
func TestSilentConnections(t *testing.T) {
	g := NewWithT(t)
	const connections = 4
	var opened, lastSilent atomic.Int64
	var warmUp sync.WaitGroup
	warmUp.Add(connections)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		number := r.Context().Value(connectionKey{}).(int64)
		switch {
		case lastSilent.Load() == 0: // warm-up: each request needs its own connection
			warmUp.Done()
			warmUp.Wait()
		case number <= lastSilent.Load():
			<-r.Context().Done()
		}
		_, _ = w.Write([]byte(`{"key":"k"}`))
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, opened.Add(1))
	}
	server.Start()
	defer server.Close()
	table := platformhttp.NewTableService(platformhttp.Config{Address: server.URL, Timeout: 300 * time.Millisecond})
	var requests sync.WaitGroup
	for range connections {
		requests.Go(func() { _, _ = table.Read(t.Context(), "k") })
	}
	requests.Wait()
	lastSilent.Store(opened.Load())
	_, err := table.Read(t.Context(), "k")
	g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())
	_, err = table.Read(t.Context(), "k")
	g.Expect(err).NotTo(HaveOccurred())
}
