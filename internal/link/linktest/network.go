// Package linktest provides an in-memory network of link transports for tests in
// virtual time, with partitions, one-way partitions, delays, loss and pauses.
//
// The package must never be imported by a shipped program.
package linktest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// lossTimeout is the time after which a request without a deadline fails if a
// message is lost.
const lossTimeout = 10 * time.Second

// Errors of the network.
var (
	ErrNoPeer = errors.New("no such peer in the test network")
	ErrLost   = errors.New("message was lost in the test network")
)

type direction struct{ from, to contract.InstanceID }

// Network connects the transports of instances.
type Network struct {
	mu         sync.Mutex // guards all fields
	random     *rand.Rand
	transports map[contract.InstanceID]*Transport
	group      map[contract.InstanceID]int
	dropped    map[direction]bool
	paused     map[contract.InstanceID]chan struct{}
	delay      func(from, to contract.InstanceID) time.Duration
	loss       float64
}

// NewNetwork returns a network without delay or loss. The seed determines which
// messages are lost.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random:     rand.New(rand.NewPCG(seed, 0)),
		transports: map[contract.InstanceID]*Transport{},
		group:      map[contract.InstanceID]int{},
		dropped:    map[direction]bool{},
		paused:     map[contract.InstanceID]chan struct{}{},
		delay:      func(_, _ contract.InstanceID) time.Duration { return 0 },
	}
}

// Transport returns the transport of an instance, which it creates on the first call.
func (n *Network) Transport(id contract.InstanceID) *Transport {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.transports[id]
	if t == nil {
		t = newTransport(n, id)
		n.transports[id] = t
	}
	return t
}

// Remove disconnects an instance from the network for good.
func (n *Network) Remove(id contract.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.transports, id)
}

// Partition allows messages only between instances of the same group. Instances
// in none of the groups form one more group.
func (n *Network) Partition(groups ...[]contract.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.group)
	for i, ids := range groups {
		for _, id := range ids {
			n.group[id] = i + 1
		}
	}
}

// Heal ends all partitions, including those of DropOneWay.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.group)
	clear(n.dropped)
}

// DropOneWay drops all messages in one direction.
func (n *Network) DropOneWay(from, to contract.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[direction{from, to}] = true
}

// SetDelay sets the function that returns the one-way delay between two instances.
func (n *Network) SetDelay(delay func(from, to contract.InstanceID) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// SetLoss sets the fraction of messages that are lost, from 0 to 1.
func (n *Network) SetLoss(rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = rate
}

// Pause delays every message to and from an instance until Resume, as if its
// process were stopped: a request that it has sent returns after Resume, even if
// its deadline has passed.
func (n *Network) Pause(id contract.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[id] == nil {
		n.paused[id] = make(chan struct{})
	}
}

// Resume ends a pause.
func (n *Network) Resume(id contract.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed := n.paused[id]; resumed != nil {
		close(resumed)
		delete(n.paused, id)
	}
}

// resumeSignal returns a channel that Resume closes, nil if the instance is not paused.
func (n *Network) resumeSignal(id contract.InstanceID) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused[id]
}

// waitResumed blocks while an instance is paused.
func (n *Network) waitResumed(id contract.InstanceID) {
	for resumed := n.resumeSignal(id); resumed != nil; resumed = n.resumeSignal(id) {
		<-resumed
	}
}

// deliver transmits one message with delay, pauses and loss. It returns ErrLost if
// the message is lost.
func (n *Network) deliver(ctx context.Context, from, to contract.InstanceID) error {
	n.waitResumed(from)
	n.mu.Lock()
	lost := n.group[from] != n.group[to] || n.dropped[direction{from, to}]
	if !lost && n.loss > 0 {
		lost = n.random.Float64() < n.loss
	}
	delay := n.delay(from, to)
	n.mu.Unlock()
	if lost {
		return wait(ctx, lossTimeout, ErrLost)
	}
	if delay > 0 {
		if err := wait(ctx, delay, nil); err != nil {
			return err
		}
	}
	n.waitResumed(to)
	return nil
}

// wait returns result after d, or the context's error if the context ends first.
func wait(ctx context.Context, d time.Duration, result error) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return result
	case <-ctx.Done():
		return ctx.Err()
	}
}
