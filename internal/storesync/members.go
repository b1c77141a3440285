// Package storesync synchronizes the instances of a fleet with the store at a low load on the
// store: in each failure domain one instance reads the store, and the others follow that
// reader over links. An instance whose rows get too old reads the store directly.
//
// The package must never report rows as fresher than they are, and must never prefer the
// rows of a peer to those of the store.
package storesync

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/fleetrate"
)

// Keys of the rows of the topic Instances.
const (
	memberPrefix = "instance/"
	secretKey    = "authority" // the secret of the fleet's certificate authority
)

const (
	secretBytes     = 32
	maxInstanceID   = 128
	maxWeight       = 1e6
	maxDomainLength = 128
)

const (
	// memberSettleTime is how long an instance counts whose row the store lacks after it has
	// come back from a copy. A short list would make the parts of request rates too large.
	memberSettleTime = time.Minute
	// ownRowSettleTime is how long an instance counts itself as listed meanwhile. It is shorter,
	// so that an instance gives up its part before the others divide it.
	ownRowSettleTime = 30 * time.Second
)

// Member is an instance of the fleet as registered in the store.
type Member struct {
	ID      contract.InstanceID
	Address string // IP and port of its link
	Domain  contract.FailureDomainID
	// Weight is its capacity for work on behalf of other instances. The instance with the
	// highest weight of a failure domain reads the store.
	Weight float64
}

// memberRow is the value of a member's row.
type memberRow struct {
	Address string  `json:"address"`
	Domain  string  `json:"failure_domain"`
	Weight  float64 `json:"weight"`
	// WrittenAt makes a refreshed row differ from the one before, in Unix milliseconds.
	WrittenAt int64 `json:"written_at,omitempty"`
}

func (m Member) rowKey() string { return memberPrefix + string(m.ID) }

// row returns the row of a member as written at a time.
func (m Member) row(writtenAt time.Time) (key string, value []byte, err error) {
	value, err = json.Marshal(memberRow{Address: m.Address, Domain: string(m.Domain), Weight: m.Weight, WrittenAt: writtenAt.UnixMilli()})
	return m.rowKey(), value, err
}

// decodeMember decodes and validates the row of a member, which another program may have
// written. writtenAt orders the rows of one instance.
func decodeMember(key string, value []byte) (member Member, writtenAt int64, err error) {
	member, writtenAt, err = parseMember(key, value)
	if err == nil {
		err = member.validate()
	}
	return member, writtenAt, err
}

func parseMember(key string, value []byte) (member Member, writtenAt int64, err error) {
	var row memberRow
	if !utf8.Valid(value) {
		return Member{}, 0, errors.New("instance row is not UTF-8")
	}
	if err := json.Unmarshal(value, &row); err != nil {
		return Member{}, 0, errors.Wrap(err, "decode instance row")
	}
	id := strings.TrimPrefix(key, memberPrefix)
	member = Member{ID: contract.InstanceID(id), Address: row.Address, Domain: contract.FailureDomainID(row.Domain), Weight: row.Weight}
	return member, row.WrittenAt, nil
}

func (m Member) validate() error {
	if m.ID == "" || len(m.ID) > maxInstanceID || strings.Contains(string(m.ID), "/") {
		return errors.Newf("instance ID %.64q is not valid", string(m.ID))
	}
	if _, err := discovery.ParseAddress(m.Address); err != nil {
		return errors.Wrap(err, "instance address")
	}
	if m.Domain == "" || len(m.Domain) > maxDomainLength {
		return errors.New("instance failure domain is missing or too long")
	}
	if !(m.Weight >= 0 && m.Weight <= maxWeight) {
		return errors.Newf("instance weight %v is not valid", m.Weight)
	}
	return nil
}

