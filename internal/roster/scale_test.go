package roster_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/link/linktest"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
	"foxtailhub.example/foxtailhub/internal/roster"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

// deployment holds the state that its instances share.
type deployment struct {
	network *linktest.Network
	table   *platformtest.TableService
	list    *platformtest.InstanceList
	running sync.WaitGroup
}

// start starts the components of an instance that follow and change the roster.
func (d *deployment) start(ctx context.Context, t *testing.T, i int) *roster.Manager {
	const fetch link.MessageType = "roster/fetch"
	log := logrus.New()
	log.SetOutput(io.Discard)
	id := contract.InstanceID(fmt.Sprintf("instance-%03d", i))
	var manager *roster.Manager
	transport := d.network.Transport(id)
	members, err := membership.New(membership.Config{
		Self: membership.Member{
			ID: id, Address: string(id), Region: "pohjola", Domain: contract.FailureDomainID(fmt.Sprint("domain-", i%12)),
		},
		List: d.list, Transport: transport, Clock: timeline.NewClock(), Recorder: timeline.Discard{}, Log: log, JitterSeed: uint64(i) + 1,
		OnNewerRoster: func(peer contract.InstanceID, sequence int64) { manager.ObservePeerSequence(peer, sequence) },
	})
	if err != nil {
		t.Fatal(err)
	}
	manager = roster.NewManager(roster.Config{
		Self: id, Table: d.table, Log: log, OnAdopt: members.SetRosterSequence,
		Head: func(context.Context) (int64, platform.Condition, error) {
			return 0, platform.Condition{Key: "configuration/head"}, nil
		},
		Fetch: func(ctx context.Context, peer contract.InstanceID) ([]byte, error) {
			return transport.Request(ctx, peer, fetch, nil)
		},
		Observe: func() roster.Observation { return observe(members.View(), manager.State().ReadFromStore) },
	})
	transport.Handle(fetch, func(context.Context, contract.InstanceID, []byte) ([]byte, error) {
		return manager.State().Roster.Encode()
	})
	members.SetState(membership.Ready)
	d.running.Go(func() { _ = members.Run(ctx) })
	d.running.Go(func() { manager.Run(ctx) })
	d.running.Go(func() {
		for ctx.Err() == nil {
			members.SetConfigurationStatus(membership.ConfigurationStatus{Current: manager.State().ReadFromStore})
			time.Sleep(100 * time.Millisecond) // virtual time
		}
	})
	return manager
}

func observe(view *membership.View, current bool) roster.Observation {
	o := roster.Observation{HeadConfirmed: true, Current: current}
	for _, m := range view.Members() {
		o.OtherInstances = append(o.OtherInstances, roster.Peer{ID: m.ID, LastContact: m.LastContact, Sequence: m.RosterSequence, Listed: m.Listed})
	}
	return o
}

// Guards against a slow start of many instances, and against one that uses more
// than a small part of the table service's capacity of several hundred writes
// and 2,000 reads a second. 480 instances take a minute of processor time, so the
// test starts a fifth of them.
func TestStartOfManyInstances(t *testing.T) {
	for _, instances := range []int{9, 96} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			d := &deployment{network: linktest.NewNetwork(1), table: platformtest.NewTableService(), list: platformtest.NewInstanceList()}
			d.network.SetDelay(func(_, _ contract.InstanceID) time.Duration { return 2 * time.Millisecond })
			d.table.SetFaults(platformtest.Faults{MaxLatency: 10 * time.Millisecond})
			var reads atomic.Int64
			d.table.SetHook(func(op platformtest.Operation, after bool) {
				if op == platformtest.OperationRead && !after {
					reads.Add(1)
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer d.running.Wait()
			defer cancel()
			var managers []*roster.Manager
			for i := range instances {
				managers = append(managers, d.start(ctx, t, i))
			}
			started := time.Now()
			allJoined := func() bool {
				held := managers[0].State().Roster
				return len(held.Instances) == instances && len(held.Previous) == 0
			}
			for !allJoined() && time.Since(started) < time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
			elapsed := time.Since(started)
			t.Logf("%d instances were in the roster after %s, %d commits, %d reads", instances, elapsed, d.table.CommitCount(), reads.Load())
			g.Expect(elapsed).To(BeNumerically("<", time.Minute))
			g.Expect(d.table.CommitCount()).To(BeNumerically("<", 2*60), "two writes a second")
			g.Expect(float64(reads.Load())/elapsed.Seconds()).To(BeNumerically("<", 200), "a tenth of the reads")
		})
	}
}
