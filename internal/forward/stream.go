package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// resumeWait is the bound within which a stream goes on after a loss, and
	// resumePause the time between looks for a server meanwhile.
	resumeWait  = 3 * time.Second
	resumePause = 150 * time.Millisecond
	// eventBuffer lets a server run ahead of its caller by a few events.
	eventBuffer = 16
)

// relay carries one stream from its servers to its caller.
type relay struct {
	f             *Forwarder
	x             *exchange
	head          bool      // the head of the answer was written
	last          int64     // number of the last event that the caller has
	promptAt      string    // server that keeps the prompt, for the first sending; empty: unknown
	events        int       // delivered by this instance
	copy          *heldCopy // copy of the memory of the run that failed last
	failure       *reply    // a server's own failure, for the caller if nothing better comes
	failedDomains []string  // failure domains of the servers that failed
	longest       time.Duration
	listAge       time.Duration // of the list of servers when the last one was chosen
	lastAt        time.Time     // of the last event; zero before the first
	stuck         time.Time     // since when no server can go on; zero: one does
}

// stream forwards a request whose answer is a stream of events.
func (f *Forwarder) stream(ctx context.Context, x *exchange) {
	s := &relay{f: f, x: x, last: x.meta.LastEvent, promptAt: f.findPrompt(ctx, x)}
	for {
		m, keeper, sending, ok := s.plan(ctx)
		if !ok {
			if s.await(ctx) {
				continue
			}
			break
		}
		result := s.attempt(ctx, m, keeper, sending)
		if result == Answered {
			return
		}
		x.state.Left = x.left()
		if !s.head && f.refuseQuarantined(x) {
			return
		}
		if ctx.Err() != nil || !x.state.Again() && !s.await(ctx) || !x.mayRepeat() {
			break
		}
	}
	s.end(ctx)
}

// await waits a moment for a server when none can go on with a stream that has
// begun. Its caller would lose what it has, and a server may come back or be
// listed soon, so all servers are tried again.
func (s *relay) await(ctx context.Context) bool {
	x := s.x
	now := time.Now()
	if s.stuck.IsZero() {
		s.stuck = now
	}
	if !x.state.MayWait() || now.Sub(s.stuck) >= resumeWait {
		return false
	}
	timer := time.NewTimer(resumePause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	x.avoid = nil
	x.state.Refused = 0
	return true
}

// plan chooses the server of the next sending and the one that keeps a copy, or
// nil for the latter.
func (s *relay) plan(ctx context.Context) (m, keeper *pool.Member, sending Sending, ok bool) {
	x := s.x
	need := pool.Need{AvoidDomains: s.failedDomains, Prefer: s.promptAt}
	s.promptAt = ""
	if s.copy != nil {
		need.Prefer = s.copy.serverID
	}
	if x.service.Engine != nil && need.Prefer == "" {
		p, placed := s.f.placeByReport(ctx, x, need)
		m, keeper, ok = p.server, p.keeper, placed
	} else {
		m, ok = s.f.pick(x, need)
	}
	if !ok {
		return nil, nil, sending, false
	}
	x.sendTo(m)
	sending = Sending{Server: m.Current(), Workspace: x.workspace.Name, LastEvent: s.last}
	if s.copy != nil && m.ID == s.copy.serverID {
		sending.From = &s.copy.Copy
	}
	if s.copyLife() > 0 {
		if keeper == nil {
			keeper, _ = s.pickKeeper(m)
		}
		if keeper != nil {
			sending.Backup = &keeper.Server
		}
	}
	return m, keeper, sending, true
}

// copyLife returns how long a copy of the stream's memory lasts, 0 if its
// servers keep none.
func (s *relay) copyLife() time.Duration {
	engine := s.x.service.Engine
	if engine == nil || !engine.KeepsCopies || !s.x.route.Resumable {
		return 0
	}
	return engine.CopyLife
}

// pickKeeper chooses a server in another failure domain for a copy of the memory.
func (s *relay) pickKeeper(m *pool.Member) (*pool.Member, bool) {
	return s.f.pick(s.x, keeperNeed(m))
}

// keepCopy notes what the next server can go on from. A run is copied from its
// first event on.
func (s *relay) keepCopy(result Result, r *run, after int64) {
	s.copy = nil
	if result == Failed || result == NotSent {
		s.failedDomains = append(s.failedDomains, r.member.FailureDomain)
	}
	if result == Failed && s.last > after {
		s.copy = r.backup.held
	}
}

// attempt runs the stream on one server until its end or failure. Answered
// means that the caller has its whole answer.
func (s *relay) attempt(ctx context.Context, m, keeper *pool.Member, sending Sending) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the run at a server that is given up
	defer m.Use()()
	sending.Left = s.x.left()
	began := time.Now()
	s.listAge = s.f.Pool.Age(began)
	run := &run{relay: s, member: m, watch: NewWatch(began, s.x.route.PauseGoal)}
	run.backup = newBackup(run, keeper, began)
	run.prefilled = m.Prefill()
	defer run.markPrefilled()
	items := make(chan item, eventBuffer)
	go s.f.sender.pump(ctx, s.x, sending, items)
	result, err := run.follow(ctx, items)
	s.note(ctx, m, sending, result, err, began)
	if result == Failed && s.last == sending.LastEvent {
		s.f.confirmCrash(ctx, s.x, m, sending.Server.ID)
	}
	s.keepCopy(result, run, sending.LastEvent)
	run.backup.end(s.copy != nil)
	return result
}

