//go:build review

// Package harness starts gateways and stand-ins of the platform as separate processes on
// loopback, for the cases of the review. Close ends all of them.
package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

const (
	// Host and Key are those of the configuration that Start writes.
	Host       = "shop.example"
	Key        = "key-1"
	firstPort  = 15000
	portBlock  = 100
	portBlocks = 150
	// startTimeout bounds the start of the processes.
	startTimeout = 10 * time.Second
)

// Server describes a server of the platform.
type Server struct {
	Name          string
	Service       string
	Engine        bool
	FailureDomain string
	Work          time.Duration // of a call, or to prefill a prompt
	EventInterval time.Duration // of a stream
	Arguments     []string      // program and further arguments; nil: the project's stand-in
	Dark          bool          // the server falls silent in a crash, until RestartDelay has passed
	RestartDelay  time.Duration // replaces that of the options; 0: it does not
}

// Options describe a fleet.
type Options struct {
	Servers       []Server
	Gateways      int
	Configuration map[string]any
	// RestartDelay is the time after which a server that has ended is started again.
	RestartDelay time.Duration
	// KeepIDs makes a server start again under the ID that it had.
	KeepIDs bool
}

// Fleet is a set of running processes.
type Fleet struct {
	Options
	Gateways []string // addresses

	dir       string
	bin       string
	store     string
	logs      []string // of the servers
	readiness []string
	recordMu  sync.Mutex
	record    *os.File
	started   time.Time

	mu        sync.Mutex
	closed    bool
	processes []*exec.Cmd
	servers   map[string]*exec.Cmd // present process of each server
	ended     []time.Time          // when servers have ended by themselves
	restarts  sync.WaitGroup
}

// Start starts the store, the servers and the gateways, and waits until the gateways are ready.
// Records go to record.txt in the folder of the case.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{Options: options, started: time.Now(), servers: map[string]*exec.Cmd{}}
	var err error
	if f.bin, err = filepath.Abs("target"); err != nil {
		return nil, err
	}
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if f.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		return nil, err
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	f.store = freeAddress()
	if _, err := f.run("store", nil, f.standin(), "-role", "routed-store", "-listen", f.store); err != nil {
		return err
	}
	config, err := json.Marshal(f.Configuration)
	if err != nil {
		return err
	}
	if err := await(func() bool { return f.WriteRow("op", "config", config) == nil }); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	for _, s := range f.Servers {
		if err := f.startServer(s); err != nil {
			return err
		}
	}
	if err := await(func() bool { return f.registered() >= len(f.Servers) }); err != nil {
		return fmt.Errorf("servers: %w", err)
	}
	for i := range f.Options.Gateways {
		if err := f.startGateway(i); err != nil {
			return err
		}
	}
	for _, address := range f.readiness {
		if err := await(func() bool {
			response, err := http.Get("http://" + address + "/v1/readyz")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}); err != nil {
			return fmt.Errorf("gateway: %w", err)
		}
	}
	return nil
}

func (f *Fleet) standin() string { return filepath.Join(f.bin, "review", "foxtailhub-standin") }

// startServer starts a server, and again whenever it has ended.
func (f *Fleet) startServer(s Server) error {
	address, log := freeAddress(), filepath.Join(f.dir, s.Name+".log")
	f.logs = append(f.logs, log)
	launch := func(count int) (*exec.Cmd, error) {
		id := s.Name
		if !f.KeepIDs {
			id = fmt.Sprintf("%s-%d", s.Name, count)
		}
		arguments := s.Arguments
		if arguments == nil {
			role := "routed-service"
			if s.Engine {
				role = "routed-engine"
			}
			arguments = []string{f.standin(), "-role", role}
		}
		arguments = append(append([]string(nil), arguments...), "-listen", address, "-address", address, "-store", f.store, "-id", id, "-service", s.Service,
			"-failure-domain", s.FailureDomain, "-slots", "64", "-work", s.Work.String(), "-beat", "1200ms")
		if s.Engine {
			arguments = append(arguments, "-token-interval", s.EventInterval.String())
		}
		f.Record("server %s starts as %s at %s", s.Name, id, address)
		process, err := f.run(s.Name, nil, arguments...)
		if err == nil {
			f.mu.Lock()
			f.servers[s.Name] = process
			f.mu.Unlock()
		}
		return process, err
	}
	process, err := launch(1)
	if err != nil {
		return err
	}
	delay := s.RestartDelay
	if delay == 0 {
		delay = f.RestartDelay
	}
	f.restarts.Go(func() {
		for count := 2; ; count++ {
			if s.Dark {
				f.awaitCrash(log, count-1)
				f.recordEnd(s.Name)
				time.Sleep(delay)
				_ = process.Process.Kill() // by its ID
				_ = process.Wait()
			} else {
				_ = process.Wait()
				f.recordEnd(s.Name)
				time.Sleep(delay)
			}
			if f.isClosed() {
				return
			}
			if !f.KeepIDs { // the platform removes the entry of a process that has ended
				_ = f.WriteRow("servers", fmt.Sprintf("%s-%d", s.Name, count-1), nil)
			}
			if process, err = launch(count); err != nil {
				return
			}
		}
	})
	return nil
}

