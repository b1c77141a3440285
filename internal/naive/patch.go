package naive

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/platform"
)

// naiveHeadKey is the key of the only row of the naive configuration.
const naiveHeadKey = "configuration/naive"

// PatchAcceptor accepts patches: it reads the newest version, applies the patch
// and writes the result unconditionally. This is correct only without faults and
// concurrent operators.
type PatchAcceptor struct {
	Table  platform.TableService
	Holder *ConfigurationHolder
}

// Submit applies the patch to the version that it reads, without a check of the
// base version. The last write wins.
func (p *PatchAcceptor) Submit(ctx context.Context, patch configuration.Patch) configuration.Result {
	base, err := readNaive(ctx, p.Table)
	if err != nil {
		return configuration.Result{Status: configuration.StatusUnavailable, Message: err.Error()}
	}
	document, err := configuration.ApplyPatch(base.Document, patch.Body)
	if err != nil {
		return configuration.Result{Status: configuration.StatusInvalid, Message: err.Error()}
	}
	next := configuration.Snapshot{Version: base.Version + 1, PatchID: patch.ID, Document: document}
	if err := p.write(ctx, next); err != nil {
		return configuration.Result{Status: configuration.StatusUnavailable, Message: err.Error()}
	}
	p.Holder.Advance(&next)
	return configuration.Result{Status: configuration.StatusAccepted, Version: next.Version, Document: &document}
}

// Poll reads the configuration once and activates it.
func (p *PatchAcceptor) Poll(ctx context.Context) {
	if snapshot, err := readNaive(ctx, p.Table); err == nil {
		p.Holder.Advance(&snapshot)
	}
}

func (p *PatchAcceptor) write(ctx context.Context, next configuration.Snapshot) error {
	value, err := configuration.EncodeSnapshot(&next)
	if err != nil {
		return err
	}
	_, err = p.Table.Commit(ctx, []platform.Transaction{{Writes: []platform.Write{{Key: naiveHeadKey, Value: value}}}})
	return err
}

func readNaive(ctx context.Context, table platform.TableService) (configuration.Snapshot, error) {
	row, err := table.Read(ctx, naiveHeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return configuration.Snapshot{}, nil
	}
	if err != nil {
		return configuration.Snapshot{}, err
	}
	var snapshot configuration.Snapshot
	return snapshot, json.Unmarshal(row.Value, &snapshot)
}

// ConfigurationHolder activates each version that it receives, also lower ones.
type ConfigurationHolder struct {
	current atomic.Pointer[configuration.Snapshot]
}

// Current returns the version that was activated last.
func (h *ConfigurationHolder) Current() *configuration.Snapshot {
	if s := h.current.Load(); s != nil {
		return s
	}
	return &configuration.Snapshot{}
}

// Advance activates the snapshot without comparing versions.
func (h *ConfigurationHolder) Advance(next *configuration.Snapshot) bool {
	h.current.Store(next)
	return true
}

// MayAdmit always returns true: the naive version has no confirmation rule.
func (h *ConfigurationHolder) MayAdmit() bool { return true }
