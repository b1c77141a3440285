package soak

import (
	"context"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/instance"
)

// node is one instance, whose process may be restarted.
type node struct {
	harness *harness
	id      contract.InstanceID
	domain  contract.FailureDomainID

	mu      sync.Mutex // guards process and faulted
	process process
	faulted bool // a fault of this instance is in force
}

// process is one run of an instance; only number is set while none runs.
type process struct {
	number   int
	instance *instance.Instance
	gate     *gate
	listener *pipeListener
	drain    context.CancelFunc
	exited   chan error
}

func (n *node) current() process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// start starts a new process with the next number.
func (n *node) start() {
	h, g := n.harness, newGate()
	h.network.Remove(n.id)
	listener := newPipeListener(g)
	i, err := instance.New(h.settingsOf(n), instance.Dependencies{
		Transport: gatedLink{g, h.network.Transport(n.id)},
		Table:     gatedTable{g, h.table},
		List:      gatedList{g, h.list},
		Engines:   gatedEngines{g, h.dialer},
		Services:  gatedServices{g, h.services},
		Listener:  listener,
	}, n.log())
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	next := process{instance: i, gate: g, listener: listener, drain: cancel, exited: make(chan error, 1)}
	go func() { next.exited <- i.Run(ctx) }()
	n.mu.Lock()
	defer n.mu.Unlock()
	next.number = n.process.number + 1
	n.process = next
}

// clearProcess removes the exited process and keeps its number.
func (n *node) clearProcess() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = process{number: n.process.number}
}

// reserveForFault reserves the node for one fault; it returns false while another is in force.
func (n *node) reserveForFault() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.faulted {
		return false
	}
	n.faulted = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faulted = false
}

// crash ends the process immediately and closes its connections.
func (n *node) crash() {
	p := n.current()
	n.clearProcess()
	n.harness.network.Remove(n.id)
	p.gate.kill()
	p.listener.closeAll()
	p.drain()
}

// drainAndStop shuts the process down gracefully; no connection may stay open.
func (n *node) drainAndStop() {
	p := n.current()
	p.drain()
	start := time.Now()
	err := <-p.exited
	n.clearProcess()
	n.harness.network.Remove(n.id)
	n.harness.note("%s drained in %s", n.id, time.Since(start))
	if err != nil {
		n.harness.violation("drain of %s: %v", n.id, err)
	}
	if open := p.listener.connections(); len(open) > 0 {
		n.harness.violation("drain of %s ended with %d open connections", n.id, len(open))
	}
}
