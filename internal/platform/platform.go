// Package platform gives access to what the users' platform already runs: the
// transactional table service, the object store and the list of instances.
//
// The rest of the program sees the interfaces of this file; each protocol of a
// platform is an adapter behind them. The package must never be needed on the
// path of a generation or of an idempotent call, because the platform has
// outages.
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
	// ErrUnavailable reports that the request certainly had no effect.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrUncertain reports a write that may have taken effect now or may take
	// effect later: its answer was lost or timed out.
	ErrUncertain = errors.New("outcome of the write is uncertain")
)

// Row is a row of the table service.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"` // changes with every write; 0 means that the row is absent
}

// Condition holds if the row's revision is the given one (0: absent).
type Condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Write sets the value of a row. A nil value deletes the row.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction applies its writes if all its conditions hold, else none.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// CommitResult is the result of one transaction.
type CommitResult struct {
	Applied  bool  `json:"applied"`
	Revision int64 `json:"revision"` // revision of all rows written, if applied
}

// TableService is the platform's transactional table service.
type TableService interface {
	// Read returns a row, ErrNotFound or ErrUnavailable.
	Read(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose key begins with prefix, by key,
	// beginning after the key after.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies independent transactions in one request, which counts as
	// one write. On ErrUncertain each transaction may or may not have been
	// applied.
	Commit(ctx context.Context, transactions []Transaction) ([]CommitResult, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}

// ListedState is the state of a list entry.
type ListedState string

// The states of the platform's list.
const (
	ListedLive    ListedState = "live"
	ListedLeaving ListedState = "leaving"
)

// ListEntry is an instance or an upstream in the platform's list.
type ListEntry struct {
	ID            string      `json:"id"`
	Address       string      `json:"address"` // instances: address of the link; upstreams: their service address
	FailureDomain string      `json:"failure_domain"`
	Region        string      `json:"region"`
	State         ListedState `json:"state"`
	UpdatedAt     time.Time   `json:"updated_at"`
}

// List is the platform's list of live and leaving instances and upstreams. It
// lags behind reality.
type List struct {
	Instances []ListEntry `json:"instances"`
	Upstreams []ListEntry `json:"upstreams"`
}

// InstanceList reads the platform's list and announces an instance to it.
type InstanceList interface {
	List(ctx context.Context) (List, error)
	// Announce sets the entry of an instance; it is repeated while it lives.
	Announce(ctx context.Context, entry ListEntry) error
	// Withdraw removes the entry of an instance.
	Withdraw(ctx context.Context, id string) error
}
