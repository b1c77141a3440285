//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
)

const (
	daemonPath  = "target/foxtailhubd"
	standinPath = "target/review-3/foxtailhub-standin"
	readyPath   = "/v1/readyz"
	callerKey   = "review-key"
	callerHost  = "review.example"
)

// Bounds of the small deployments.
const (
	contactTime = 3 * time.Second
	memoryMB    = 284
	descriptors = 4100
)

// terminate is the signal of planned work.
const terminate = syscall.SIGTERM

// errNotRun marks the errors after which a case says nothing about the rule.
var errNotRun = errors.New("the case could not run")

// fleet is a store and the processes beside it.
type fleet struct {
	ctx    context.Context
	dir    string // for settings and logs
	record *record
	client *http.Client
	store  string

	mu        sync.Mutex // guards processes
	processes []*process
	starts    chan func()
}

// process is a program that the rig has started.
type process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	done    chan struct{}
}

func newFleet(ctx context.Context, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{ctx: ctx, dir: dir, record: r, client: &http.Client{Timeout: 2 * time.Second}, starts: make(chan func())}
	go func() {
		runtime.LockOSThread() // the parent-death signal is sent when the thread ends that has started a process
		for start := range f.starts {
			start()
		}
	}()
	f.store = freeAddress()
	if _, err := f.start("store", nil, standinPath, "-role", "routed-store", "-listen", f.store); err != nil {
		return f, err
	}
	return f, f.await("the store", func() bool { return f.writeRow("other", "other", []byte("{}")) == nil })
}

// start starts a program with its output in a file.
func (f *fleet) start(name string, environment []string, path string, arguments ...string) (*process, error) {
	p := &process{name: name, command: exec.Command(path, arguments...), done: make(chan struct{})}
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, environment...)
	p.command.Stdout, p.command.Stderr, p.log = log, log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	f.starts <- func() { started <- p.command.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("%w: start %s: %w", errNotRun, name, err)
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	go func() {
		_ = p.command.Wait() // killed by the rig in most cases
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s os.Signal) { _ = p.command.Process.Signal(s) } // fails once the process has ended

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// runs returns the lines that the servers wrote about the requests that they ran, by request.
func (f *fleet) runs() map[string][]string { return f.lines("runs request=") }

// answered returns the lines that the servers wrote about the answers that they ended, by request.
func (f *fleet) answered() map[string][]string { return f.lines("answered request=") }

func (f *fleet) lines(prefix string) map[string][]string {
	byRequest := map[string][]string{}
	for _, path := range f.serverLogs() {
		text, _ := os.ReadFile(path) // a log that is missing has no runs
		for line := range strings.Lines(string(text)) {
			if rest, found := strings.CutPrefix(line, prefix); found {
				id, _, _ := strings.Cut(rest, " ")
				byRequest[id] = append(byRequest[id], strings.TrimSpace(line))
			}
		}
	}
	return byRequest
}

func (f *fleet) serverLogs() []string {
	plain, _ := filepath.Glob(filepath.Join(f.dir, "app-*.log")) // the patterns are valid
	engines, _ := filepath.Glob(filepath.Join(f.dir, "llm-*.log"))
	return append(plain, engines...)
}

// stop ends all processes and records what the servers ran. The logs are kept if KEEP_LOGS names a folder.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.kill()
	}
	for _, path := range f.serverLogs() {
		text, _ := os.ReadFile(path) // nothing was run otherwise
		for line := range strings.Lines(string(text)) {
			f.record.printf("server log: %s", strings.TrimSpace(line))
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(f.dir, keep) // a convenience only
		return
	}
	_ = os.RemoveAll(f.dir) // a temporary folder
}

func (f *fleet) await(what string, ready func() bool) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && f.ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if ready() {
			return nil
		}
	}
	return fmt.Errorf("%w: waited in vain for %s", errNotRun, what)
}

func (f *fleet) writeRow(table, key string, value []byte) error {
	return emulator.WriteRow(f.ctx, f.client, f.store, table, key, value)
}

// gateway is an instance of foxtailhub.
type gateway struct {
	*process
	fleet     *fleet
	name      string
	settings  string // path
	front     string
	readiness string
}

