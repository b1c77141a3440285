package storesync

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
)

const (
	// maxConfigurationPeers is the number of peers that an instance asks for a newer configuration. One
	// that has just started too may not have it.
	maxConfigurationPeers = 3
	// maxConfigurationRequests bounds the requests, of which some may fail.
	maxConfigurationRequests = 10
)

// configurationRequests are the requests of an instance for a newer configuration than that of the store.
type configurationRequests struct {
	sent     int
	answered map[contract.InstanceID]bool
}

// requestConfiguration asks a peer for a newer configuration than that of the store, which may have
// come back from a copy before this instance started. Followers get it from their source, but an
// instance that reads the store for them would stay with that of the copy.
func (s *Syncer) requestConfiguration(ctx context.Context, ranked []Member, source dataSource) {
	requests := &s.configuration
	s.mu.Lock()
	transport := s.transport
	s.mu.Unlock()
	_, loaded := s.Logs[discovery.Configuration].Revision()
	if !loaded || !source.readStore || transport == nil || requests.sent >= maxConfigurationRequests || len(requests.answered) >= maxConfigurationPeers {
		return
	}
	peer, found := requests.next(s.Self.ID, ranked)
	if !found {
		return
	}
	requests.sent++
	response, err := s.send(ctx, transport, peer, updateRequest{Positions: make([]wirePosition, len(topics))})
	log := s.Log.WithField("peer", peer)
	if err == nil && response.Stale {
		err = errors.New("rows of the peer are stale")
	}
	if err != nil {
		log.WithError(err).Info("peer could not be asked for its configuration")
		return
	}
	if requests.answered == nil {
		requests.answered = map[contract.InstanceID]bool{}
	}
	requests.answered[peer] = true
	for i, topic := range topics {
		if topic != discovery.Configuration || !response.Topics[i].Loaded {
			continue
		}
		update, _ := fromWire(response.Topics[i], eraOf(response.Eras, i), s.Clock())
		if taken := s.Logs[topic].TakeNewer(update.Rows); taken > 0 {
			log.WithFields(logrus.Fields{"rows": taken}).Info("configuration of a peer is newer than that of the store")
		}
	}
}

// next returns a peer that has not answered, another one with each request.
func (r *configurationRequests) next(self contract.InstanceID, ranked []Member) (peer contract.InstanceID, found bool) {
	var peers []contract.InstanceID
	for _, m := range ranked {
		if m.ID != self && !r.answered[m.ID] {
			peers = append(peers, m.ID)
		}
	}
	if len(peers) == 0 {
		return "", false
	}
	return peers[r.sent%len(peers)], true
}
