package notices

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/forward"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// messageRate is the type of a notice of a request rate.
	messageRate link.MessageType = "rate"
	// linkedRetention is how long a notice that came over links is remembered.
	linkedRetention = 10 * time.Minute
	maxUpstreamID   = 200
)

// rateMessage is a notice of a request rate as sent over links.
type rateMessage struct {
	UpstreamID string  `cbor:"1,keyasint"`
	StartedAt  int64   `cbor:"2,keyasint"` // of the upstream's process, in Unix milliseconds
	PerSecond  float64 `cbor:"3,keyasint"`
	Ended      bool    `cbor:"4,keyasint"` // the upstream no longer states a rate
	Relay      bool    `cbor:"5,keyasint"` // the receiver passes it on to its failure domain
}

var errInvalidRateMessage = errors.New("invalid notice of a request rate")

func decodeRateMessage(data []byte) (rateMessage, error) {
	var message rateMessage
	if err := link.Decode(data, &message); err != nil {
		return rateMessage{}, err
	}
	if message.UpstreamID == "" || len(message.UpstreamID) > maxUpstreamID || !(message.PerSecond >= 0) || math.IsInf(message.PerSecond, 0) {
		return rateMessage{}, errors.Wrapf(errInvalidRateMessage, "upstream %.64q, rate %v", message.UpstreamID, message.PerSecond)
	}
	return message, nil
}

// spread sends a notice to the other instances over links, unless one like it was sent or
// received lately.
func (e *rateExchange) spread(message rateMessage) {
	e.mu.Lock()
	links := e.links
	e.mu.Unlock()
	if links == nil || !e.recordLinked(message) {
		return
	}
	e.log.WithFields(logrus.Fields{"upstream": message.UpstreamID, "ended": message.Ended}).Info("request rate sent to other instances over links")
	links.spread(context.Background(), message)
}

// setLinks sets the running links; nil: none.
func (e *rateExchange) setLinks(links rateSpreader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.links = links
}

// recordLinked records a notice, and reports whether it is new.
func (e *rateExchange) recordLinked(message rateMessage) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.linked[message.UpstreamID]
	same := known && last.message.StartedAt == message.StartedAt && last.message.Ended == message.Ended &&
		(message.Ended || similarRates(last.message.PerSecond, message.PerSecond))
	if same && time.Since(last.at) < rateLinkInterval {
		return false
	}
	e.linked[message.UpstreamID] = linkedRate{message: message, at: time.Now()}
	e.hasNotices.Store(true)
	return true
}

// dropOldLinked bounds the memory for notices that came over links.
func (e *rateExchange) dropOldLinked() {
	defer e.updateHasNotices()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, linked := range e.linked {
		if time.Since(linked.at) >= linkedRetention {
			delete(e.linked, id)
		}
	}
}

// receive applies a notice that came over a link.
func (e *rateExchange) receive(message rateMessage) {
	m, found := e.pool.Find(message.UpstreamID, message.StartedAt)
	if !found {
		return
	}
	e.recordLinked(message)
	now := time.Now()
	change := pool.RateUnchanged
	if message.Ended {
		change = m.ApplyRateEnd(now)
	} else {
		change = m.ApplyRateNotice(now, message.PerSecond)
	}
	if change != pool.RateUnchanged {
		forward.LogRateChange(e.log, m, change, "link")
	}
}

// rateLinks sends notices of request rates over links.
type rateLinks struct {
	*noticeLinks
	rates *rateExchange
}

// serve handles a notice of another instance.
func (l *rateLinks) serve(_ context.Context, peer contract.InstanceID, body []byte) ([]byte, error) {
	message, err := decodeRateMessage(body)
	if err != nil {
		return nil, err
	}
	l.rates.receive(message)
	if message.Relay {
		message.Relay = false
		l.sendToDomain(context.Background(), messageRate, message, peer)
	}
	return link.Encode(struct{}{})
}

// spread sends a notice to all instances.
func (l *rateLinks) spread(ctx context.Context, message rateMessage) {
	relayed := message
	relayed.Relay = true
	l.noticeLinks.spread(ctx, messageRate, message, relayed)
}