func (s *relay) note(ctx context.Context, m *pool.Member, sending Sending, result Result, err error, began time.Time) {
	s.f.note(ctx, s.x, m, result)
	fields := logrus.Fields{
		"server": m.ID, "domain": m.FailureDomain, "route": s.x.route.Name, "configuration": s.x.version, "result": result,
		"after_event": sending.LastEvent, "last_event": s.last, "took_ms": time.Since(began).Milliseconds(),
		"from_copy": sending.From != nil, "attempt": len(s.x.tried), "list_age_ms": s.listAge.Milliseconds(),
	}
	if sending.Backup != nil {
		fields["copy_at"] = sending.Backup.ID
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	if err != nil && !s.lastAt.IsZero() {
		fields["silent_ms"] = time.Since(s.lastAt).Milliseconds()
	}
	s.x.log.WithFields(fields).Info("stream sent")
}

// deliver passes an event on to the caller.
func (s *relay) deliver(response *http.Response, e event, now time.Time) error {
	controller := http.NewResponseController(s.x.writer)
	_ = controller.SetWriteDeadline(now.Add(writeTimeout)) // not supported by test recorders
	if !s.head {
		s.head = true
		header := s.x.writer.Header()
		for name, values := range s.f.Protocol.AnswerHeader(response.Header) {
			header[name] = values
		}
		s.x.writer.WriteHeader(response.StatusCode)
		s.f.Metrics.latency(s.x)
	}
	if _, err := s.x.writer.Write(e.raw); err != nil {
		return err
	}
	if err := controller.Flush(); err != nil {
		return err
	}
	if !s.lastAt.IsZero() {
		s.longest = max(s.longest, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.stuck = time.Time{}
	s.events++
	if e.numbered {
		s.last = e.id
	}
	return nil
}

// end answers or breaks off a stream that cannot go on.
func (s *relay) end(ctx context.Context) {
	switch {
	case s.head:
		outcome := "interrupted"
		if s.x.request.Context().Err() != nil {
			outcome = "caller_left"
		}
		s.finish(outcome)
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	case s.failure != nil:
		s.f.deliver(s.x, *s.failure)
	default:
		s.f.giveUp(ctx, s.x)
	}
}

func (s *relay) finish(outcome string) {
	s.f.Metrics.ended(s.x, outcome)
	s.x.log.WithFields(logrus.Fields{
		"outcome": outcome, "events": s.events, "last_event": s.last, "servers": s.x.tried,
		"longest_pause_ms": s.longest.Milliseconds(), "took_ms": time.Since(s.x.arrived).Milliseconds(),
	}).Info("stream ended")
}

// item is what arrives from a server of a stream: a head, an event or the end.
type item struct {
	head  *reply
	event event
	err   error // io.EOF: the stream is complete
}

// pump sends the request and passes on what arrives until the stream ends.
func (s *sender) pump(ctx context.Context, x *exchange, sending Sending, out chan<- item) {
	pass := func(it item) bool {
		select {
		case out <- it:
			return true
		case <-ctx.Done():
			return false
		}
	}
	r := s.send(ctx, x, sending)
	if r.response == nil || r.result != Answered || r.response.StatusCode != http.StatusOK {
		r = r.readAll()
		pass(item{head: &r})
		return
	}
	defer r.response.Body.Close()
	if !pass(item{head: &r}) {
		return
	}
	events := newEventReader(r.response.Body)
	for {
		e, err := events.next()
		if !pass(item{event: e, err: err}) || err != nil {
			return
		}
	}
}

// run is the stream on one server.
type run struct {
	*relay
	member    *pool.Member
	watch     Watch
	backup    *backup
	response  *http.Response
	prefilled func()
}

// markPrefilled notes that the server no longer reads the prompt.
func (r *run) markPrefilled() {
	if r.prefilled != nil {
		r.prefilled()
		r.prefilled = nil
	}
}

// follow passes events on until the stream is complete or has to move.
func (r *run) follow(ctx context.Context, items <-chan item) (Result, error) {
	timer := time.NewTimer(time.Until(r.watch.ProbeAt()))
	defer timer.Stop()
	lost := r.member.Lost()
	probed := make(chan error, 1)
	probing := false
	for {
		select {
		case it := <-items:
			result, ended, err := r.take(it)
			if ended {
				return result, err
			}
			if it.head == nil {
				r.backup.check(ctx, time.Now())
			}
		case copied := <-r.backup.copied:
			r.backup.take(copied, time.Now())
		case <-lost:
			lost = r.member.Lost()
			r.watch.Suspect(time.Now())
		case <-timer.C:
			if !time.Now().Before(r.watch.StallAt()) {
				return Failed, errStalled
			}
			if !probing {
				probing = true
				go r.probe(ctx, probed)
			}
		case err := <-probed:
			probing = false
			if ctx.Err() != nil {
				return Failed, ctx.Err()
			}
			if err != nil && !r.heardSince(probeTimeout) {
				r.member.Lose(time.Now())
				return Failed, errors.Mark(err, errSilent)
			}
			r.watch.Alive(time.Now())
		case <-ctx.Done():
			return Failed, ctx.Err()
		}
		wake := r.watch.ProbeAt()
		if probing {
			wake = r.watch.StallAt()
		}
		timer.Reset(time.Until(wake))
	}
}

// heardSince reports whether an event has arrived within the duration.
func (r *run) heardSince(d time.Duration) bool { return r.watch.Silent(time.Now()) < d }

func (r *run) probe(ctx context.Context, probed chan<- error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := r.f.Reporter.Report(ctx, r.member.Address)
	probed <- err
}

// take handles what arrived from the server.
func (r *run) take(it item) (result Result, ended bool, err error) {
	switch {
	case it.head != nil:
		return r.takeHead(it.head)
	case errors.Is(it.err, io.EOF):
		r.finish("answered")
		return Answered, true, nil
	case it.err != nil:
		r.member.Lose(time.Now())
		return Failed, true, it.err
	}
	now := time.Now()
	r.watch.Event(now)
	r.markPrefilled()
	if it.event.numbered && it.event.id <= r.last {
		return 0, false, nil // the caller has it
	}
	if it.event.numbered && r.last > 0 && it.event.id != r.last+1 {
		return Failed, true, errOutOfOrder
	}
	if err := r.deliver(r.response, it.event, now); err != nil {
		return Failed, true, errors.Wrap(err, "write to the caller")
	}
	return 0, false, nil
}

func (r *run) takeHead(head *reply) (result Result, ended bool, err error) {
	if head.result == Answered && head.response.StatusCode == http.StatusOK {
		r.response = head.response
		return 0, false, nil
	}
	if head.result == Answered && !r.head {
		r.f.deliver(r.x, *head)
		return Answered, true, nil
	}
	if head.result == ServerError && !promisesNotRun(head.response.StatusCode) {
		r.failure = head
	}
	if head.err == nil {
		head.err = errors.Newf("status %d", head.response.StatusCode)
	}
	return head.result, true, head.err
}
