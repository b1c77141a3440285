// Package platform defines the interfaces to the services that the users'
// platform runs: the transactional table service, the object store and the list
// of instances.
//
// Other packages use only these interfaces; an adapter implements them for each
// protocol. Generations and idempotent calls must never depend on the package,
// because the platform has outages.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the table service and the object store.
var (
	// ErrNotFound reports that a row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable reports that the request failed and certainly had no effect.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrUncertain reports a write that may have taken effect or may still take
	// effect: its response was lost or timed out.
	ErrUncertain = errors.New("outcome of the write is uncertain")
)

// Row is a row of the table service.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"` // changes with every write; 0 means that the row is absent
}

// Condition is a precondition of a transaction: the row has this revision (0: absent).
type Condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Write sets the value of a row. A nil value deletes the row.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction applies all its writes if all its conditions hold, otherwise none.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// CommitResult is the result of one transaction.
type CommitResult struct {
	Applied  bool  `json:"applied"`
	Revision int64 `json:"revision"` // of all rows written, if applied
}

// TableService is the platform's transactional table service.
type TableService interface {
	// Read returns a row, ErrNotFound or ErrUnavailable.
	Read(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys have the prefix and follow the key
	// after, sorted by key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies independent transactions in one request, which counts as
	// one write. On ErrUncertain any of the transactions may have been applied.
	Commit(ctx context.Context, transactions []Transaction) ([]CommitResult, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}

// EntryState is the state of a list entry.
type EntryState string

// The states of the platform's list.
const (
	StateLive    EntryState = "live"
	StateLeaving EntryState = "leaving"
)

// ListEntry is an instance or an upstream in the platform's list.
type ListEntry struct {
	ID            string     `json:"id"`
	Address       string     `json:"address"` // instances: link address; upstreams: service address
	FailureDomain string     `json:"failure_domain"`
	Region        string     `json:"region"`
	State         EntryState `json:"state"`
	UpdatedAt     time.Time  `json:"updated_at"`
}

// List is the platform's list of live and leaving instances and upstreams. It is
// eventually consistent.
type List struct {
	Instances []ListEntry `json:"instances"`
	Upstreams []ListEntry `json:"upstreams"`
}

// InstanceList reads the platform's list and registers instances in it.
type InstanceList interface {
	List(ctx context.Context) (List, error)
	// Register sets the entry of an instance, which repeats the call periodically.
	Register(ctx context.Context, entry ListEntry) error
	// Deregister removes the entry of an instance.
	Deregister(ctx context.Context, id string) error
}
