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

// messageFetchConfiguration requests the configuration that a peer holds.
const messageFetchConfiguration link.MessageType = "configuration/fetch"

// messageFetchRoster requests the roster that a peer holds.
const messageFetchRoster link.MessageType = "roster/fetch"

// publishPollInterval is how often publish checks which instances hold the version.
const publishPollInterval = 20 * time.Millisecond

// fetchRequest requests the given version or a newer one.
type fetchRequest struct {
	Version configuration.Version `cbor:"1,keyasint"`
}

// errNotHeld refuses a fetch of a configuration or roster that is not here yet.
var errNotHeld = errors.New("this instance does not have the requested configuration or roster")

// distributor transfers configuration versions and rosters between instances.
type distributor struct {
	holder             *configuration.Holder
	transport          link.Transport
	membership         *membership.Membership
	self               contract.InstanceID
	rosterManager      *roster.Manager // set before the instance runs
	updateConfirmation func()          // evaluates the confirmation rule, which also sets the head in heartbeats
}

// handleFetchConfiguration serves messageFetchConfiguration.
func (s *distributor) handleFetchConfiguration(_ context.Context, _ contract.InstanceID, body []byte) ([]byte, error) {
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

// fetchConfiguration fetches the given version or a newer one from a peer.
func (s *distributor) fetchConfiguration(ctx context.Context, peer contract.InstanceID, version configuration.Version) ([]byte, error) {
	body, err := link.Encode(fetchRequest{Version: version})
	if err != nil {
		return nil, err
	}
	return s.transport.Request(ctx, peer, messageFetchConfiguration, body)
}

// handleFetchRoster serves messageFetchRoster.
func (s *distributor) handleFetchRoster(context.Context, contract.InstanceID, []byte) ([]byte, error) {
	held := s.rosterManager.State().Roster
	if held.Sequence == 0 {
		return nil, errNotHeld
	}
	return held.Encode()
}

// fetchRoster fetches the roster that a peer holds.
func (s *distributor) fetchRoster(ctx context.Context, peer contract.InstanceID) ([]byte, error) {
	return s.transport.Request(ctx, peer, messageFetchRoster, nil)
}

// publish announces an accepted version and waits until a majority of the roster
// holds it.
func (s *distributor) publish(ctx context.Context, snapshot *configuration.Snapshot) error {
	s.updateConfirmation()
	s.membership.PushStatus()
	ticker := time.NewTicker(publishPollInterval)
	defer ticker.Stop()
	for {
		members, current := s.membership.View().Members(), s.rosterManager.State().Roster
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

// holders returns the instances that hold at least a version, including this one.
// The roster they are compared with must not be older than the members' view: a
// held version counts only for the roster that its holder had, or a newer one.
func holders(members []membership.MemberView, version int64, self contract.InstanceID) []contract.InstanceID {
	holding := []contract.InstanceID{self}
	for _, m := range members {
		if m.HeldVersion >= version {
			holding = append(holding, m.ID)
		}
	}
	return holding
}