// KillServer kills the present process of a server.
func (f *Fleet) KillServer(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.servers[name].Process.Kill() // by its ID; one that has ended needs none
}

// startGateway starts a gateway with the command of the deploy file.
func (f *Fleet) startGateway(i int) error {
	front, readiness := freeAddress(), freeAddress()
	settings, err := json.Marshal(map[string]any{
		"instance": fmt.Sprintf("edge-%d", i), "failure_domain": fmt.Sprintf("zone-%d", i), "front_address": front, "readiness_address": readiness,
		"metrics_address": freeAddress(), "store_address": f.store, "link_address": freeAddress(), "weight": 0.4, "first_start": true,
		"grace_ms": 8000, "leaving_ms": 2000, "configuration_ms": 2000, "memory_mb": 284, "descriptors": 4100, "retry_share": 0.8,
	})
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, fmt.Sprintf("edge-%d.json", i))
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	f.Gateways, f.readiness = append(f.Gateways, front), append(f.readiness, readiness)
	process, err := f.run(fmt.Sprintf("edge-%d", i), []string{"FOXTAILHUB_SETTINGS=" + path}, filepath.Join(f.bin, "foxtailhubd"), "gateway")
	if err == nil {
		go func() { _ = process.Wait() }()
	}
	return err
}

// run starts a program; its output goes to a log file in the temporary folder.
func (f *Fleet) run(name string, environment []string, arguments ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	process := exec.Command(arguments[0], arguments[1:]...)
	process.Stdout, process.Stderr = log, log
	process.Env = append(os.Environ(), environment...)
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends it also if the case is killed
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, os.ErrClosed
	}
	if err := process.Start(); err != nil {
		return nil, err
	}
	f.processes = append(f.processes, process)
	return process, nil
}

// awaitCrash waits until a server has logged a number of crashes, or the fleet is closed.
func (f *Fleet) awaitCrash(log string, count int) {
	for !f.isClosed() {
		text, _ := os.ReadFile(log) // an error means that there is no log yet
		if bytes.Count(text, []byte("crashed request=")) >= count {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *Fleet) recordEnd(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		f.ended = append(f.ended, time.Now())
		f.Record("server %s has ended", server)
	}
}

func (f *Fleet) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// Close ends all processes and removes the temporary folder.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	for _, process := range f.processes {
		_ = process.Process.Kill() // by its ID; one that has ended needs none
	}
	f.mu.Unlock()
	f.restarts.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
	_ = f.record.Close()
}

// Record writes a line with the time since the start.
func (f *Fleet) Record(format string, arguments ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// WriteRow writes a row of the store, or removes it if the value is nil.
func (f *Fleet) WriteRow(table, key string, value []byte) error {
	kind := "set_keys"
	if value == nil {
		kind = "remove"
	}
	body, err := json.Marshal(map[string]any{kind: []map[string]any{{"table": table, "part": "", "key": key, "value": value}}})
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+f.store+"/v1/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("store responded with status %d", response.StatusCode)
	}
	return nil
}

// registered returns the number of servers in the store.
func (f *Fleet) registered() int {
	response, err := http.Get("http://" + f.store + "/v1/rows-get?table=servers&part=")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var list struct {
		Rows []struct{} `json:"rows"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return 0
	}
	return len(list.Rows)
}

// Event is what a server has logged of a request.
type Event struct {
	Request, Server string
	At              time.Time
}

var eventLine = regexp.MustCompile(`(?m)^(arrived|ran|crashed) request=(\S+) server=(\S+).*?(?: at_us=(\d+))?$`)

// Events returns the requests that servers have logged as arrived, ran or crashed.
func (f *Fleet) Events(kind string) ([]Event, error) {
	var events []Event
	for _, path := range f.logs {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		for _, match := range eventLine.FindAllStringSubmatch(string(text), -1) {
			if match[1] != kind {
				continue
			}
			us, _ := strconv.ParseInt(match[4], 10, 64) // 0 if the line has no time
			events = append(events, Event{Request: match[2], Server: match[3], At: time.UnixMicro(us)})
		}
	}
	return events, nil
}

// Since returns the time between the start of the fleet and a time.
func (f *Fleet) Since(at time.Time) time.Duration { return at.Sub(f.started) }

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// HasPrefix reports whether a request is one of a group.
func (e Event) HasPrefix(prefix string) bool { return strings.HasPrefix(e.Request, prefix) }

// nextPort is the next port to try of the block of this process.
var nextPort = firstPort + os.Getpid()%portBlocks*portBlock

// freeAddress returns an address whose port is free and that was not returned before. Cases that run
// beside each other have blocks of their own, below the ports that the kernel gives to connections.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

func await(condition func() bool) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return os.ErrDeadlineExceeded
}
