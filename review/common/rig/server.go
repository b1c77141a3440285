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
	"strings"
	"time"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
)

// appServer is a plain server. It answers in two parts, with neither a length nor chunks.
type appServer struct {
	id      string
	service string
	zone    string
	address string // in its entry
	store   string
	work    time.Duration // between the two parts
	born    int64
}

// wholeBody is the body of the answer to a request.
func wholeBody(id string) string {
	return "begin " + id + "\n" + strings.Repeat("line of "+id+"\n", 40) + "end " + id + "\n"
}

func runServer(arguments []string) int {
	s := appServer{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	listen := flags.String("listen", "", "")
	flags.StringVar(&s.id, "id", "", "")
	flags.StringVar(&s.service, "service", "app", "")
	flags.StringVar(&s.zone, "zone", "", "")
	flags.StringVar(&s.address, "address", "", "")
	flags.StringVar(&s.store, "store", "", "")
	flags.DurationVar(&s.work, "work", 30*time.Millisecond, "")
	_ = flags.Parse(arguments) // exits on an error
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	go s.register()
	fmt.Println(http.Serve(listener, s))
	return exitNotRun
}

// register writes the entry of the server every 400 ms.
func (s appServer) register() {
	client := &http.Client{Timeout: time.Second}
	for ; ; time.Sleep(400 * time.Millisecond) {
		entry, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "born": s.born,
		}) // never fails
		_ = emulator.WriteRow(context.Background(), client, s.store, "servers", s.id, entry) // written again soon
	}
}

func (s appServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	fmt.Fprintf(os.Stdout, "runs request=%s at_ms=%d server=%s born=%d method=%s target=%q\n", id, time.Now().UnixMilli(), s.id, s.born, r.Method, r.RequestURI)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body := wholeBody(id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\nConnection: close\r\n\r\n%s",
		id, s.id, body[:len(body)/2]) // an error ends the next write too
	time.Sleep(s.work)
	if _, err := io.WriteString(conn, body[len(body)/2:]); err == nil {
		fmt.Fprintf(os.Stdout, "answered request=%s server=%s\n", id, s.id)
	}
}
