package storesync

import (
	"context"
	"maps"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/link"
)

// serveUpdates handles a long-poll request of a follower: it responds as soon as there
// are updates or the hold time of the request is over. While the rows of a later era are about to be
// read, it awaits them.
func (s *Syncer) serveUpdates(ctx context.Context, peer contract.InstanceID, body []byte) ([]byte, error) {
	request, err := decodeRequest(body)
	if err != nil {
		return nil, err
	}
	receivedAt := s.Clock()
	s.mu.Lock()
	s.followers[peer] = receivedAt
	s.mu.Unlock()
	timer := time.NewTimer(milliseconds(request.HoldMS))
	defer timer.Stop()
	for holdExpired := request.HoldMS == 0; ; {
		// Take the channels before reading the logs, so that no change is missed.
		var changed [len(topics)]<-chan struct{}
		for i, topic := range topics {
			changed[i] = s.Logs[topic].Changed()
		}
		isStale, isBehind := s.isStale()
		if isStale && (holdExpired || !isBehind) {
			return link.Encode(updateResponse{Stale: true})
		}
		response, hasUpdates := s.updatesSince(request)
		if (hasUpdates || holdExpired) && !isStale || response.Leaving {
			response.HeldMS = (s.Clock() - receivedAt).Milliseconds()
			return link.Encode(response)
		}
		select {
		case <-changed[0]:
		case <-changed[1]:
		case <-changed[2]:
		case <-changed[3]:
		case <-timer.C:
			holdExpired = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// isStale reports whether this instance's rows are too old for followers, and the store is failing or
// has shown a later era than that of the rows, in which case isBehind is true. Stale rows are not sent:
// each instance polls several peers, and each peer has a change log of its own, so every response
// would contain all rows.
func (s *Syncer) isStale() (isStale, isBehind bool) {
	failing := s.StoreFailing()
	newest, _ := s.Eras.Newest()
	for _, topic := range urgentTopics {
		held, loaded := s.Logs[topic].Revision()
		age, _ := s.Logs[topic].Age()
		if !loaded || age <= fractionOf(peerStaleShare, s.MaxAge[topic]) {
			continue
		}
		if failing {
			return true, false
		}
		isBehind = isBehind || newest > held.Era
	}
	return isBehind, isBehind
}

// updatesSince returns the updates after the positions of a request, and whether there
// are any.
func (s *Syncer) updatesSince(request updateRequest) (response updateResponse, hasUpdates bool) {
	s.mu.Lock()
	response.Leaving = s.leaving
	s.mu.Unlock()
	remainingBytes := maxResponseBytes
	for i, topic := range topics {
		position := request.Positions[i]
		from := discovery.Position{LogID: position.Log, Sequence: position.Sequence}
		held := discovery.Revision{Era: eraOf(request.Eras, i), Version: position.Version}
		update, to, loaded := s.Logs[topic].Since(from, held)
		wire := toWire(update, to, loaded, s.Clock())
		if size := wire.size(); size > remainingBytes {
			wire = wireUpdate{} // sent in the next response
		} else {
			remainingBytes -= size
		}
		isLaterEra := wire.Loaded && len(request.Eras) > 0 && update.Era > held.Era
		hasUpdates = hasUpdates || len(wire.Rows) > 0 || wire.Full || isLaterEra
		response.Topics, response.Eras = append(response.Topics, wire), append(response.Eras, int64(update.Era))
	}
	return response, hasUpdates
}

// followerContacts returns the time of each follower's last request, and whether this
// instance reads the store for followers.
func (s *Syncer) followerContacts() (followers map[contract.InstanceID]time.Duration, readsForFollowers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.followers), s.source.readStore && s.transport != nil
}
