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

// errNotHeld refuses a fetch of a configuration or roster not held here yet.
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
func (d *distributor) handleFetchConfiguration(_ context.Context, _ contract.InstanceID, body []byte) ([]byte, error) {
	var request fetchRequest
	if err := link.Decode(body, &request); err != nil {
		return nil, err
	}
	held := d.holder.Accepted()
	if held.Version < request.Version {
		return nil, errNotHeld
	}
	return configuration.EncodeSnapshot(held)
}

// fetchConfiguration fetches the given version or a newer one from a peer.
func (d *distributor) fetchConfiguration(ctx context.Context, peer contract.InstanceID, version configuration.Version) ([]byte, error) {
	body, err := link.Encode(fetchRequest{Version: version})
	if err != nil {
		return nil, err
	}
	return d.transport.Request(ctx, peer, messageFetchConfiguration, body)
}

// handleFetchRoster serves messageFetchRoster.
func (d *distributor) handleFetchRoster(context.Context, contract.InstanceID, []byte) ([]byte, error) {
	held := d.rosterManager.State().Roster
	if held.Sequence == 0 {
		return nil, errNotHeld
	}
	return held.Encode()
}

// fetchRoster fetches the roster that a peer holds.
func (d *distributor) fetchRoster(ctx context.Context, peer contract.InstanceID) ([]byte, error) {
	return d.transport.Request(ctx, peer, messageFetchRoster, nil)
}

// publish announces an accepted version and waits until a majority of the roster
// holds it.
func (d *distributor) publish(ctx context.Context, snapshot *configuration.Snapshot) error {
	d.updateConfirmation()
	d.membership.PushStatus()
	ticker := time.NewTicker(publishPollInterval)
	defer ticker.Stop()
	for {
		members, current := d.membership.View().Members(), d.rosterManager.State().Roster
		holding := holders(members, int64(snapshot.Version), d.self)
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
