package discovery

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// outageGap is the time without an answer after which missing entries may
	// have lapsed only because their servers could not reach the store either.
	outageGap = 2500 * time.Millisecond
	// lapseGrace is how long entries are kept after the first answer of the store.
	// A live server registers again within 2 s of the store's return, and the
	// first answer mostly comes some 0.3 s after that. With the longest time to the
	// first answer, a failed call and a pause, it ends 3 s after the return, when
	// requests at servers that have left count again.
	lapseGrace = 1700 * time.Millisecond
)

// ServerList keeps the pool up to date with the entries of the store.
type ServerList struct {
	pool    *pool.Pool
	decoder Decoder
	log     logrus.FieldLogger

	mu         sync.Mutex             // guards the fields below
	servers    map[string]pool.Server // by key
	lapsed     map[string]time.Time   // entries that are missing since an outage, and when they count as gone
	graceUntil time.Time              // until then missing entries may have lapsed
}

// NewServerList returns an empty list.
func NewServerList(p *pool.Pool, decoder Decoder, log logrus.FieldLogger) *ServerList {
	return &ServerList{
		pool: p, decoder: decoder, log: log,
		servers: map[string]pool.Server{}, lapsed: map[string]time.Time{},
	}
}

// Apply takes a batch of entries.
func (l *ServerList) Apply(batch Batch, whole bool, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if gap > outageGap && len(l.servers) > 0 {
		l.graceUntil = now.Add(lapseGrace)
	}
	present := map[string]bool{}
	changed := false
	for _, row := range batch.Rows {
		present[row.Key] = !row.Deleted
		if row.Deleted {
			changed = l.missing(row.Key, now) || changed
			continue
		}
		changed = l.entry(row) || changed
	}
	if whole {
		for key := range l.servers {
			if !present[key] {
				changed = l.missing(key, now) || changed
			}
		}
	}
	changed = l.expire(now) || changed
	if changed {
		l.publish()
	}
	l.pool.Confirm(now)
}

// entry takes the entry of a server. One that cannot be read names no server.
func (l *ServerList) entry(row Row) bool {
	s, err := l.decoder.Server(row)
	old, known := l.servers[row.Key]
	if err != nil {
		l.log.WithError(err).WithField("server", row.Key).Debug("an entry names no server")
		if known {
			delete(l.servers, row.Key)
		}
		return known
	}
	delete(l.lapsed, row.Key)
	if known && old == s {
		return false
	}
	l.servers[row.Key] = s
	l.log.WithFields(logrus.Fields{
		"server": s.ID, "service": s.Service, "address": s.Address, "domain": s.FailureDomain, "leaving": s.Draining,
		"born": s.Born, "new": !known, "row_version": row.Version,
	}).Info("server listed")
	return true
}

// missing notes that an entry is gone. After an outage of the store it may have
// lapsed although its server lives.
func (l *ServerList) missing(key string, now time.Time) bool {
	s, known := l.servers[key]
	if !known {
		return false
	}
	if _, waiting := l.lapsed[key]; waiting {
		return false
	}
	if now.Before(l.graceUntil) && !s.Draining {
		l.lapsed[key] = l.graceUntil
		// The next answer of the store may come much later than the end of the grace,
		// in which a server that has really left must get no more requests.
		time.AfterFunc(l.graceUntil.Sub(now), l.expireLapsed)
		l.log.WithFields(logrus.Fields{"server": s.ID, "grace_ms": l.graceUntil.Sub(now).Milliseconds()}).Info("server's entry lapsed during an outage of the store")
		return false
	}
	l.remove(key, s)
	return true
}

// expireLapsed removes the servers whose grace is over.
func (l *ServerList) expireLapsed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expire(time.Now()) {
		l.publish()
	}
}

// expire removes the servers whose entries have not come back.
func (l *ServerList) expire(now time.Time) bool {
	changed := false
	for key, until := range l.lapsed {
		if !now.Before(until) {
			delete(l.lapsed, key)
			l.remove(key, l.servers[key])
			changed = true
		}
	}
	return changed
}

func (l *ServerList) remove(key string, s pool.Server) {
	delete(l.servers, key)
	l.log.WithFields(logrus.Fields{"server": s.ID, "service": s.Service, "address": s.Address}).Info("server gone")
}

func (l *ServerList) publish() {
	servers := make([]pool.Server, 0, len(l.servers))
	for _, s := range l.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b pool.Server) int { return cmp.Compare(a.ID, b.ID) })
	l.pool.Replace(servers)
}