var settingsTemplate = template.Must(template.New("").Parse(`{
  "instance": "{{.Name}}", "failure_domain": "{{.Domain}}", "front_address": "{{.Front}}", "readiness_address": "{{.Readiness}}",
  "metrics_address": "{{.Metrics}}", "store_address": "{{.Store}}", "link_address": "{{.Link}}", "weight": 0.4, "first_start": {{.First}},
  "grace_ms": 8e3, "leaving_ms": 2000, "configuration_ms": 2000, "memory_mb": {{.MemoryMB}}, "descriptors": {{.Descriptors}}, "retry_share": 0.8
}`))

// startGateway starts an instance with settings as deploy/settings.json.tmpl makes them, and
// waits until it is ready.
func (f *fleet) startGateway(name, domain string) (*gateway, error) {
	g := &gateway{fleet: f, name: name, settings: filepath.Join(f.dir, name+".json"), front: freeAddress(), readiness: freeAddress()}
	var text bytes.Buffer
	err := settingsTemplate.Execute(&text, map[string]any{
		"Name": name, "Domain": domain, "Front": g.front, "Readiness": g.readiness, "Metrics": freeAddress(), "Store": f.store,
		"Link": freeAddress(), "First": true, "MemoryMB": memoryMB, "Descriptors": descriptors,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(g.settings, text.Bytes(), 0o600); err != nil {
		return nil, err
	}
	return g, g.run()
}

// run starts the process of the instance and waits until it is ready.
func (g *gateway) run() (err error) {
	g.process, err = g.fleet.start(g.name, []string{"FOXTAILHUB_SETTINGS=" + g.settings}, daemonPath, "gateway")
	if err != nil {
		return err
	}
	return g.fleet.await(g.name, g.ready)
}

// ready asks as the platform does.
func (g *gateway) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.readiness + readyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // its body is not read
	return response.StatusCode == http.StatusOK
}

// routes of the configuration of all cases.
const (
	atMostOncePath = "/book/"
	idempotentPath = "/look/"
	streamPath     = "/write/"
	fixedPath      = "/note/" // streams that may not be resumed
)

// configure writes a configuration and waits until the services have their servers.
func (f *fleet) configure(servers int) error {
	type object = map[string]any
	route := func(name, prefix, kind, service string, more object) object {
		r := object{
			"name": name, "host": callerHost, "prefix": prefix, "route_type": kind, "service": service, "timeout_ms": 2500, "latency_goal_ms": 150,
			"priority": 2, "max_attempts": 3, "public": false,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	stream := object{"timeout_ms": 25000, "latency_goal_ms": 4500, "gap_target_ms": 700, "sticky": true, "max_attempts": 5}
	resumable := object{"resumable": true}
	for key, value := range stream {
		resumable[key] = value
	}
	value, err := json.Marshal(object{
		"version": 7,
		"routes": []object{
			route("book", atMostOncePath, "non_idempotent", "app", nil), route("look", idempotentPath, "idempotent", "app", nil),
			route("write", streamPath, "streaming", "llm", resumable), route("note", fixedPath, "streaming", "llm", stream),
			route("all", "/", "idempotent", "app", nil),
		},
		"services": []object{
			{"name": "app", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
			{
				"name": "llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
				"engine": object{"slots": 64, "kv_tokens": 88000, "backups": true, "moves": true, "handle_s": 4},
			},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": "review", "api_keys": []string{callerKey}}},
	})
	if err != nil {
		return err
	}
	if err := f.writeRow("op", "config", value); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	return f.await("the servers", func() bool { return f.countRows("servers") >= servers })
}

func (f *fleet) countRows(table string) int {
	response, err := f.client.Get("http://" + f.store + "/v1/rows-get?part=&table=" + table)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var rows struct{ Rows []json.RawMessage }
	if json.NewDecoder(response.Body).Decode(&rows) != nil {
		return 0
	}
	return len(rows.Rows)
}

var (
	addressMu sync.Mutex
	given     = map[string]bool{}
)

// Ports of the rig: below those that the kernel gives to outgoing connections.
const (
	firstPort = 15000
	lastPort  = 30000
)

// freeAddress returns a loopback address with a free port that it has not returned before.
func freeAddress() string {
	addressMu.Lock()
	defer addressMu.Unlock()
	for {
		address := fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close() // it was only needed to see that the port is free
		if !given[address] {
			given[address] = true
			return address
		}
	}
}
