package testfleet

import (
	"sync"
	"syscall"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// Node is a server, gateway or store whose process can be killed and restarted.
type Node struct {
	Name    string
	Address string          // listen address, the same for each process of the node
	Proxy   *emulator.Proxy // of a server: in front of the server; of a gateway: in front of the store

	readinessAddress string // of a gateway: address of its readiness check
	start            func(startCount int) (*testcluster.Process, error)

	mu         sync.Mutex // guards the fields below
	process    *testcluster.Process
	startCount int // number of starts so far
}

// Restart kills the process, if it runs, and starts a new one.
func (n *Node) Restart() error {
	n.Kill()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startCount++
	process, err := n.start(n.startCount)
	if err == nil {
		n.process = process
	}
	return err
}

// Kill kills the process, if it runs.
func (n *Node) Kill() {
	if process := n.Process(); process != nil {
		process.Kill()
	}
}

// Process returns the process of the last start, nil before the first start.
func (n *Node) Process() *testcluster.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// Signal sends a signal to the process. It does nothing if the process has ended.
func (n *Node) Signal(s syscall.Signal) {
	if process := n.Process(); process != nil {
		_ = process.Signal(s)
	}
}
