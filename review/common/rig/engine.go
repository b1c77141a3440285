//go:build review

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
)

const (
	// A prompt of 8,000 tokens is read in a second; 130 events of 10 tokens follow, as on the sheets.
	prefillTime   = time.Second
	streamEvents  = 130
	eventInterval = 40 * time.Millisecond
	// engineDrain is how long a leaving engine takes requests after the store has accepted its report:
	// drain_ms and a little longer.
	engineDrain = 2200 * time.Millisecond
)

// engine is a model server. Its streams have neither a length nor chunks. When it is told to leave, it says so,
// goes on for engineDrain, takes no further connections, ends what runs and exits.
type engine struct {
	appServer
	leaving atomic.Bool
	mu      sync.Mutex // guards running
	running map[string]int
	streams sync.WaitGroup
}

func runEngine(arguments []string) int {
	e := &engine{running: map[string]int{}}
	e.born, e.service = time.Now().UnixMilli(), "llm"
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	flags.StringVar(&e.id, "id", "", "")
	flags.StringVar(&e.zone, "zone", "", "")
	flags.StringVar(&e.address, "address", "", "")
	flags.StringVar(&e.store, "store", "", "")
	_ = flags.Parse(arguments) // exits on an error
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	go func() { _ = http.Serve(listener, e) }() // ends with the listener
	ticker := time.NewTicker(400 * time.Millisecond)
	for _ = e.beat(); ; {
		select {
		case <-ticker.C:
			_ = e.beat() // repeated soon
			continue
		case <-terminate:
		}
		break
	}
	e.leaving.Store(true)
	for e.beat() != nil {
		time.Sleep(50 * time.Millisecond)
	}
	fmt.Printf("leaving accepted server=%s at_ms=%d\n", e.id, time.Now().UnixMilli())
	time.Sleep(engineDrain)
	_ = listener.Close() // nothing more is accepted
	fmt.Printf("takes no further connections server=%s at_ms=%d running=%d\n", e.id, time.Now().UnixMilli(), e.count())
	e.streams.Wait()
	fmt.Printf("exits server=%s at_ms=%d\n", e.id, time.Now().UnixMilli())
	return exitHeld
}

// beat writes the entry of the engine.
func (e *engine) beat() error {
	state := "ready"
	if e.leaving.Load() {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": state, "cold_left_ms": 0, "born": e.born,
		"stage": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": 0,
	}) // never fails
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return emulator.WriteRow(ctx, http.DefaultClient, e.store, "servers", e.id, entry)
}

func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("X-Instance-Id", e.id)
	switch r.URL.Path {
	case "/healthz":
		if e.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case "/v1/report":
		e.report(w)
	default:
		e.stream(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	state, running := "ready", e.count()
	if e.leaving.Load() {
		state = "draining"
	}
	runs := make([][]any, 0, running)
	for range running {
		runs = append(runs, []any{"run", 8000, 1, 5})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0, "waiting": 0,
		"running": running, "kv_used": 200 * running, "kv_total": 88000, "handles": 0, "state": state, "runs": runs, "born": e.born,
	}) // an error means that the instance has left
}

// eventText returns an event of the stream of a request.
func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", n, n, id)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.streams.Add(1)
	defer e.streams.Done()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.mu.Lock()
	e.running[id]++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.running, id)
		e.mu.Unlock()
	}()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
	fmt.Printf("runs request=%s at_ms=%d server=%s after=%d\n", id, time.Now().UnixMilli(), e.id, after)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	time.Sleep(prefillTime)
	leaving := ""
	if e.leaving.Load() {
		leaving = "Server-Leaving: 1\r\n"
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\n%sConnection: close\r\n\r\n", id, e.id, leaving)
	for n := after + 1; n <= streamEvents && err == nil; n++ {
		time.Sleep(eventInterval)
		_, err = io.WriteString(conn, eventText(id, n))
	}
	if err == nil {
		fmt.Printf("answered request=%s at_ms=%d server=%s\n", id, time.Now().UnixMilli(), e.id)
	}
}
