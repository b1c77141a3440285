package membership

import (
	"context"
	"time"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// listTimeout bounds one request to the platform's instance list.
const listTimeout = 2 * time.Second

// instanceListLoop polls the instance list and announces this instance until
// ctx ends. While the list is down, the members found so far and heartbeats
// remain in use.
func (m *Membership) instanceListLoop(ctx context.Context) {
	nextAnnounce := m.now()
	down := false
	for {
		if m.now() >= nextAnnounce {
			if m.announceSelf(ctx) {
				nextAnnounce = m.now().after(m.jitter(m.config.AnnounceInterval))
			}
		}
		down = m.readList(ctx, down)
		timer := time.NewTimer(m.jitter(m.config.ListInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-m.announceDue:
			timer.Stop()
			nextAnnounce = m.now()
		case <-timer.C:
		}
	}
}

func (m *Membership) announceSelf(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	m.mu.Lock()
	state := platform.StateLive
	if m.status.State == Draining {
		state = platform.StateLeaving
	}
	m.mu.Unlock()
	self := m.config.Self
	err := m.config.List.Register(ctx, platform.ListEntry{
		ID: string(self.ID), Address: self.Address, FailureDomain: string(self.Domain),
		Region: self.Region, State: state, UpdatedAt: time.Now(),
	})
	if err != nil && ctx.Err() == nil {
		m.log.WithError(err).Debug("cannot announce this instance")
	}
	return err == nil
}

// readList returns whether the list is down. It logs only changes of that
// state.
func (m *Membership) readList(ctx context.Context, wasDown bool) (down bool) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := m.config.List.List(ctx)
	if err != nil {
		if !wasDown {
			m.log.WithError(err).Warn("instance list is unavailable")
		}
		return true
	}
	if wasDown {
		m.log.Info("instance list is available again")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.applyList(list.Instances, m.accepts, m.now())
	m.viewOutdated.Store(true)
	return false
}
