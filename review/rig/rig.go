//go:build review

// Package rig starts gateways and stand-ins of the platform as separate processes on loopback for
// the review cases, and records what was sent, answered and run.
//
// It must never leave a process behind: Finish and the end of the driver kill all of them.
package rig

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// caseLimit ends a case that hangs.
const caseLimit = 115 * time.Second

// Rig is a set of running processes and the record of a case.
type Rig struct {
	Dir     string // temporary, for settings and logs
	Trouble bool   // whether the case brings its disruption about

	root    string
	started time.Time

	mu     sync.Mutex // guards the fields below
	record *os.File
	procs  []*Proc
}

// New returns a rig that writes its record to record.txt in a folder of the repository.
func New(folder string) *Rig {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	r := &Rig{root: root, Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	if r.Dir, err = os.MkdirTemp("", "foxtailhub-review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if r.record, err = os.Create(filepath.Join(root, folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(caseLimit):
		}
		r.Finish(NotRun, "the case was ended before its check")
	}()
	r.Recordf("trouble=%v", r.Trouble)
	return r
}

// Recordf adds a line to the record.
func (r *Rig) Recordf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.record, format+"\n", args...)
}

// Finish ends all processes and the case.
func (r *Rig) Finish(code int, format string, args ...any) {
	verdict := map[int]string{Held: "held", Broken: "BROKEN", NotRun: "not run"}[code]
	line := verdict + ": " + fmt.Sprintf(format, args...)
	r.Recordf("%s", line)
	fmt.Println(line)
	r.mu.Lock() // no process is started any more
	for _, p := range r.procs {
		p.end()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.Dir)
	} else {
		fmt.Println("logs are kept in", r.Dir)
	}
	os.Exit(code)
}

// Must ends the case as not run if its preparation failed.
func (r *Rig) Must(err error, what string) {
	if err != nil {
		r.Finish(NotRun, "%s: %v", what, err)
	}
}

// Proc is a process of the rig.
type Proc struct {
	Name string

	rig  *Rig
	path string
	args []string
	env  []string

	mu   sync.Mutex // guards the fields below
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// NewProc returns a process that Start starts.
func (r *Rig) NewProc(name, path string, env []string, args ...string) *Proc {
	p := &Proc{Name: name, rig: r, path: filepath.Join(r.root, path), args: args, env: env}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.procs = append(r.procs, p)
	return p
}

// Start starts the process. Its output is appended to a file in Dir.
func (p *Proc) Start() error {
	p.rig.mu.Lock()
	defer p.rig.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.rig.root, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the driver is killed
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, p.env...)
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // the exit status is not needed
		close(done)
	}()
	return nil
}

// LogPath returns the file with the output of the process.
func (p *Proc) LogPath() string { return filepath.Join(p.rig.Dir, p.Name+".log") }

// Done returns a channel that is closed when the process has ended.
func (p *Proc) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Signal sends a signal to the process unless it has ended.
func (p *Proc) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(sig) // it may have ended just now
	}
}

// Kill kills the process.
func (p *Proc) Kill() { p.Signal(syscall.SIGKILL) }

// end kills the process and waits until it has ended.
func (p *Proc) end() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// ResidentMB returns the resident memory of the process, 0 if it has ended.
func (p *Proc) ResidentMB() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

// FreeAddress returns a loopback address with a port that is free now.
func (r *Rig) FreeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err, "find a free port")
	defer listener.Close()
	return listener.Addr().String()
}

// Standin is the project's program with stand-ins, as review/build-2.sh builds it.
const Standin = "target/review-2/foxtailhub-standin"

// gateway is the program that the build line of the deploy file builds.
const gatewayProgram = "target/foxtailhubd"

// Store is the stand-in of the platform's store.
type Store struct {
	*Proc
	Address string
}

// StartStore starts the store.
func (r *Rig) StartStore() *Store {
	address := r.FreeAddress()
	s := &Store{Proc: r.NewProc("store", Standin, nil, "-role", "routed-store", "-listen", address), Address: address}
	r.Must(s.Start(), "start the store")
	r.Await("the store answers", 10*time.Second, func() bool { return s.Write("op", "other", map[string]any{}) == nil })
	return s
}

// Write writes a row.
func (s *Store) Write(table, key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{"set_keys": []map[string]string{{
		"table": table, "part": "", "key": key, "value": base64.StdEncoding.EncodeToString(encoded),
	}}})
	if err != nil {
		return err
	}
	response, err := controlClient.Post("http://"+s.Address+"/v1/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", response.StatusCode)
	}
	return nil
}

// ListedServers returns the number of servers in the store's list.
func (s *Store) ListedServers() int {
	response, err := controlClient.Get("http://" + s.Address + "/v1/rows-get?table=servers&part=")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var list struct {
		Rows []struct{} `json:"rows"`
	}
	if json.NewDecoder(response.Body).Decode(&list) != nil {
		return 0
	}
	return len(list.Rows)
}

// controlClient is for calls of the operator and of readiness checks.
var controlClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Gateway is a gateway process with the settings of a machine of a small deployment.
type Gateway struct {
	*Proc
	Front, Readiness string
}

// Settings of a machine of the small deployments, as deploy/settings.json.tmpl renders them.
const (
	MemoryMB    = 284
	Descriptors = 4100
	Grace       = 8 * time.Second
	Contact     = 3 * time.Second
)

// NewGateway returns a gateway that Start starts.
func (r *Rig) NewGateway(i int, zone string, store *Store) *Gateway {
	g := &Gateway{Front: r.FreeAddress(), Readiness: r.FreeAddress()}
	name := fmt.Sprintf("edge-%s-%d", zone, i)
	settings, err := json.Marshal(map[string]any{
		"instance": name, "failure_domain": zone, "front_address": g.Front, "readiness_address": g.Readiness, "metrics_address": r.FreeAddress(),
		"store_address": store.Address, "link_address": r.FreeAddress(), "weight": 0.4, "first_start": true, "grace_ms": Grace.Milliseconds(),
		"leaving_ms": 2000, "configuration_ms": 2000, "memory_mb": MemoryMB, "descriptors": Descriptors, "retry_share": 0.8,
	})
	r.Must(err, "encode the settings")
	path := filepath.Join(r.Dir, name+".json")
	r.Must(os.WriteFile(path, settings, 0o600), "write the settings")
	g.Proc = r.NewProc(name, gatewayProgram, []string{"FOXTAILHUB_SETTINGS=" + path}, "gateway")
	return g
}

// Ready reports whether the readiness check of a gateway succeeds.
func (g *Gateway) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.Readiness+"/v1/readyz", nil)
	if err != nil {
		return false
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Await waits until a condition holds, and ends the case as not run if it does not in time.
func (r *Rig) Await(what string, limit time.Duration, condition func() bool) {
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.Finish(NotRun, "not in time: %s", what)
		}
	}
}
