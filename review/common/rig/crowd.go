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

// unreadBody is a request that is refused before its body is read, which does not follow.
const unreadBody = "POST /book/1 HTTP/1.1\r\nHost: " + callerHost + "\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 2500\r\nContent-Length: 100\r\n" +
	"Authorization: Bearer revoked\r\n\r\n"

// checkUnreadBodies lets as many callers as the settings of one instance allow send the head of a request with
// an unknown key, and no body. Ordinary callers try when each limit of the configuration for these has passed.
func checkUnreadBodies(f *fleet, trouble bool) (broken bool, err error) {
	return checkCrowd(f, trouble, unreadBody, 30*time.Second)
}

// checkCrowd lets a crowd connect to one instance and send a text, and then lets ordinary callers try. Nothing
// is sent to the other instance.
func checkCrowd(f *fleet, trouble bool, text string, pause time.Duration) (broken bool, err error) {
	gateways, err := startPlain(f, 3)
	if err != nil {
		return false, err
	}
	g := gateways[0]
	if trouble {
		defer connectCrowd(f, g, text)()
	}
	time.Sleep(pause)
	tries := tryCalls(f, g, "GET", idempotentPath+"1", 2*contactTime)
	f.record.printf("callers=%d requests=%d answered=%d readiness_misses=%d seconds=%.1f", ordinaryCallers, tries.sent, tries.answered, tries.notReady, tries.took.Seconds())
	if tries.answered == 0 && tries.notReady == 0 {
		f.record.printf("RECOVER %s said that it was ready and took no new connection", g.name)
		return true, nil
	}
	return false, nil
}

// crowdSize is a little more than the connections that an instance takes.
const crowdSize = 1900

// connectCrowd lets a crowd connect to an instance and send a text. The returned function closes its
// connections.
func connectCrowd(f *fleet, g *gateway, text string) (leave func()) {
	var crowd []*caller
	f.record.printf("%d callers connect to %s and send %q", crowdSize, g.name, text)
	for range crowdSize {
		c, err := dial(g.front)
		if err == nil {
			crowd = append(crowd, c)
			_, err = io.WriteString(c.conn, text)
		}
		if err != nil {
			f.record.printf("a caller of the crowd failed: %v", err)
			break
		}
	}
	time.Sleep(500 * time.Millisecond)
	return func() {
		for _, c := range crowd {
			c.close()
		}
		f.record.printf("the crowd of %d has left", len(crowd))
	}
}

// ordinaryCallers is the number of callers that try while a crowd is connected.
const ordinaryCallers = 10

// tries are the requests of ordinary callers.
type tries struct {
	sent, answered, notReady int
	took                     time.Duration
	leftAt                   map[string]time.Time // when its caller closed the connection, by request
}

// tryCalls lets ordinary callers send one request after another, each on a connection of its own, and asks once a
// second whether the instance is ready.
func tryCalls(f *fleet, g *gateway, method, path string, length time.Duration) tries {
	result := tries{leftAt: map[string]time.Time{}}
	var mu sync.Mutex // guards result
	var callers sync.WaitGroup
	startedAt := time.Now()
	for i := range ordinaryCallers {
		callers.Go(func() {
			for n := 0; time.Since(startedAt) < length; n++ {
				id := fmt.Sprintf("call-%d-%d", i, n)
				a := call(g.front, method, path, id, "", 2500*time.Millisecond)
				leftAt := time.Now()
				f.record.printf("request=%s %s", id, a)
				mu.Lock()
				result.sent++
				result.leftAt[id] = leftAt
				if a.complete() {
					result.answered++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for time.Since(startedAt) < length {
		ready := g.ready()
		mu.Lock()
		if !ready {
			result.notReady++
		}
		mu.Unlock()
		time.Sleep(time.Second)
	}
	callers.Wait()
	result.took = time.Since(startedAt)
	return result
}

// checkLeftCallers lets a crowd of idle callers connect to one instance for some seconds. Ordinary callers send
// requests meanwhile and give up at their deadline. Then the crowd leaves.
func checkLeftCallers(f *fleet, trouble bool) (broken bool, err error) {
	const allowed = 10 // "a few"
	const slack = 500 * time.Millisecond
	gateways, err := startPlain(f, 3)
	if err != nil {
		return false, err
	}
	g := gateways[0]
	leave := func() {}
	if trouble {
		leave = connectCrowd(f, g, "")
	}
	tries := tryCalls(f, g, "POST", atMostOncePath+"1", 2*contactTime)
	time.Sleep(time.Second)
	leave()
	time.Sleep(2 * time.Second)
	late := 0
	for id, lines := range f.runs() {
		leftAt, sent := tries.leftAt[id]
		for _, line := range lines {
			var request string
			var ms int64
			if _, err := fmt.Sscanf(line, "runs request=%s at_ms=%d", &request, &ms); err != nil {
				return false, fmt.Errorf("%w: server log %q", errNotRun, line)
			}
			if after := time.UnixMilli(ms).Sub(leftAt); sent && after > slack {
				late++
				f.record.printf("GONE request=%s reached a server %d ms after its caller had closed the connection: %s", id, after.Milliseconds(), line)
			}
		}
	}
	f.record.printf("callers=%d requests=%d answered=%d readiness_misses=%d reached a server over %v after their callers had left=%d", ordinaryCallers, tries.sent, tries.answered, tries.notReady, slack, late)
	return late > allowed, nil
}
