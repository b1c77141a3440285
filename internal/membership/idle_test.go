package membership_test

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/link/linktest"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

// emptyList is an instance list that is always unavailable.
type emptyList struct{}

func (emptyList) List(context.Context) (platform.List, error) {
	return platform.List{}, platform.ErrUnavailable
}
func (emptyList) Register(context.Context, platform.ListEntry) error { return platform.ErrUnavailable }
func (emptyList) Deregister(context.Context, string) error           { return nil }

// idleInstance is an instance that sends heartbeats over QUIC on loopback.
type idleInstance struct {
	self       membership.Member
	transport  *link.QUICTransport
	membership *membership.Membership
}

// startIdle starts n instances in a full mesh.
func startIdle(b *testing.B, n int) []*idleInstance {
	authority, err := linktest.NewAuthority(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var all []*idleInstance
	var seeds []membership.Member
	for i := range n {
		id := fmt.Sprintf("instance-%03d", i)
		certificate, key, err := authority.Issue("pohjola", id)
		if err != nil {
			b.Fatal(err)
		}
		in := &idleInstance{}
		in.transport, err = link.NewQUICTransport(link.Config{
			Address: "127.0.0.1:0", AuthorityFile: authority.CertificateFile, CertificateFile: certificate, KeyFile: key, Log: log,
			Resolve: func(id contract.InstanceID) (string, bool) { return in.membership.Address(id) },
		})
		if err != nil {
			b.Fatal(err)
		}
		in.self = membership.Member{
			ID: contract.InstanceID(id), Address: in.transport.Address(),
			Domain: contract.FailureDomainID(fmt.Sprint(i % 4)), Region: "pohjola",
		}
		seeds = append(seeds, in.self)
		all = append(all, in)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, in := range all {
		in.membership, err = membership.New(membership.Config{
			Self: in.self, Seeds: seeds, List: emptyList{}, Transport: in.transport,
			Clock: timeline.NewClock(), Recorder: timeline.Discard{}, Log: log,
		})
		if err != nil {
			b.Fatal(err)
		}
		in.membership.SetState(membership.Ready)
	}
	for _, in := range all {
		running.Go(func() { _ = in.transport.Run(ctx) })
		running.Go(func() { _ = in.membership.Run(ctx) })
	}
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return all
}

// waitUntil polls a condition for at most a minute.
func waitUntil(b *testing.B, met func() bool) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(time.Minute)
	for !met() {
		select {
		case <-ticker.C:
		case <-deadline:
			b.Fatal("condition was not met within a minute")
		}
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}

// ipHeaders is the size in bytes of the IPv4 and UDP headers of a packet.
const ipHeaders = 28

// BenchmarkIdle measures the cost of heartbeats over QUIC for an instance with
// 8 peers.
func BenchmarkIdle(b *testing.B) {
	const instances, period = 9, 10 * time.Second
	empty := memoryInUse()
	all := startIdle(b, instances)
	waitUntil(b, func() bool {
		for _, in := range all {
			if in.membership.View().ContactedCount(time.Now()) < instances || in.transport.Stats().Connections != instances-1 {
				return false
			}
		}
		return true
	})
	total := func() (bytes, packets, messages int64) {
		for _, in := range all {
			s := in.transport.Stats()
			bytes += s.WireIn + s.WireOut
			packets += s.PacketsIn + s.PacketsOut
			messages += s.MessagesIn + s.MessagesOut
		}
		return bytes, packets, messages
	}
	for b.Loop() {
		began, processor := time.Now(), processorTime()
		bytesBefore, packetsBefore, messagesBefore := total()
		waitUntil(b, func() bool { return time.Since(began) > period })
		seconds := time.Since(began).Seconds() * instances
		bytes, packets, messages := total()
		bytes, packets, messages = bytes-bytesBefore, packets-packetsBefore, messages-messagesBefore
		b.ReportMetric(float64(bytes+packets*ipHeaders)/seconds, "wire-B/s/instance")
		b.ReportMetric(float64(packets)/float64(messages), "packets/message")
		b.ReportMetric((processorTime()-processor).Seconds()/seconds*100, "%core/instance")
	}
	b.ReportMetric((memoryInUse()-empty)/instances/1024, "KiB/instance")
	b.ReportMetric((memoryInUse()-empty)/instances/(instances-1)/1024, "KiB/connection-end")
}
