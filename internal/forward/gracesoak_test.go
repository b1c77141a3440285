package forward

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

// memoryListener is an in-memory listener, for virtual time.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the caller's end of a new connection.
func (l *memoryListener) dial() (net.Conn, bool) {
	caller, server := net.Pipe()
	select {
	case l.conns <- server:
		return caller, true
	case <-l.closed:
		return nil, false
	}
}

// graceSoak plays requests of all kinds around SIGTERM, over connections that callers keep.
type graceSoak struct {
	*harness
	seed     uint64
	listener *memoryListener
	signalAt time.Time
	endsAt   time.Time

	mu         sync.Mutex // guards the fields below
	runs       map[string]int
	refused    map[string]bool // answered 503
	single     map[string]bool // must not run twice
	counts     map[string]int
	answers    int
	violations []violation
}

var soakPaths = []string{"/once", "/call", "/stream", "/onestream"}

func soakKind(path string) route.Kind {
	switch path {
	case "/once":
		return route.AtMostOnce
	case "/call":
		return route.Idempotent
	}
	return route.Stream
}

const (
	soakLead    = 20 * time.Second // from the first request to SIGTERM
	soakCallers = 40
)

func newGraceSoak(t *testing.T, seed uint64) *graceSoak {
	rng := rand.New(rand.NewPCG(seed, 0))
	s := &graceSoak{harness: newHarness(t, streaming, true), seed: seed, listener: newMemoryListener(), runs: map[string]int{}, refused: map[string]bool{}, single: map[string]bool{}, counts: map[string]int{}}
	s.signalAt = time.Now().Add(soakLead)
	s.endsAt = s.signalAt.Add(time.Second + time.Duration(rng.Int64N(int64(19*time.Second))))
	var upstreams []pool.Upstream
	for i, service := range []string{"plain", "plain", "plain", "plain", "engine", "engine", "engine", "engine"} {
		name := fmt.Sprint(service, i)
		upstreams = append(upstreams, pool.Upstream{ID: name, Service: service, Address: name, FailureDomain: fmt.Sprint(i % 2), Slots: 8, StartedAt: 1})
		if i%4 != 3 { // one of each service is down
			s.setBehaviour(s.respond, name)
		}
	}
	s.pool.Replace(upstreams)
	s.setTable(soakTable(rng, 1))
	if rng.IntN(2) == 0 {
		s.seeStreams(time.Duration(rng.Int64N(int64(8 * time.Second))))
	}
	if rng.IntN(4) == 0 {
		startup := make(chan struct{})
		s.f.Startup = startup
		time.AfterFunc(time.Duration(rng.Int64N(int64(2*soakLead))), func() { close(startup) })
	}
	for version := int64(2); rng.IntN(3) > 0; version++ {
		time.AfterFunc(time.Duration(rng.Int64N(int64(2*soakLead))), func() { s.setTable(soakTable(rand.New(rand.NewPCG(seed, uint64(version))), version)) })
	}
	return s
}

// soakTable returns a version of the configuration; later ones may have shorter time-outs, lower limits and fewer
// routes.
func soakTable(rng *rand.Rand, version int64) *route.Table {
	document := route.Document{Version: version, Services: []route.Service{
		{Name: "plain"}, {Name: "engine", Engine: &route.Engine{Slots: 8, HoldsKVCopies: true, KVCopyTTL: 4 * time.Second}},
	}}
	for _, path := range soakPaths {
		if version > 1 && rng.IntN(8) == 0 {
			continue
		}
		r := route.Route{Name: path, Host: "host", Prefix: path, Kind: soakKind(path), MaxAttempts: 1 + rng.IntN(5), LatencyGoal: testGoal,
			Timeout: time.Duration(1+rng.IntN(30)) * time.Second, Targets: []route.Target{{Service: "plain", Weight: 1}}}
		if r.Kind == route.Stream {
			r.Targets[0].Service, r.Resumable = "engine", path == "/stream"
		}
		document.Routes = append(document.Routes, r)
	}
	if version > 1 && rng.IntN(3) == 0 {
		document.Limits.BodyBytes = 50
	}
	return route.NewTable(document)
}

// random returns the source of random decisions on a request.
func (s *graceSoak) random(id string, use int) *rand.Rand {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, id)
	return rand.New(rand.NewPCG(s.seed+uint64(use)<<32, hash.Sum64()))
}

// respond answers, refuses, loses or never ends a request. It counts the runs.
func (s *graceSoak) respond(req receivedRequest) (*http.Response, error) {
	id := req.header.Get("Id")
	s.mu.Lock()
	s.counts["sent"]++
	rng := s.random(id, s.counts["sent"])
	s.mu.Unlock()
	events := 5 + s.random(id, 0).IntN(100)
	delay := time.Duration(rng.Int64N(int64([]time.Duration{50 * time.Millisecond, time.Second, 12 * time.Second}[rng.IntN(3)])))
	interval := 10*time.Millisecond + time.Duration(rng.Int64N(int64(200*time.Millisecond)))
	var next behaviour
	runs := true
	switch kind := rng.IntN(10); {
	case kind == 0:
		next, runs = refuseAsNotRun, false
	case kind == 1:
		next = resetConnection
	case kind == 2:
		next = respondWith(http.StatusServiceUnavailable, "of the upstream")
	case kind == 3 && strings.HasPrefix(req.upstream, "engine"):
		next = sendEvents(events/2, interval, []error{errReset, errHang}[rng.IntN(2)])
	case strings.HasPrefix(req.upstream, "engine"):
		next = sendEvents(events, interval, nil)
	default:
		next = respondWith(http.StatusOK, "answer")
	}
	if runs {
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
	}
	r, err := respondAfter(delay, next)(req)
	if err == nil {
		r.Header.Set("Id", id)
	}
	return r, err
}

