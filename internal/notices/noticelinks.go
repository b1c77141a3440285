package notices

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/storesync"
)

const (
	// relaysPerDomain is how many members of each failure domain get a notice, so that one
	// of them may be lost.
	relaysPerDomain = 2
	// noticeLinkTimeout bounds the transmission of a notice to one instance.
	noticeLinkTimeout = time.Second
)

// noticeLinks sends notices over links. It is used while the store fails: a notice goes to a
// few members of each failure domain, which pass it on to the others.
type noticeLinks struct {
	self      contract.InstanceID
	members   *storesync.Members
	transport link.Transport
	log       logrus.FieldLogger
}

// spread sends a notice to the own failure domain, and one with a request to pass it on to
// the relays of all failure domains.
func (l *noticeLinks) spread(ctx context.Context, kind link.MessageType, message, relayed any) {
	l.sendToDomain(ctx, kind, message, l.self)
	l.send(ctx, kind, relayed, l.members.Relays(relaysPerDomain))
}

// sendToDomain sends a notice to the other members of the failure domain, except for its sender.
func (l *noticeLinks) sendToDomain(ctx context.Context, kind link.MessageType, message any, sender contract.InstanceID) {
	var receivers []contract.InstanceID
	for _, m := range l.members.DomainMembers() {
		if m.ID != l.self && m.ID != sender {
			receivers = append(receivers, m.ID)
		}
	}
	l.send(ctx, kind, message, receivers)
}

// send sends a notice to instances in the background.
func (l *noticeLinks) send(ctx context.Context, kind link.MessageType, message any, receivers []contract.InstanceID) {
	body, err := link.Encode(message)
	if err != nil {
		l.log.WithError(err).WithField("kind", kind).Error("notice could not be encoded")
		return
	}
	for _, to := range receivers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, noticeLinkTimeout)
			defer cancel()
			if _, err := l.transport.Request(ctx, to, kind, body); err != nil {
				l.log.WithError(err).WithFields(logrus.Fields{"peer": to, "kind": kind}).Debug("notice was not sent to an instance")
			}
		}()
	}
}
