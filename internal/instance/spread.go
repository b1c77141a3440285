package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/membership"
)

// messageFetchConfiguration asks a peer for the configuration that it holds.
const messageFetchConfiguration link.MessageType = "configuration/fetch"

// publishInterval is the time between two looks at who holds a version.
const publishInterval = 20 * time.Millisecond

// fetchRequest asks for a version or a newer one.
type fetchRequest struct {
	Version configuration.Version `cbor:"1,keyasint"`
}

// errNotHeld refuses a fetch of a version that is newer than the held one.
var errNotHeld = errors.New("configuration version is not held here")

// spread passes configuration versions on between instances.
type spread struct {
	holder     *configuration.Holder
	transport  link.Transport
	membership *membership.Membership
	draining   func() bool
	update     func() // applies the confirmation rule, which also sets the head of heartbeats
}

// answerFetch serves messageFetchConfiguration.
func (s *spread) answerFetch(_ context.Context, _ contract.InstanceID, body []byte) ([]byte, error) {
	var request fetchRequest
	if err := link.Decode(body, &request); err != nil {
		return nil, err
	}
	held := s.holder.Accepted()
	if held.Version < request.Version {
		return nil, errNotHeld
	}
	return configuration.EncodeSnapshot(held)
}

// fetch asks a peer for a version or a newer one.
func (s *spread) fetch(ctx context.Context, peer contract.InstanceID, version configuration.Version) ([]byte, error) {
	body, err := link.Encode(fetchRequest{Version: version})
	if err != nil {
		return nil, err
	}
	return s.transport.Request(ctx, peer, messageFetchConfiguration, body)
}

// publish pushes an accepted version and waits until a majority of the known
// instances holds it.
func (s *spread) publish(ctx context.Context, snapshot *configuration.Snapshot) error {
	s.update()
	s.membership.Push()
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		holding, known := holders(s.membership.View().Members(), int64(snapshot.Version), s.draining(), time.Now())
		if 2*holding > known {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "held by %d of %d known instances", holding, known)
		}
	}
}

// holders counts the known instances that hold a version, this one included.
// Draining instances do not count, as for the confirmation.
func holders(members []membership.MemberView, version int64, draining bool, now time.Time) (holding, known int) {
	if !draining {
		holding, known = 1, 1
	}
	for _, m := range members {
		if !now.Before(m.KnownUntil) || m.State == membership.Draining {
			continue
		}
		known++
		if m.Held >= version {
			holding++
		}
	}
	return holding, known
}
