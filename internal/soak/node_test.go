package soak

import (
	"context"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/instance"
)

// node is the place of one instance, which lives there several times.
type node struct {
	world  *world
	id     contract.InstanceID
	domain contract.FailureDomainID

	mu   sync.Mutex // guards life and busy
	life life
	busy bool // a fault of the instance itself is in force
}

// life is one process of an instance; zero while none runs.
type life struct {
	number   int
	instance *instance.Instance
	gate     *gate
	listener *pipeListener
	drain    context.CancelFunc
	ended    chan error
}

func (n *node) current() life {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life
}

// start starts a process.
func (n *node) start() {
	w, g := n.world, newGate()
	w.network.Remove(n.id)
	listener := newPipeListener(g)
	i, err := instance.New(w.settingsOf(n), instance.Parts{
		Transport: gatedLink{g, w.network.Transport(n.id)},
		Table:     gatedTable{g, w.table},
		List:      gatedList{g, w.list},
		Engines:   gatedEngines{g, w.dialer},
		Services:  gatedServices{g, w.services},
		Listener:  listener,
	}, n.log())
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	next := life{instance: i, gate: g, listener: listener, drain: cancel, ended: make(chan error, 1)}
	go func() { next.ended <- i.Run(ctx) }()
	n.mu.Lock()
	defer n.mu.Unlock()
	next.number = n.life.number + 1
	n.life = next
}

// stop forgets the process that has ended.
func (n *node) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.life = life{number: n.life.number}
}

// claim reserves the node for a fault of the instance.
func (n *node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy {
		return false
	}
	n.busy = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = false
}

// crash ends the process at once.
func (n *node) crash() {
	l := n.current()
	n.stop()
	n.world.network.Remove(n.id)
	l.gate.kill()
	l.listener.cut()
	l.drain()
}

// drainAndStop stops the process as planned and checks that no request ended.
func (n *node) drainAndStop() {
	l := n.current()
	l.drain()
	begun := time.Now()
	err := <-l.ended
	n.stop()
	n.world.network.Remove(n.id)
	n.world.note("%s drained in %s", n.id, time.Since(begun))
	if err != nil {
		n.world.violation("drain of %s: %v", n.id, err)
	}
	if open := l.listener.connections(); len(open) > 0 {
		n.world.violation("drain of %s ended with %d open connections", n.id, len(open))
	}
}