// violation is a broken guarantee of a request.
type violation struct{ id, text string }

// outcome is what a caller got for a request.
type outcome struct {
	whole    bool // the whole request was sent
	status   int  // 0: no head of a response
	complete bool
	closes   bool // the connection is not used again
}

// exchange sends a request over a connection and reads the response.
func (s *graceSoak) exchange(conn net.Conn, reader *bufio.Reader, id, path string, rng *rand.Rand) outcome {
	body := strings.Repeat("b", 1+rng.IntN(100))
	deadline := 200*time.Millisecond + time.Duration(rng.Int64N(int64([]time.Duration{time.Second, 25 * time.Second}[rng.IntN(2)])))
	var bodyTime time.Duration
	if rng.IntN(3) == 0 {
		bodyTime = time.Duration(rng.Int64N(int64(5 * time.Second)))
	}
	sent := make(chan bool, 1)
	go func() {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: host\r\nId: %s\r\nDeadline: %d\r\nContent-Length: %d\r\n\r\n", path, id, deadline.Milliseconds(), len(body))
		for i := 0; i < len(body) && err == nil; i++ {
			if bodyTime > 0 {
				time.Sleep(bodyTime / time.Duration(len(body)))
			}
			_, err = io.WriteString(conn, body[i:i+1])
		}
		sent <- err == nil
	}()
	var got outcome
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		got.status, got.closes = response.StatusCode, response.Close
		_, err = io.Copy(io.Discard, response.Body)
		got.complete = err == nil
	}
	if err != nil || got.closes {
		_ = conn.Close() // ends a body that is still being sent
	}
	got.whole = <-sent
	got.closes = got.closes || err != nil || !got.whole
	return got
}

// call sends requests until the process has ended.
func (s *graceSoak) call(caller int) {
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for n := 0; ; n++ {
		id := fmt.Sprintf("%d-%d", caller, n)
		rng := s.random(id, 1)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
		if conn == nil {
			var ok bool
			if conn, ok = s.listener.dial(); !ok {
				return
			}
			reader = bufio.NewReader(conn)
		}
		if !time.Now().Before(s.endsAt) {
			return
		}
		path := soakPaths[rng.IntN(len(soakPaths))]
		got := s.exchange(conn, reader, id, path, rng)
		s.check(id, path, got)
		if got.closes {
			_ = conn.Close()
			conn = nil
		}
	}
}

// check records a violation for a whole request without an answer, unless it is a stream that had begun.
func (s *graceSoak) check(id, path string, got outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[fmt.Sprintf("%s %d", path, got.status)]++
	if got.complete {
		s.answers++
	}
	begun := got.status == http.StatusOK && soakKind(path) == route.Stream
	if got.whole && !got.complete && !begun {
		s.violations = append(s.violations, violation{id, fmt.Sprintf("%s %s: cut off with status %d at %v of %v", path, id, got.status, time.Since(s.signalAt), s.endsAt.Sub(s.signalAt))})
	}
	s.refused[id] = got.status == http.StatusServiceUnavailable
	s.single[id] = path == "/once" || path == "/onestream"
}

// checkRuns records a violation for each request that ran after its refusal or ran twice.
func (s *graceSoak) checkRuns() {
	for id, runs := range s.runs {
		if s.refused[id] || s.single[id] && runs > 1 {
			s.violations = append(s.violations, violation{id, fmt.Sprintf("%s: %d runs, refused: %t", id, runs, s.refused[id])})
		}
	}
}

// logViolations logs the violations, and what the instance logged about the first ones.
func (s *graceSoak) logViolations() {
	const explained = 3
	lines := strings.Split(s.log.String(), "\n")
	for i, v := range s.violations {
		s.t.Log(v.text)
		for _, line := range lines {
			if i < explained && strings.Contains(line+" ", "request="+v.id+" ") {
				s.t.Log(line)
			}
		}
	}
}

func graceSeeds() []uint64 {
	var seeds []uint64
	for _, text := range strings.FieldsFunc(os.Getenv("FOXTAILHUB_SEED"), func(r rune) bool { return r == ',' }) {
		if seed, err := strconv.ParseUint(text, 10, 64); err == nil {
			seeds = append(seeds, seed)
		}
	}
	if len(seeds) == 0 {
		return []uint64{1, 2, 3, 4, 5, 6}
	}
	return seeds
}

// Guards against requests around SIGTERM that get no answer, run after a refusal, or run twice.
func TestRequestsAroundLeavingAreAnswered(t *testing.T) {
	for _, seed := range graceSeeds() {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newGraceSoak(t, seed)
				server := &http.Server{Handler: s.f}
				go func() { _ = server.Serve(s.listener) }()
				time.AfterFunc(time.Until(s.signalAt), func() { s.f.Drain.Start(s.endsAt) })
				var callers sync.WaitGroup
				for c := range soakCallers {
					callers.Go(func() { s.call(c) })
				}
				time.Sleep(time.Until(s.endsAt))
				synctest.Wait()
				_ = server.Close() // the process is killed
				callers.Wait()
				time.Sleep(time.Minute)
				synctest.Wait()
				s.checkRuns()
				t.Logf("grace %v: %v", s.endsAt.Sub(s.signalAt), s.counts)
				s.logViolations()
				s.g.Expect(s.violations).To(HaveLen(0))
				s.g.Expect(s.answers).To(BeNumerically(">", soakCallers))
			})
		})
	}
}
