package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/pool"
)

// startLinked starts the links of gateways of one failure domain whose lists have all of them.
func startLinked(t *testing.T, size int, secretOf func(n int) byte) ([]*Gateway, func(n int, secret byte)) {
	g := NewWithT(t)
	var rows []discovery.Row
	gateways := make([]*Gateway, size)
	for n := range gateways {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		address := socket.LocalAddr().String()
		g.Expect(socket.Close()).To(Succeed())
		i := newTestGateway(t, &fakePlatform{})
		i.platform.Store = writelessStore{i.platform.Store}
		i.settings.Instance, i.settings.LinkAddress = fmt.Sprint("instance-", n), address
		gateways[n] = New(i.settings, i.platform, discardLogger())
		gateways[n].pool.Replace(ratedUpstreams())
		rows = append(rows, discovery.Row{
			Key: "instance/" + i.settings.Instance, Value: fmt.Appendf(nil, `{"address":%q,"failure_domain":%q,"weight":%v}`, address, i.settings.FailureDomain, i.settings.Weight),
		})
	}
	setSecret := func(n int, secret byte) {
		gateways[n].sync.members.Apply(discovery.Batch{Rows: []discovery.Row{{Key: "authority", Value: bytes.Repeat([]byte{secret}, 32)}}}, 0)
	}
	for n, i := range gateways {
		i.sync.members.Apply(discovery.Batch{Rows: rows}, 0)
		setSecret(n, secretOf(n))
		done := make(chan struct{})
		go func() {
			defer close(done)
			i.sync.runLinks(t.Context())
		}()
		t.Cleanup(func() { <-done })
	}
	return gateways, setSecret
}

// writelessStore is a store that accepts no writes, so that notices go over links.
type writelessStore struct{ discovery.Store }

func (writelessStore) Put(context.Context, discovery.Topic, string, []byte) error {
	return errors.New("store is down")
}

// ratedUpstreams are upstreams for one notice each.
func ratedUpstreams() (list []pool.Upstream) {
	for n := range 200 {
		id := fmt.Sprint("u", n)
		list = append(list, pool.Upstream{ID: id, Service: "service", Address: id, Slots: 8, StartedAt: 1})
	}
	return list
}

// Guards against two parts of a fleet that do not link because they hold two secrets.
func TestInstancesLinkWithTheSecretThatTheStoreHasInTheEnd(t *testing.T) {
	g := NewWithT(t)
	fleet, setSecret := startLinked(t, 4, func(n int) byte { return byte(n/2 + 1) })
	next := 0
	reaches := func(from, to int) bool {
		id := ratedUpstreams()[next].ID
		next++
		stated, found := fleet[from].pool.Find(id, 1)
		g.Expect(found).To(BeTrue())
		stated.ObserveRate(time.Now(), time.Now(), pool.RequestRate{Stated: true, PerSecond: 2})
		fleet[from].sync.notices.ShareRate(stated)
		received := func() bool {
			m, _ := fleet[to].pool.Find(id, 1)
			_, limited := m.RateLimit(time.Now())
			return limited
		}
		for deadline := time.Now().Add(300 * time.Millisecond); time.Now().Before(deadline); <-time.After(5 * time.Millisecond) {
			if received() {
				return true
			}
		}
		return false
	}
	g.Eventually(func() bool { return reaches(0, 1) && reaches(2, 3) }, "5s").Should(BeTrue())
	g.Expect(reaches(0, 2)).To(BeFalse())
	for n := range fleet {
		setSecret(n, 2)
	}
	g.Eventually(func() bool { return reaches(0, 2) && reaches(0, 1) && reaches(3, 1) }, "10s").Should(BeTrue())
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
