//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// startPlain starts plain servers and an instance in each of two failure domains.
func startPlain(f *fleet, servers int) ([]*gateway, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	for i := range servers {
		name, address := fmt.Sprint("app-", i), freeAddress()
		if _, err := f.start(name, nil, own, "server", "-listen", address, "-address", address, "-id", name, "-zone", fmt.Sprint("zone-", i%2), "-store", f.store); err != nil {
			return nil, err
		}
	}
	if err := f.configure(servers); err != nil {
		return nil, err
	}
	var gateways []*gateway
	for i := range 2 {
		g, err := f.startGateway(fmt.Sprint("gateway-", i), fmt.Sprint("zone-", i))
		if err != nil {
			return nil, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(contactTime) // so that the instances are in touch
	return gateways, nil
}

// residentMB returns the memory of a process without the pages of its program file.
func (p *process) residentMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if fields := bytes.Fields(line); len(fields) == 3 && string(fields[0]) == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(string(fields[1])) // a number by its format
			return kilobytes >> 10
		}
	}
	return 0
}

// manyLines returns a request inside the limits whose head has very many short lines, without its end.
func manyLines(id string, headBytes int) string {
	var b strings.Builder
	b.WriteString(head("GET", idempotentPath+"1", id, 2500*time.Millisecond))
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	for i := 0; b.Len()+len("abc:\r\n\r\n") < headBytes; i++ {
		_, _ = fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i/36/36%26], letters[i/36%36], letters[i%36]) // never fails
	}
	return b.String()
}

// sendCrowd sends one request on each of a number of connections at about the same moment. The last line of
// each head follows a second and a half later, within the header time-out.
func sendCrowd(f *fleet, g *gateway, round, crowd, headBytes int) {
	var callers sync.WaitGroup
	var answered, failed atomic.Int64
	for i := range crowd {
		callers.Go(func() {
			conn, err := net.DialTimeout("tcp", g.front, time.Second)
			if err != nil {
				failed.Add(1)
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // fails on a closed connection only
			if _, err = io.WriteString(conn, manyLines(fmt.Sprintf("crowd-%d-%d", round, i), headBytes)); err == nil {
				time.Sleep(1500 * time.Millisecond)
				_, err = io.WriteString(conn, "\r\n")
			}
			if err == nil {
				_, err = conn.Read(make([]byte, 1))
			}
			if err != nil {
				failed.Add(1)
				return
			}
			answered.Add(1)
		})
	}
	callers.Wait()
	f.record.printf("crowd round=%d instance=%s requests=%d answered=%d failed=%d", round, g.name, crowd, answered.Load(), failed.Load())
}

// checkManyLines sends crowds of requests inside the limits to two instances. A process whose memory
// exceeds that of its machine is killed and started again, as the platform does.
func checkManyLines(f *fleet, trouble bool) (broken bool, err error) {
	const crowd, rounds, endsAllowed, headBytes = 1000, 3, 2, 16000
	gateways, err := startPlain(f, 3)
	if err != nil {
		return false, err
	}
	ends := map[string]int{}
	for round := range rounds {
		for _, g := range gateways {
			stop, watched := make(chan struct{}), make(chan int, 1)
			go func() {
				most := 0
				for {
					most = max(most, g.residentMB())
					if most > memoryMB {
						g.signal(os.Kill)
					}
					select {
					case <-stop:
						watched <- most
						return
					case <-time.After(5 * time.Millisecond):
					}
				}
			}()
			if trouble {
				sendCrowd(f, g, round, crowd, headBytes)
			} else {
				for i := range 3 { // single requests of the same form
					sendCrowd(f, g, round*100+i, 1, headBytes)
				}
			}
			close(stop)
			f.record.printf("memory round=%d instance=%s most_mb=%d limit_mb=%d", round, g.name, <-watched, memoryMB)
			if g.ended() {
				ends[g.name]++
				f.record.printf("process of %s exceeded the memory of its machine and was ended; it starts again", g.name)
				if err := g.run(); err != nil {
					return false, err
				}
			}
			a := call(g.front, "GET", idempotentPath+"1", fmt.Sprint("ordinary-", round, g.name), "", 2500*time.Millisecond)
			f.record.printf("ordinary request instance=%s %s", g.name, a)
		}
	}
	for _, g := range gateways {
		if ends[g.name] <= endsAllowed {
			return false, nil
		}
	}
	f.record.printf("FAULT processes of %d machines of 2 ended by themselves %d times each", len(ends), rounds)
	return true, nil
}

// checkIdleCrowd opens as many connections to one instance as its settings allow, which send nothing, and
// then lets ordinary callers try. Nothing is sent to the other instance.
func checkIdleCrowd(f *fleet, trouble bool) (broken bool, err error) {
	const crowd, ordinary = 1900, 10
	gateways, err := startPlain(f, 3)
	if err != nil {
		return false, err
	}
	g := gateways[0]
	if trouble {
		f.record.printf("%d callers connect to %s and are idle", crowd, g.name)
		for range crowd {
			c, err := dial(g.front)
			if err != nil {
				f.record.printf("an idle caller could not connect: %v", err)
				break
			}
			defer c.close()
		}
		time.Sleep(500 * time.Millisecond)
	}
	startedAt := time.Now()
	var served, tried, notReady atomic.Int64
	var callers sync.WaitGroup
	for i := range ordinary {
		callers.Go(func() {
			for n := 0; time.Since(startedAt) < 2*contactTime; n++ {
				id := fmt.Sprintf("call-%d-%d", i, n)
				a := call(g.front, "GET", idempotentPath+"1", id, "", 2500*time.Millisecond)
				f.record.printf("request=%s %s", id, a)
				tried.Add(1)
				if a.complete() {
					served.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for time.Since(startedAt) < 2*contactTime {
		if !g.ready() {
			notReady.Add(1)
		}
		time.Sleep(time.Second)
	}
	callers.Wait()
	f.record.printf("callers=%d requests=%d answered=%d readiness_misses=%d seconds=%.1f", ordinary, tried.Load(), served.Load(), notReady.Load(), time.Since(startedAt).Seconds())
	if served.Load() == 0 && notReady.Load() == 0 {
		f.record.printf("RECOVER %s said that it was ready and took no new connection", g.name)
		return true, nil
	}
	return false, nil
}
