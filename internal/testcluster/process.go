// Package testcluster starts instances, and stand-ins for the platform and the
// upstreams, as separate processes on loopback, for end-to-end tests and measurements.
//
// The package must never be imported by a shipped program, and must never leave
// a process behind: Close kills all processes that still run.
package testcluster

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is a program that was started as a child process.
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
	// The kernel kills the child when the test process ends, also if that is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		_ = p.command.Wait() // ExitCode reads the exit state from ProcessState
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

// StartProgram starts a program whose output goes to <dir>/<name>.log.
func StartProgram(dir, name, address, binary string, args ...string) (*Process, error) {
	return startProcess(dir, name, address, binary, args...)
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() { p.kill() }

// FreeAddress returns a loopback address whose TCP and UDP ports were free when checked.
func FreeAddress() (string, error) { return freeAddress() }

// URL returns the base URL of the HTTP interface.
func (p *Process) URL() string { return "http://" + p.Address }

// PID returns the process identifier.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM. For SIGSTOP it
// waits until all threads have stopped, because on a busy machine they run on for a
// moment and may still respond to requests.
func (p *Process) Signal(signal syscall.Signal) error {
	if err := p.command.Process.Signal(signal); err != nil || signal != syscall.SIGSTOP {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	return Await(ctx, func() bool { return processStopped(p.PID()) })
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code, or -1 if the process runs or was ended by a signal.
func (p *Process) ExitCode() int {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	default:
		return -1
	}
}

// kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) kill() {
	_ = p.Signal(syscall.SIGKILL) // fails only if the process has already ended
	<-p.exited
}

// CPUTime returns the processor time that the process has used.
func (p *Process) CPUTime() (time.Duration, error) { return processCPU(p.PID()) }

// ResidentBytes returns the resident memory of the process.
func (p *Process) ResidentBytes() (int64, error) { return processResidentBytes(p.PID()) }

// freeAddresses returns count different loopback addresses from freeAddress.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
