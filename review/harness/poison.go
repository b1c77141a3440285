//go:build review

package harness

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The rule: a request that crashes the servers that run it reaches servers in no more than
// allowedRetries retries later than Contact after it has crashed the third.
const (
	// Contact is contact_ms of the small deployments.
	Contact        = 3 * time.Second
	knownCrashes   = 3
	allowedRetries = 3
)

const (
	// settleTime is the time before the first request, after which the gateways are in touch.
	settleTime   = Contact + time.Second
	callDeadline = 2500 * time.Millisecond
	// soundClients send one sound call after the other, with soundPause between them.
	soundClients = 6
	soundPause   = 100 * time.Millisecond
	soundWork    = 30 * time.Millisecond // of a call at the project's stand-in
	// repeatCopies and repeatFor are x and for_s of retry_abuse in the site file.
	repeatCopies = 3
	repeatFor    = 5500 * time.Millisecond
)

// PoisonCase is a fleet with a plain service, to which a request comes that crashes each server
// that runs it, beside sound calls. No call may be repeated.
type PoisonCase struct {
	Servers int
	// KeepIDs makes a server start again under the ID that it had.
	KeepIDs bool
	// Program is a server to be used instead of the project's stand-in, whose work is Work.
	Program string
	Work    time.Duration
	// Leaves is the time after which the client of the poison request closes its connection, for
	// LeavesFor from the first request on; 0: it waits.
	Leaves    time.Duration
	LeavesFor time.Duration
	Length    time.Duration // of the time in which requests come
	Pause     time.Duration // between two repeats of the poison request
	// Repeats are the times, since the first poison request, from which on its client repeats it
	// repeatCopies more times at once, for repeatFor each.
	Repeats []time.Duration
}

// Run runs the case and returns its exit code.
func (c PoisonCase) Run() int {
	fleet, err := Start(c.options())
	if err != nil {
		fmt.Println("the case could not run:", err)
		return ExitNotRun
	}
	defer fleet.Close()
	time.Sleep(settleTime)
	end := time.Now().Add(c.Length)
	var clients sync.WaitGroup
	clients.Go(func() { c.sendPoison(fleet, end) })
	failed := map[string]bool{}
	var mu sync.Mutex
	for n := range soundClients {
		clients.Go(func() {
			sendSound(fleet, n, end, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				failed[id] = true
			})
		})
	}
	clients.Wait()
	return judge(fleet, failed)
}

func (c PoisonCase) options() Options {
	o := Options{
		Gateways: 3, RestartDelay: 2 * time.Second, KeepIDs: c.KeepIDs,
		Configuration: map[string]any{
			"version": 1,
			"routes": []map[string]any{{
				"name": "reserve", "host": Host, "prefix": "/reserve/", "route_type": "non_idempotent", "service": "app",
				"timeout_ms": 1200, "latency_goal_ms": 150, "max_attempts": 1, "priority": 2,
			}},
			"services": []map[string]any{{"name": "app", "health_path": "/healthz", "max_conns": 96}},
			"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": []string{Key}}},
		},
	}
	for i := range c.Servers {
		s := Server{Name: fmt.Sprintf("app-%d", i), Service: "app", FailureDomain: fmt.Sprintf("zone-%d", i), Work: soundWork}
		if c.Program != "" {
			s.Arguments, s.Work = []string{c.Program}, c.Work
		}
		o.Servers = append(o.Servers, s)
	}
	return o
}

// sendPoison sends the same path, key and body, each time with another ID.
func (c PoisonCase) sendPoison(fleet *Fleet, end time.Time) {
	request := Request{Method: http.MethodPost, Path: "/reserve/7", Body: "deadly reservation", Deadline: callDeadline, Leaves: c.Leaves}
	if !Trouble() {
		request.Body, request.Leaves = "reservation", 0
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	began := time.Now()
	for n := 0; time.Now().Before(end); n++ {
		since := time.Since(began)
		if since >= c.LeavesFor {
			request.Leaves = 0
		}
		for i := range c.copies(since) {
			r, gateway := request, (n+i)%len(fleet.Gateways)
			r.ID = fmt.Sprintf("poison-%03d-%d", n, i)
			requests.Go(func() {
				fleet.Record("%s is sent to edge-%d", r.ID, gateway)
				answer := fleet.Send(fleet.Gateways[gateway], r)
				fleet.Record("%s gets status %d, %q", r.ID, answer.Status, answer.Body)
			})
		}
		time.Sleep(c.Pause)
	}
}

// copies returns how often the poison request is sent at a time since the first one.
func (c PoisonCase) copies(since time.Duration) int {
	for _, from := range c.Repeats {
		if since >= from && since < from+repeatFor {
			return 1 + repeatCopies
		}
	}
	return 1
}

// sendSound sends sound calls one after the other and reports those without success.
func sendSound(fleet *Fleet, client int, end time.Time, failed func(id string)) {
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("sound-%d-%04d", client, n)
		gateway := (client + n) % len(fleet.Gateways)
		answer := fleet.Send(fleet.Gateways[gateway], Request{ID: id, Method: http.MethodPost, Path: "/reserve/" + id, Body: "reservation " + id, Deadline: callDeadline})
		if answer.Status != http.StatusOK || !answer.Complete {
			failed(id)
			fleet.Record("%s at edge-%d gets status %d, %q", id, gateway, answer.Status, answer.Body)
		}
		time.Sleep(soundPause)
	}
}

// judge counts the poison requests that reached servers, and the sound ones that a server ran and
// whose client got no success.
func judge(fleet *Fleet, failed map[string]bool) int {
	arrived, err := fleet.Events("arrived")
	if err != nil {
		fmt.Println("the case could not run:", err)
		return ExitNotRun
	}
	ran, err := fleet.Events("ran")
	if err != nil {
		fmt.Println("the case could not run:", err)
		return ExitNotRun
	}
	lost := 0
	for _, e := range ran {
		if failed[e.Request] {
			lost++
			fleet.Record("%s was run by %s and got no success", e.Request, e.Server)
		}
	}
	poison := slices.DeleteFunc(arrived, func(e Event) bool { return !e.HasPrefix("poison-") })
	slices.SortFunc(poison, func(a, b Event) int { return a.At.Compare(b.At) })
	crashes := fleet.Crashes()
	late := 0
	for i, e := range poison {
		isLate := len(crashes) >= knownCrashes && e.At.After(crashes[knownCrashes-1].Add(Contact))
		if isLate {
			late++
		}
		fleet.Record("%s reached %s at %.3f s (no. %d, late: %t)", e.Request, e.Server, fleet.Since(e.At).Seconds(), i+1, isLate)
	}
	result := fmt.Sprintf("%d crashes; %d poison requests reached servers, %d of them later than %v after the third crash (%d are allowed); %d sound calls were run and lost",
		len(crashes), len(poison), late, Contact, allowedRetries, lost)
	fleet.Record("%s", result)
	fmt.Println(result)
	if late > allowedRetries {
		return ExitBroken
	}
	return ExitHeld
}

// Crashes returns when servers have crashed, as the harness has noticed.
func (f *Fleet) Crashes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ended)
}
