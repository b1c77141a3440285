// Package testcluster starts the real programs as separate processes on
// loopback, for end-to-end tests and measurements.
//
// The package must never be imported by a shipped program, and must never leave
// a process behind: Close kills what is still running.
package testcluster

import (
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is one running program.
type Process struct {
	Name    string
	Address string // host:port of its HTTP interface

	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
}

// startProcess starts a program; its output goes to <dir>/<name>.log.
func startProcess(dir, name, address, binary string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, Address: address, log: log, exited: make(chan struct{})}
	p.command = exec.Command(binary, args...)
	p.command.Stdout = log
	p.command.Stderr = log
	// The child dies with the test process, also if that is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		_ = p.command.Wait() // the exit state is read from ProcessState
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

// URL returns the base URL of the HTTP interface.
func (p *Process) URL() string { return "http://" + p.Address }

// PID returns the process identifier.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code, -1 if the process runs or was killed.
func (p *Process) ExitCode() int {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	default:
		return -1
	}
}

// kill ends the process and waits for it.
func (p *Process) kill() {
	_ = p.Signal(syscall.SIGKILL) // fails only if it has ended already
	<-p.exited
}

// CPU returns the processor time that the process has used.
func (p *Process) CPU() (time.Duration, error) { return processCPU(p.PID()) }

// ResidentBytes returns the resident memory of the process.
func (p *Process) ResidentBytes() (int64, error) { return processResident(p.PID()) }

// Ports below the range that the system gives to outgoing connections, which
// come and go between the choice of a port and its use.
const (
	lowestPort  = 10000
	highestPort = 32000
	portTries   = 100
)

var errNoFreePort = errors.New("no free port found")

// freePort tries random ports until one can be bound.
func freePort(bind func(address string) (io.Closer, error)) (string, io.Closer, error) {
	for range portTries {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(lowestPort+rand.IntN(highestPort-lowestPort)))
		if bound, err := bind(address); err == nil {
			return address, bound, nil
		}
	}
	return "", nil, errNoFreePort
}

func bindTCP(address string) (io.Closer, error) { return net.Listen("tcp", address) }

func bindUDP(address string) (io.Closer, error) { return net.ListenPacket("udp", address) }

// freeAddress returns a loopback address whose TCP port was free a moment ago.
func freeAddress() (string, error) {
	address, bound, err := freePort(bindTCP)
	if err != nil {
		return "", err
	}
	return address, bound.Close()
}

// freeLinkAddress returns a loopback address whose UDP port was free a moment
// ago; a free TCP port may be in use for UDP.
func freeLinkAddress() (string, error) {
	address, bound, err := freePort(bindUDP)
	if err != nil {
		return "", err
	}
	return address, bound.Close()
}

// freeAddresses returns loopback addresses that were free a moment ago. They are
// held together, so that none is returned twice.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		address, bound, err := freePort(bindTCP)
		if err != nil {
			return nil, err
		}
		defer bound.Close() //nolint:errcheck // only the address is needed
		addresses = append(addresses, address)
	}
	return addresses, nil
}
