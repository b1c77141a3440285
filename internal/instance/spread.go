package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/roster"
)

// messageFetchConfiguration asks a peer for the configuration that it holds.
const messageFetchConfiguration link.MessageType = "configuration/fetch"

// messageFetchRoster asks a peer for the roster that it holds.
const messageFetchRoster link.MessageType = "roster/fetch"

// publishInterval is the time between two looks at who holds a version.
const publishInterval = 20 * time.Millisecond

// fetchRequest asks for a version or a newer one.
type fetchRequest struct {
	Version configuration.Version `cbor:"1,keyasint"`
}

// errNotHeld refuses a fetch of what is newer than what is held.
var errNotHeld = errors.New("what was asked for is not held here")

// spread passes configuration versions on between instances.
type spread struct {
	holder     *configuration.Holder
	transport  link.Transport
	membership *membership.Membership
	self       contract.InstanceID
	keeper     *roster.Keeper // set before the instance runs
	update     func()         // applies the confirmation rule, which also sets the head of heartbeats
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

// answerRoster serves messageFetchRoster.
func (s *spread) answerRoster(context.Context, contract.InstanceID, []byte) ([]byte, error) {
	held := s.keeper.Standing().Roster
	if held.Sequence == 0 {
		return nil, errNotHeld
	}
	return held.Encode()
}

// fetchRoster asks a peer for the roster that it holds.
func (s *spread) fetchRoster(ctx context.Context, peer contract.InstanceID) ([]byte, error) {
	return s.transport.Request(ctx, peer, messageFetchRoster, nil)
}

// publish pushes an accepted version and waits until a majority of the roster
// holds it.
func (s *spread) publish(ctx context.Context, snapshot *configuration.Snapshot) error {
	s.update()
	s.membership.Push()
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		members, current := s.membership.View().Members(), s.keeper.Standing().Roster
		holding := holders(members, int64(snapshot.Version), s.self)
		if current.Majority(holding) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "held by %d instances, %d are in the roster", len(holding), len(current.Instances))
		}
	}
}

// holders returns the instances that hold a version. This one does. The roster
// they are compared with must not be older than the members' view: a held
// version counts only under the roster that its holder had, or a newer one.
func holders(members []membership.MemberView, version int64, self contract.InstanceID) []contract.InstanceID {
	holding := []contract.InstanceID{self}
	for _, m := range members {
		if m.Held >= version {
			holding = append(holding, m.ID)
		}
	}
	return holding
}
