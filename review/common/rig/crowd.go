//go:build review

package main

import (
	"fmt"
	"io"
	"os"
	"sync"
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

// unreadBody is a request that is refused before its body is read, which does not follow.
const unreadBody = "POST /book/1 HTTP/1.1\r\nHost: " + callerHost + "\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 2500\r\nContent-Length: 100\r\n" +
	"Authorization: Bearer revoked\r\n\r\n"

// checkUnreadBodies lets as many callers as the settings of one instance allow send the head of a request with
// an unknown key, and no body. Ordinary callers try when each limit of the configuration for these has passed. Nothing
// is sent to the other instance.
func checkUnreadBodies(f *fleet, trouble bool) (broken bool, err error) {
	const pause = 30 * time.Second
	gateways, err := startPlain(f, 3)
	if err != nil {
		return false, err
	}
	g := gateways[0]
	if trouble {
		defer connectCrowd(f, g, unreadBody)()
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
}

// tryCalls lets ordinary callers send one request after another, each on a connection of its own, and asks once a
// second whether the instance is ready.
func tryCalls(f *fleet, g *gateway, method, path string, length time.Duration) tries {
	var result tries
	var mu sync.Mutex // guards result
	var callers sync.WaitGroup
	startedAt := time.Now()
	for i := range ordinaryCallers {
		callers.Go(func() {
			for n := 0; time.Since(startedAt) < length; n++ {
				id := fmt.Sprintf("call-%d-%d", i, n)
				a := call(g.front, method, path, id, "", 2500*time.Millisecond)
				f.record.printf("request=%s %s", id, a)
				mu.Lock()
				result.sent++
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
