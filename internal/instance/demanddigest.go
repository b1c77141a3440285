package instance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

// demandLabel is a hash of a workspace name, sent instead of a name that the peer has.
type demandLabel uint32

func labelFor(id contract.WorkspaceID) demandLabel {
	return demandLabel(xxhash.Sum64String(string(id)))
}

// demandDigest is the encoded section. Names make up most of an entry's size and
// are sent only until the peer has acknowledged them. Entries with labels are
// stored by column, which saves CBOR headers.
type demandDigest struct {
	Named      []workspace.WorkspaceDemand `cbor:"1,keyasint,omitempty"`
	Labels     []byte                      `cbor:"2,keyasint,omitempty"` // 4 bytes each
	Rate       []float64                   `cbor:"3,keyasint,omitempty"`
	Concurrent []float64                   `cbor:"4,keyasint,omitempty"`
	Held       map[int]int                 `cbor:"5,keyasint,omitempty"` // by index, where not 0
}

const demandLabelSize = 4

// errInvalidDemandDigest is returned for columns of different lengths.
var errInvalidDemandDigest = errors.New("demand digest has columns of different lengths")

func (d *demandDigest) check() error {
	count := len(d.Rate)
	if len(d.Labels) != demandLabelSize*count || len(d.Concurrent) != count || len(d.Held) > count {
		return errors.Wrapf(errInvalidDemandDigest, "labels=%d rates=%d concurrent=%d held=%d", len(d.Labels), count, len(d.Concurrent), len(d.Held))
	}
	return nil
}

// addLabeled adds an entry by label.
func (d *demandDigest) addLabeled(label demandLabel, e workspace.WorkspaceDemand) {
	if e.InUse != 0 {
		if d.Held == nil {
			d.Held = map[int]int{}
		}
		d.Held[len(d.Rate)] = e.InUse
	}
	d.Labels = binary.BigEndian.AppendUint32(d.Labels, uint32(label))
	d.Rate = append(d.Rate, e.Rate)
	d.Concurrent = append(d.Concurrent, e.Concurrency)
}

// resolveLabels returns the labeled entries whose labels are in names.
func (d *demandDigest) resolveLabels(names map[demandLabel]contract.WorkspaceID) []workspace.WorkspaceDemand {
	var entries []workspace.WorkspaceDemand
	for i, rate := range d.Rate {
		label := demandLabel(binary.BigEndian.Uint32(d.Labels[demandLabelSize*i:]))
		if name := names[label]; name != "" {
			entries = append(entries, workspace.WorkspaceDemand{Workspace: name, Rate: rate, Concurrency: d.Concurrent[i], InUse: d.Held[i]})
		}
	}
	return entries
}

// assignLabel adds a name under its label; a collision maps the label to "".
func assignLabel(names map[demandLabel]contract.WorkspaceID, name contract.WorkspaceID) {
	label := labelFor(name)
	if known, taken := names[label]; taken && known != name {
		name = ""
	}
	names[label] = name
}
