package storesync

import (
	"context"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
)

const (
	// maxConfigurationPeers is the number of peers that an instance asks for a newer configuration in
	// each era of the store. One that has just started too may not have it.
	maxConfigurationPeers = 3
	// maxConfigurationRequests bounds the requests in an era, of which some may fail.
	maxConfigurationRequests = 10
)

// configurationRequests are the requests of an instance for a newer configuration than that of the store.
type configurationRequests struct {
	era      discovery.Era // of the store's configuration
	sent     int
	answered map[contract.InstanceID]bool
}

// requestConfiguration asks a peer for a newer configuration than that of the store, which may have
// come back from a copy before this instance started, or when it was cut off. Followers get it from
// their source, but an instance that reads the store for them would stay with that of the copy.
func (s *Syncer) requestConfiguration(ctx context.Context, ranked []Member, source dataSource) {
	requests := &s.configuration
	s.mu.Lock()
	transport := s.transport
	s.mu.Unlock()
	held, loaded := s.Logs[discovery.Configuration].Revision()
	if loaded && held.Era != requests.era {
		*requests = configurationRequests{era: held.Era}
	}
	if !loaded || !source.readStore || transport == nil || requests.sent >= maxConfigurationRequests || len(requests.answered) >= maxConfigurationPeers {
		return
	}
	peer, found := requests.next(s.Self.ID, ranked)
	if !found {
		return
	}
	requests.sent++
	response, err := s.send(ctx, transport, peer, configurationRequest())
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

// configurationRequest returns a request for the rows of the configuration only: no peer has newer rows of
// the other topics than those that it states.
func configurationRequest() updateRequest {
	request := updateRequest{Positions: make([]wirePosition, len(topics))}
	for i, topic := range topics {
		if topic != discovery.Configuration {
			request.Positions[i].Version = math.MaxInt64
		}
	}
	return request
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
