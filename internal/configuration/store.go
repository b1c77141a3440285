package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// Keys of the configuration's rows in the table service.
const (
	headKey       = "configuration/head"
	versionPrefix = "configuration/version/"
	patchPrefix   = "configuration/patch/"
)

// versionsPerRead bounds the documents that one list request of History reads.
const versionsPerRead = 16

// Head is the row with the newest accepted version.
type Head struct {
	Version Version `json:"version"`
	PatchID string  `json:"patch_id"`
}

// patchRecord is the row of an accepted patch. It exists only if the patch was
// accepted. One that was written again has no fingerprint.
type patchRecord struct {
	Version     Version `json:"version"`
	Base        Version `json:"base_version"`
	Fingerprint string  `json:"fingerprint"`
}

// versionKey pads the number so that keys sort in the order of versions.
func versionKey(v Version) string { return fmt.Sprintf("%s%020d", versionPrefix, v) }

func patchKey(id string) string { return patchPrefix + id }

// Store reads and writes the configuration's rows.
type Store struct {
	table platform.TableService
}

// NewStore returns a Store in the table service.
func NewStore(table platform.TableService) *Store { return &Store{table: table} }

// Head returns the newest accepted version; version 0 if there is none.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	return head, err
}

func (s *Store) head(ctx context.Context) (Head, int64, error) {
	var head Head
	revision, err := s.readJSON(ctx, headKey, &head)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, 0, nil
	}
	return head, revision, err
}

// Version returns one accepted version, without defaults applied. Version 0 is
// the empty configuration.
func (s *Store) Version(ctx context.Context, v Version) (*Snapshot, error) {
	if v == 0 {
		return &Snapshot{Document: Document{}.normalized()}, nil
	}
	row, err := s.table.Read(ctx, versionKey(v))
	if err != nil {
		return nil, errors.Wrapf(err, "read configuration version %d", v)
	}
	return decodeVersion(row.Value, v)
}

func decodeVersion(data []byte, want Version) (*Snapshot, error) {
	snapshot, err := DecodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	if snapshot.Version != want {
		return nil, errors.Newf("configuration version %d was asked for, got version %d", want, snapshot.Version)
	}
	return snapshot, nil
}

// History returns up to limit accepted versions, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]*Snapshot, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	first := max(head.Version-Version(limit)+1, 1)
	var history []*Snapshot
	for after := first - 1; after < head.Version; {
		page, err := s.versionsAfter(ctx, after, min(versionsPerRead, int(head.Version-after)))
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			break
		}
		history = append(history, page...)
		after = page[len(page)-1].Version
	}
	slices.Reverse(history)
	return history, nil
}

func (s *Store) versionsAfter(ctx context.Context, after Version, limit int) ([]*Snapshot, error) {
	rows, err := s.table.List(ctx, versionPrefix, versionKey(after), limit)
	if err != nil {
		return nil, errors.Wrap(err, "list configuration versions")
	}
	page := make([]*Snapshot, 0, len(rows))
	for _, row := range rows {
		snapshot, err := DecodeSnapshot(row.Value)
		if err != nil {
			return nil, err
		}
		page = append(page, snapshot)
	}
	return page, nil
}

// patch returns the record of an accepted patch, nil if there is none.
func (s *Store) patch(ctx context.Context, id string) (*patchRecord, error) {
	var record patchRecord
	_, err := s.readJSON(ctx, patchKey(id), &record)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return &record, nil
}

// HeadWithCondition returns the newest accepted version and a condition that holds
// until another version is accepted.
func (s *Store) HeadWithCondition(ctx context.Context) (Version, platform.Condition, error) {
	head, revision, err := s.head(ctx)
	return head.Version, platform.Condition{Key: headKey, Revision: revision}, err
}

// commit writes the next version if the head's revision and the roster are
// unchanged and the patch was not accepted before. Without the condition on the
// roster, one majority could miss the version that another majority holds.
func (s *Store) commit(ctx context.Context, headRevision int64, rosterUnchanged platform.Condition, next *Snapshot, record patchRecord) (bool, error) {
	transaction, err := acceptTransaction(headRevision, rosterUnchanged, next, record)
	if err != nil {
		return false, err
	}
	results, err := s.table.Commit(ctx, []platform.Transaction{transaction})
	if err != nil {
		return false, err
	}
	if len(results) != 1 {
		return false, errors.Wrapf(platform.ErrUncertain, "table service answered %d results for 1 transaction", len(results))
	}
	return results[0].Applied, nil
}

// writeAgain writes a version that the table service has lost, if its head is still the
// older one with the given revision. Versions in between stay lost.
func (s *Store) writeAgain(ctx context.Context, headRevision int64, held *Snapshot) error {
	transaction, err := acceptTransaction(headRevision, platform.Condition{Key: headKey, Revision: headRevision}, held,
		patchRecord{Version: held.Version, Base: held.Version - 1})
	if err != nil {
		return err
	}
	_, err = s.table.Commit(ctx, []platform.Transaction{transaction})
	return errors.Wrap(err, "write the held configuration version")
}

func acceptTransaction(headRevision int64, rosterUnchanged platform.Condition, next *Snapshot, record patchRecord) (platform.Transaction, error) {
	document, err := EncodeSnapshot(next)
	if err != nil {
		return platform.Transaction{}, err
	}
	head, err := json.Marshal(Head{Version: next.Version, PatchID: next.PatchID})
	if err != nil {
		return platform.Transaction{}, errors.Wrap(err, "encode head")
	}
	patch, err := json.Marshal(record)
	if err != nil {
		return platform.Transaction{}, errors.Wrap(err, "encode patch record")
	}
	return platform.Transaction{
		Conditions: []platform.Condition{
			{Key: headKey, Revision: headRevision},
			rosterUnchanged,
			{Key: patchKey(next.PatchID)},
			{Key: versionKey(next.Version)},
		},
		Writes: []platform.Write{
			{Key: headKey, Value: head},
			{Key: versionKey(next.Version), Value: document},
			{Key: patchKey(next.PatchID), Value: patch},
		},
	}, nil
}

func (s *Store) readJSON(ctx context.Context, key string, target any) (int64, error) {
	row, err := s.table.Read(ctx, key)
	if err != nil {
		return 0, errors.Wrapf(err, "read %s", key)
	}
	return row.Revision, errors.Wrapf(json.Unmarshal(row.Value, target), "decode %s", key)
}
