// Package discovery keeps the configuration in force and the list of upstreams in sync
// with the platform's store.
//
// The package must never move to a lower version of the configuration, and must
// never replace a valid state by one that it cannot decode.
package discovery

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

// ErrHistoryGone means that the store no longer keeps the changes since a version: all
// rows have to be read again.
var ErrHistoryGone = errors.New("the store no longer has the requested history")

// Row is a row of the store.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Batch holds the rows of one response of the store.
type Batch struct {
	Rows    []Row
	Version int64 // newest version of the store at the time of the response
	Era     Era   // of the store at the time of the response
	// Returned is set in the first batch of an era that a ChangeLog passes on after one of an earlier
	// era, or of one that was given up: rows that are missing or older than before may be written again
	// soon.
	Returned bool
	// Resumed is set by a RowKeeper in the first batch after a long time without a read of the store, if
	// rows are still missing after a return: writes of them may have been given up.
	Resumed bool
	// Age is the time since the store was read, set by a ChangeLog.
	Age time.Duration
}

// Revision returns the state of the store that the batch is as of.
func (b Batch) Revision() Revision { return Revision{Era: b.Era, Version: b.Version} }

// Topic identifies a group of rows of the store that is read and followed on its own.
type Topic int

// Topics of the store.
const (
	Configuration Topic = iota
	Upstreams
	Notices   // of the instances to each other, about upstreams: crashes, and stated request rates
	Instances // of the fleet; each instance writes its own row
)

// String returns the name used in logs.
func (t Topic) String() string {
	return [...]string{"configuration", "upstreams", "notices", "instances"}[t]
}

// SameValue reports whether two rows have the same value.
func SameValue(a, b Row) bool { return bytes.Equal(a.Value, b.Value) }

// Store is a client of the platform's store.
type Store interface {
	// Read returns all rows of a topic.
	Read(ctx context.Context, topic Topic) (Batch, error)
	// Changes returns the rows that changed after a version, as soon as there is one or
	// the wait is over (long poll), or ErrHistoryGone if the store no longer has them.
	Changes(ctx context.Context, topic Topic, after int64, wait time.Duration) (Batch, error)
	// Put writes a row, and Remove removes it. Instances write only rows of Notices and
	// Instances.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
	Remove(ctx context.Context, topic Topic, key string) error
	// Create writes a row if it does not exist, and returns the value stored afterwards.
	Create(ctx context.Context, topic Topic, key string, value []byte) (current []byte, err error)
}

// Decoder decodes the values of rows.
type Decoder interface {
	// Configuration decodes a version of the configuration. relevant is false for rows
	// with other contents.
	Configuration(row Row) (document route.Document, relevant bool, err error)
	// Upstream decodes the entry of an upstream.
	Upstream(row Row) (pool.Upstream, error)
}
