package pool

import "time"

const (
	// departedRetention is how long a leaving process is remembered after its entry was
	// removed. Upstreams still serve for seconds, sometimes many, after that.
	departedRetention = 10 * time.Minute
	// maxDeparted bounds the number of remembered processes.
	maxDeparted = 10_000
)

// incarnation identifies one process of an upstream.
type incarnation struct {
	id        string
	address   string
	startedAt int64
}

func incarnationOf(u Upstream) incarnation {
	return incarnation{id: u.ID, address: u.Address, startedAt: u.StartedAt}
}

// departedProcesses holds the processes that are leaving and no longer listed. An entry that
// lapses and reappears, or that another writer adds, does not make such a process
// eligible again.
type departedProcesses map[incarnation]time.Time // when their entry was found missing

// add records the leaving processes that the next list lacks, and drops expired ones.
func (d departedProcesses) add(now time.Time, old *Snapshot, next []Upstream) {
	for key, at := range d {
		if now.Sub(at) >= departedRetention {
			delete(d, key)
		}
	}
	listed := make(map[incarnation]bool, len(next))
	for _, u := range next {
		listed[incarnationOf(u)] = true
	}
	for _, m := range old.byID {
		key := incarnationOf(m.Upstream)
		if (m.Draining || m.leaving.Load()) && !listed[key] && len(d) < maxDeparted {
			d[key] = now
		}
	}
}

// has reports whether a process was leaving when its entry was removed.
func (d departedProcesses) has(now time.Time, u Upstream) bool {
	at, known := d[incarnationOf(u)]
	return known && now.Sub(at) < departedRetention
}
