//go:build review

// The case sends one streaming request, which crashes the server that runs it right after its first
// event, again and again to one machine after the other, beside sound streams that share its first part.
// It counts the attempts of the client that reach servers after the third crash.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/review/rig"
)

const (
	machines    = 6
	enginesEach = 6 // in each failure domain
	attempts    = 8
	// interval is the time between two attempts of the caller.
	interval = 5 * time.Second
	// restartPause is how long a crashed server is away.
	restartPause = 3 * time.Second
	// soundInterval is the time between two sound streams.
	soundInterval = 250 * time.Millisecond
	events        = 40
	deadline      = 25 * time.Second
	// crashesBefore and retriesAllowed are those of the rule.
	crashesBefore  = 3
	retriesAllowed = 3
	deadly         = "deadly"
	// engineProgram is the model server that review/build-2.sh builds.
	engineProgram = "target/review-2/engine"
)

var (
	zones = []string{"sapporo", "asahikawa", "obihiro"}
	line  = regexp.MustCompile(`(?m)^(arrived|crashed) request=(again-\d+) server=(\S+) at_us=(\d+)$`)
)

// runEngine starts an engine again whenever it has ended. Each start has an ID of its own.
func runEngine(r *rig.Rig, i int, store *rig.Store, address string) {
	for start := 0; ; start++ {
		p := r.NewProc(fmt.Sprintf("engine-%d-%d", i, start), engineProgram, nil, "-listen", address, "-store", store.Address,
			"-id", fmt.Sprintf("i-%d-%d", i, start), "-service", rig.Engines, "-failure-domain", zones[i%len(zones)], "-deadly", deadly)
		r.Must(p.Start(), "start an engine")
		<-p.Done()
		time.Sleep(restartPause)
	}
}

// event is a line about the request in the log of an engine.
type event struct {
	kind, id, server string
	at               time.Time
}

func readEvents(r *rig.Rig) (events []event) {
	paths, err := filepath.Glob(filepath.Join(r.Dir, "engine-*.log"))
	r.Must(err, "list the logs")
	for _, path := range paths {
		log, err := os.ReadFile(path)
		r.Must(err, "read the log of an engine")
		for _, match := range line.FindAllStringSubmatch(string(log), -1) {
			us, err := strconv.ParseInt(match[4], 10, 64)
			r.Must(err, "read the time of an event")
			events = append(events, event{match[1], match[2], match[3], time.UnixMicro(us)})
		}
	}
	slices.SortFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	return events
}

func stream(id, own string, body string) rig.Request {
	return rig.Request{
		Method: "POST", Path: "/guide/1", ID: id, Body: []byte(body), Deadline: deadline,
		Header: http.Header{"X-Model": {"m"}, "X-Token-Counts": {fmt.Sprintf("8000,%d", 10*events)}, "X-Prompt-Prefix": {"5c1e07a2:200," + own + ":7800"}},
	}
}

func main() {
	r := rig.New("review/6")
	store := r.StartStore()
	guide := rig.NewRoute("guide", "streaming", rig.Engines, 5, 25000)
	guide["resumable"], guide["gap_target_ms"], guide["latency_goal_ms"], guide["sticky"] = true, 700, 4500, true
	r.Must(store.Write("op", "config", rig.Configuration(1, guide)), "write the configuration")
	for i := range enginesEach * len(zones) {
		go runEngine(r, i, store, r.FreeAddress())
	}
	r.Await("the engines are listed", 10*time.Second, func() bool { return store.ListedServers() >= enginesEach*len(zones) })
	var fleet []*rig.Gateway
	for i := range machines {
		g := r.NewGateway(i, zones[i%len(zones)], store)
		r.Must(g.Start(), "start a gateway")
		fleet = append(fleet, g)
	}
	for _, g := range fleet {
		r.Await("the gateways are ready", 10*time.Second, g.Ready)
	}
	time.Sleep(10 * time.Second) // the pages' time until traffic starts

	body := "the history of a rider"
	if r.Trouble {
		body = deadly + " history of a rider"
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	sound := map[int]int{} // number of sound streams by status; 0: broken off
	stop := make(chan struct{})
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(soundInterval):
			}
			clients.Go(func() {
				id := fmt.Sprintf("sound-%03d", n)
				a := stream(id, fmt.Sprintf("%08x", n), "sound "+id).Send(fleet[n%machines].Front)
				mu.Lock()
				defer mu.Unlock()
				if a.Err != nil {
					a.Status = 0
				}
				sound[a.Status]++
			})
		}
	})
	time.Sleep(3 * time.Second)
	for n := range attempts {
		g := fleet[n%machines]
		id := fmt.Sprintf("again-%d", n)
		r.Recordf("%s to %s: %s", id, g.Name, stream(id, "ffffffff", body).Send(g.Front))
		time.Sleep(interval)
	}
	close(stop)
	clients.Wait()
	r.Recordf("sound streams by status, 0 for those that were broken off: %v", sound)
	var third time.Time
	crashes, arrivals := 0, 0
	late := map[string]bool{} // attempts of the client
	for _, e := range readEvents(r) {
		if e.kind == "crashed" {
			if crashes++; crashes == crashesBefore {
				third = e.at
			}
			continue
		}
		counts := !third.IsZero() && e.at.After(third.Add(rig.Contact))
		if counts {
			arrivals++
			late[e.id] = true
		}
		r.Recordf("%s reached %s at %s, counted: %v", e.id, e.server, e.at.Format("15:04:05.000"), counts)
	}
	r.Recordf("%d servers crashed; the request reached servers %d times later than contact_ms after its third crash", crashes, arrivals)
	if len(late) > retriesAllowed {
		r.Finish(rig.Broken, "%d retries of the request (%d arrivals) reached servers later than contact_ms after the third of %d crashes; %d are allowed", len(late), arrivals, crashes, retriesAllowed)
	}
	r.Finish(rig.Held, "%d retries of the request (%d arrivals) reached servers later than contact_ms after the third of %d crashes; %d are allowed", len(late), arrivals, crashes, retriesAllowed)
}
