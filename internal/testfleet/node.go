package testfleet

import (
	"sync"
	"syscall"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// Node is a process that is stopped and started again.
type Node struct {
	Name    string
	Address string          // on which it listens
	Proxy   *emulator.Proxy // of a server: to it; of a gateway: to the store

	readiness string // of a gateway: the address that the balancer asks
	start     func(generation int) (*testcluster.Process, error)

	mu         sync.Mutex // guards the fields below
	process    *testcluster.Process
	generation int
}

// Restart kills the process, if it runs, and starts the next generation.
func (n *Node) Restart() error {
	n.Kill()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.generation++
	process, err := n.start(n.generation)
	if err == nil {
		n.process = process
	}
	return err
}

// Kill kills the process, if it runs.
func (n *Node) Kill() {
	if process := n.Current(); process != nil {
		process.Kill()
	}
}

// Current returns the process, nil before the first start.
func (n *Node) Current() *testcluster.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// Signal sends a signal to the process; one that has ended gets none.
func (n *Node) Signal(s syscall.Signal) {
	if process := n.Current(); process != nil {
		_ = process.Signal(s)
	}
}
