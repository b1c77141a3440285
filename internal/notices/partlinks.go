package notices

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/link"
)

const (
	// messagePart is the type of a notice about parts of prompts.
	messagePart link.MessageType = "part"
	// partLinkDelay is the time after which a row goes over links to the other instances if
	// it is not written to the store yet.
	partLinkDelay = 300 * time.Millisecond
	// partLinkInterval is the time after which the same content is repeated while the store
	// fails, for instances that have restarted.
	partLinkInterval = 10 * time.Second
	maxPartKey       = 200
	maxPartValue     = 64 << 10
)

// partMessage is a row that could not be written to the store, as sent over links.
type partMessage struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
	Relay bool   `cbor:"3,keyasint"` // the receiver passes it on to its failure domain
}

// partSpreader sends a row to the other instances over links.
type partSpreader interface {
	spread(ctx context.Context, message partMessage)
}

func decodePartMessage(data []byte) (partMessage, error) {
	var message partMessage
	if err := link.Decode(data, &message); err != nil {
		return partMessage{}, err
	}
	known := strings.HasPrefix(message.Key, evidenceKeyPrefix) || strings.HasPrefix(message.Key, verdictKeyPrefix)
	if !known || len(message.Key) > maxPartKey || len(message.Value) > maxPartValue {
		return partMessage{}, errors.Wrapf(errInvalidPartRow, "message with key %.64q, %d bytes", message.Key, len(message.Value))
	}
	return message, nil
}

// setLinks sets the running links; nil: none.
func (e *partExchange) setLinks(links partSpreader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.links = links
}

// spreadLater sends a row over links if it is not written soon, or at once while the store
// fails. The caller reports the end of the write.
func (e *partExchange) spreadLater(message *partMessage) (ended func(err error)) {
	e.mu.Lock()
	links, failing := e.links, e.failing
	e.mu.Unlock()
	if links == nil || message == nil {
		return func(error) {}
	}
	spread := func() {
		e.log.WithField("key", message.Key).Info("row about parts of prompts sent to other instances over links")
		links.spread(context.Background(), *message)
	}
	if failing || e.storeFailing() {
		spread()
		return func(error) {}
	}
	delayed := time.AfterFunc(partLinkDelay, spread)
	return func(err error) {
		if delayed.Stop() && err != nil {
			spread()
		}
	}
}

// receive applies a row that came over a link.
func (e *partExchange) receive(message partMessage) {
	defer e.notify()
	now := time.Now()
	row := discovery.Row{Key: message.Key, Value: message.Value}
	if strings.HasPrefix(message.Key, verdictKeyPrefix) {
		e.applyLinkedVerdict(now, row)
		return
	}
	if ev, ok := e.decodeRow(now, row); ok {
		e.applyEvidence(now, []evidence{ev})
	}
}

// partLinks sends rows about parts of prompts over links.
type partLinks struct {
	*noticeLinks
	parts *partExchange
}

// serve handles a row of another instance.
func (l *partLinks) serve(_ context.Context, peer contract.InstanceID, body []byte) ([]byte, error) {
	message, err := decodePartMessage(body)
	if err != nil {
		return nil, err
	}
	l.parts.receive(message)
	if message.Relay {
		message.Relay = false
		l.sendToDomain(context.Background(), messagePart, message, peer)
	}
	return link.Encode(struct{}{})
}

// spread sends a row to all instances.
func (l *partLinks) spread(ctx context.Context, message partMessage) {
	relayed := message
	relayed.Relay = true
	l.noticeLinks.spread(ctx, messagePart, message, relayed)
}