// sortByReadPriority sorts members in the order in which they should read the store, which
// is the same at all instances: by descending weight, then by a hash of the ID, so that the
// reader is not always the instance with the first name of each failure domain.
func sortByReadPriority(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(b.Weight, a.Weight),
			cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// Members holds the instances of the fleet. It always contains this instance.
type Members struct {
	self   Member
	log    logrus.FieldLogger
	keeper *discovery.RowKeeper

	mu      sync.Mutex // guards the fields below
	members map[contract.InstanceID]Member
	rows    map[contract.InstanceID]heldRow // of the other members
	// changedAt is when the row of each other member last changed, as seen by this instance.
	changedAt map[contract.InstanceID]time.Time
	secret    []byte
	// secretInvalid means that the row of the secret has an invalid value, so that there are no
	// links until another program mends it.
	secretInvalid bool
	listed        bool      // this instance's own row is present and correct
	listedAt      time.Time // since when, as far as this process knows
	// wasListed means that the row is from before the start of this process.
	wasListed bool
	// rowLostAt is when the store had lost the row of this instance, zero if it has the row. The
	// instance counts as listed until ownRowSettleTime is over.
	rowLostAt time.Time
	// lostUnsettled means that the row was lost before all others had read it.
	lostUnsettled bool
	secretLost    bool // the store has lost the secret that is held
	returns       int  // how often the store has come back from a copy since the start
	settleTime    func(listedAt time.Time) time.Duration
	isLoaded      bool          // the rows have been read once
	loaded        chan struct{} // closed when isLoaded is set
	changed       chan struct{} // closed at the next change
}

// NewMembers returns a fleet of one.
func NewMembers(self Member, log logrus.FieldLogger) *Members {
	m := &Members{
		self: self, log: log, members: map[contract.InstanceID]Member{self.ID: self}, rows: map[contract.InstanceID]heldRow{},
		changedAt: map[contract.InstanceID]time.Time{}, loaded: make(chan struct{}), changed: make(chan struct{}),
	}
	m.keeper = discovery.NewRowKeeper(memberSettleTime, m.apply)
	return m
}

// Apply applies changed rows of the topic Instances.
func (m *Members) Apply(batch discovery.Batch, gap time.Duration) { m.keeper.Apply(batch, gap) }

func (m *Members) apply(batch discovery.Batch, _ time.Duration, stored func(key string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range batch.Rows {
		switch {
		case row.Key == secretKey:
			m.applySecret(row)
		case strings.HasPrefix(row.Key, memberPrefix):
			m.applyMember(row, batch.Returned)
		}
	}
	if batch.Returned {
		m.recordReturn(stored)
		m.log.WithFields(logrus.Fields{
			"era": batch.Era, "version": batch.Version, "members": len(m.members), "own_row_lost": !m.rowLostAt.IsZero(), "secret_lost": m.secretLost,
		}).Info("store came back from a copy; the instances in it are read")
	}
	if !m.isLoaded {
		m.isLoaded = true
		close(m.loaded)
	}
	if len(batch.Rows) > 0 || batch.Returned {
		m.notify()
	}
}

func (m *Members) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// applySecret applies the row of the secret, which replaces the one that is held: instances
// with different secrets cannot link.
func (m *Members) applySecret(row discovery.Row) {
	if row.Deleted {
		m.secretInvalid, m.secretLost = false, m.secret != nil
		return
	}
	m.secretInvalid, m.secretLost = len(row.Value) != secretBytes, false
	switch {
	case m.secretInvalid:
		m.log.WithField("bytes", len(row.Value)).Warn("secret of the fleet is not valid; links stay as they are")
	case m.secret == nil:
		m.secret = slices.Clone(row.Value)
	case !bytes.Equal(m.secret, row.Value):
		m.log.WithField("row_version", row.Version).Warn("secret of the fleet replaced by the one in the store")
		m.secret = slices.Clone(row.Value)
	}
}

func (m *Members) applyMember(row discovery.Row, returned bool) {
	id := contract.InstanceID(strings.TrimPrefix(row.Key, memberPrefix))
	if id == m.self.ID {
		m.applyOwnRow(row, returned)
		return
	}
	if row.Deleted {
		delete(m.members, id)
		delete(m.changedAt, id)
		delete(m.rows, id)
		return
	}
	member, writtenAt, err := decodeMember(row.Key, row.Value)
	held, known := m.rows[id]
	if known && returned && err == nil && writtenAt < held.writtenAt {
		return // the instance writes the newer one again
	}
	m.changedAt[id] = time.Now()
	m.rows[id] = heldRow{value: row.Value, writtenAt: writtenAt, fromCopy: returned && !known}
	if err != nil {
		m.log.WithError(err).WithField("key", row.Key).Warn("invalid instance row ignored")
		delete(m.members, id)
		return
	}
	m.members[id] = member
}

// Fleet returns the instances among which the request rates of upstreams are divided.
// settleTime returns the time in which all instances read the list after this one was listed.
// An instance that was listed before its start has its part at once, since the others kept
// it in their lists.
func (m *Members) Fleet(settleTime func(listedAt time.Time) time.Duration) *fleetrate.Fleet {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settleTime = settleTime
	fleet := &fleetrate.Fleet{Self: string(m.self.ID)}
	for _, member := range m.members {
		fleet.Instances = append(fleet.Instances, fleetrate.Instance{ID: string(member.ID), FailureDomain: string(member.Domain)})
	}
	if m.isLoaded && m.listed && !(m.lostUnsettled && !m.rowLostAt.IsZero()) {
		fleet.SettledAt = m.settledAt()
	}
	return fleet
}

// settledAt returns when all others count this instance, which is listed. The caller holds mu.
func (m *Members) settledAt() time.Time {
	if m.wasListed || m.settleTime == nil {
		return m.listedAt
	}
	return m.listedAt.Add(m.settleTime(m.listedAt))
}

// DomainMembers returns the members of this instance's failure domain by descending read priority.
func (m *Members) DomainMembers() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var domain []Member
	for _, member := range m.members {
		if member.Domain == m.self.Domain {
			domain = append(domain, member)
		}
	}
	sortByReadPriority(domain)
	return domain
}

// seenMember is a member with the time since its row last changed.
type seenMember struct {
	Member
	sinceChange time.Duration
}

// all returns all members by descending read priority.
func (m *Members) all() []seenMember {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := slices.Collect(maps.Values(m.members))
	sortByReadPriority(members)
	seen := make([]seenMember, len(members))
	for i, member := range members {
		seen[i] = seenMember{Member: member}
		if at, ok := m.changedAt[member.ID]; ok {
			seen[i].sinceChange = time.Since(at)
		}
	}
	return seen
}

// Relays returns the first members of each other failure domain by read priority, at most
// perDomain of each. They pass a message on to the others of their domain.
func (m *Members) Relays(perDomain int) []contract.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	domains := map[contract.FailureDomainID][]Member{}
	for _, member := range m.members {
		if member.Domain != m.self.Domain {
			domains[member.Domain] = append(domains[member.Domain], member)
		}
	}
	var relays []contract.InstanceID
	for _, members := range domains {
		sortByReadPriority(members)
		for _, member := range members[:min(perDomain, len(members))] {
			relays = append(relays, member.ID)
		}
	}
	return relays
}

// Count returns the number of instances.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members)
}

// Find returns a member.
func (m *Members) Find(id contract.InstanceID) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, found := m.members[id]
	return member, found
}

// Registered reports whether the rows have been read and contain this instance's own row.
func (m *Members) Registered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isLoaded && m.listed
}

// Loaded returns a channel that is closed after the first read of the rows.
func (m *Members) Loaded() <-chan struct{} { return m.loaded }

// Changed returns a channel that is closed at the next change.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// AuthoritySecret returns the secret of the fleet's certificate authority, nil before it is read.
func (m *Members) AuthoritySecret() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.secret
}

// LinksUsable reports whether the failure domain is large enough for links, and the rows and
// the secret that they need are present.
func (m *Members) LinksUsable() bool {
	return m.Registered() && m.AuthoritySecret() != nil && len(m.DomainMembers()) >= minDomainSize
}
