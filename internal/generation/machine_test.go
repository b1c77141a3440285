package generation_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

var machineRequest = contract.RequestID{Workspace: "w", Key: "k"}

// machineDriver feeds inputs to a machine and controls its clock.
type machineDriver struct {
	g   Gomega
	m   *generation.Machine
	now time.Time
	log []generation.Action
}

func newMachineDriver(t *testing.T, change func(*generation.MachineSettings)) *machineDriver {
	now := time.UnixMilli(1_800_000_000_000)
	settings := generation.MachineSettings{
		Request: machineRequest, StreamName: "s", Policy: configuration.ResumeSparing, MaxAttempts: 3,
		QueueUntil: now.Add(10 * time.Second), Deadline: now.Add(time.Minute), FirstTokenTimeout: 3 * time.Second,
		TextHeld: true,
	}
	if change != nil {
		change(&settings)
	}
	return &machineDriver{g: NewWithT(t), m: generation.NewMachine(settings), now: now}
}

// step feeds one input, places new attempts at once and returns all actions.
func (d *machineDriver) step(in generation.Input) []generation.Action {
	actions, _ := d.m.Step(d.now, in)
	d.log = append(d.log, actions...)
	for _, a := range actions {
		if a.Kind == generation.ActionStart {
			placed := generation.Input{Kind: generation.InputPlaced, Attempt: a.Attempt, Upstream: "u", ContentStatus: in.ContentStatus}
			actions = append(actions, d.step(placed)...)
		}
	}
	return actions
}

func (d *machineDriver) event(attempt contract.AttemptNumber, connection generation.ConnectionID, offset int64) []generation.Action {
	return d.step(generation.Input{
		Kind: generation.InputEvent, Attempt: attempt, Connection: connection,
		Event: upstream.StreamEvent{
			Request: machineRequest, Stream: upstream.StreamID("s-" + string(rune('0'+attempt))),
			Token: contract.Token{Offset: offset, Text: "t"},
		},
	})
}

// tick advances the time to the next tick that the machine requests.
func (d *machineDriver) tick() []generation.Action {
	_, wake := d.m.Step(d.now, generation.Input{Kind: generation.InputTick})
	d.now = wake
	return d.step(generation.Input{Kind: generation.InputTick})
}

func kinds(actions []generation.Action) []generation.ActionKind {
	var all []generation.ActionKind
	for _, a := range actions {
		all = append(all, a.Kind)
	}
	return all
}

func verdict(actions []generation.Action) contract.Verdict {
	for _, a := range actions {
		if a.Kind == generation.ActionFinish {
			return a.Verdict
		}
	}
	return contract.Verdict{}
}

// Guards against late tokens of an ended attempt in the text (P2).
func TestMachineDropsTokensOfOldAttempt(t *testing.T) {
	d := newMachineDriver(t, nil)
	d.step(generation.Input{Kind: generation.InputBegin})
	d.g.Expect(kinds(d.event(1, 1, 0))).To(Equal([]generation.ActionKind{generation.ActionSwitchAttempt, generation.ActionDeliver}))
	d.g.Expect(kinds(d.tick())).To(Equal([]generation.ActionKind{generation.ActionProbe}))
	d.g.Expect(kinds(d.tick())).To(ContainElements(generation.ActionEndAttempt, generation.ActionStart))
	d.g.Expect(d.event(1, 1, 1)).To(BeEmpty())
	d.g.Expect(d.event(1, 2, 1)).To(BeEmpty())
	d.g.Expect(kinds(d.event(2, 3, 1))).To(ContainElement(generation.ActionDeliver))
}

// Guards against two current attempts with policy fast: the first connection that
// yields the next token is kept, and the other attempt is cancelled.
func TestMachineFastRace(t *testing.T) {
	for winner, connection := range map[contract.AttemptNumber]generation.ConnectionID{1: 2, 2: 3} {
		d := newMachineDriver(t, func(s *generation.MachineSettings) { s.Policy = configuration.ResumeFast })
		d.step(generation.Input{Kind: generation.InputBegin})
		d.event(1, 1, 0)
		d.g.Expect(kinds(d.tick())).To(Equal([]generation.ActionKind{generation.ActionProbe, generation.ActionStart}))
		actions := d.event(winner, connection, 1)
		d.g.Expect(d.m.CurrentAttempt()).To(Equal(winner))
		loser := 3 - winner
		d.g.Expect(actions).To(ContainElement(SatisfyAll(
			HaveField("Kind", generation.ActionEndAttempt), HaveField("Attempt", loser), HaveField("Cancel", true))))
		d.g.Expect(d.event(loser, 5-connection, 2)).To(BeEmpty())
	}
}

// Guards against the end of a hedge, or a third attempt beside it, when the
// suspected attempt fails permanently, and against an attempt that is not probed
// again after an earlier probe has succeeded.
func TestMachineKeepsHealthyAttempt(t *testing.T) {
	d := newMachineDriver(t, func(s *generation.MachineSettings) { s.Policy = configuration.ResumeFast })
	d.step(generation.Input{Kind: generation.InputBegin})
	d.event(1, 1, 0)
	d.g.Expect(d.event(1, 1, 0)).To(BeEmpty(), "a repeated token must not end an attempt")
	d.tick()
	d.event(1, 2, 1)
	d.g.Expect(kinds(d.tick())).To(Equal([]generation.ActionKind{generation.ActionProbe, generation.ActionStart}))
	d.step(generation.Input{Kind: generation.InputLost, Attempt: 1, Connection: 2})
	actions := d.step(generation.Input{Kind: generation.InputUnreachable, Attempt: 1, Connection: 4})
	d.g.Expect(kinds(actions)).To(Equal([]generation.ActionKind{generation.ActionEndAttempt}))
	d.g.Expect(kinds(d.event(3, 5, 2))).To(ContainElement(generation.ActionDeliver))
}

// Guards against a suspected poison prompt on two engines at a time (P9): with
// policy fast it is probed first, and its next attempt waits for the cancellation.
func TestMachineSuspectedContentRunsOnOneEngine(t *testing.T) {
	suspected := upstream.ContentStatus{Crashes: 1}
	d := newMachineDriver(t, func(s *generation.MachineSettings) { s.Policy = configuration.ResumeFast })
	d.step(generation.Input{Kind: generation.InputBegin, ContentStatus: suspected})
	d.event(1, 1, 0)
	d.now = d.now.Add(time.Second)
	probe := d.step(generation.Input{Kind: generation.InputTick, ContentStatus: suspected})
	d.g.Expect(kinds(probe)).To(Equal([]generation.ActionKind{generation.ActionProbe}))
	d.now = d.now.Add(time.Second)
	failed := d.step(generation.Input{Kind: generation.InputTick, ContentStatus: suspected})
	d.g.Expect(kinds(failed)).To(Equal([]generation.ActionKind{generation.ActionCloseConnection, generation.ActionEndAttempt}))
	cancelled := d.step(generation.Input{Kind: generation.InputCancelled, Attempt: 1, ContentStatus: suspected})
	d.g.Expect(kinds(cancelled)).To(ContainElement(generation.ActionStart))
}

// Guards against the outcome not_run for a request that may have run (P4), and
// against a late or missing final response.
func TestMachineVerdicts(t *testing.T) {
	begin := generation.Input{Kind: generation.InputBegin}
	input := func(kind generation.InputKind, attempt contract.AttemptNumber, c generation.ConnectionID) generation.Input {
		return generation.Input{Kind: kind, Attempt: attempt, Connection: c}
	}
	cases := map[string]struct {
		run  func(d *machineDriver) []generation.Action
		want contract.Verdict
	}{
		"quarantined content": {func(d *machineDriver) []generation.Action {
			until := d.now.Add(time.Minute)
			return d.step(generation.Input{
				Kind: generation.InputBegin, ContentStatus: upstream.ContentStatus{Crashes: 3, Quarantined: true, Until: until}})
		}, contract.Verdict{Outcome: contract.Quarantined, Reason: contract.ReasonQuarantined, RetryAfter: time.Minute}},
		"attempts exhausted": {func(d *machineDriver) []generation.Action {
			d.step(begin)
			d.step(input(generation.InputLost, 1, 1))
			d.step(input(generation.InputUnreachable, 1, 2))
			d.step(input(generation.InputLost, 2, 3))
			d.step(input(generation.InputUnreachable, 2, 4))
			d.step(input(generation.InputLost, 3, 5))
			return d.step(input(generation.InputUnreachable, 3, 6))
		}, contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonAttemptsExhausted}},
		"deadline after a start without a response": {func(d *machineDriver) []generation.Action {
			d.step(begin)
			d.now = d.now.Add(time.Hour)
			return d.step(generation.Input{Kind: generation.InputTick})
		}, contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonDeadlineExceeded}},
		"no upstream within the queue time": {func(d *machineDriver) []generation.Action {
			d.m.Step(d.now, begin)
			d.now = d.now.Add(10 * time.Second)
			return d.step(generation.Input{Kind: generation.InputNoPlacement, Attempt: 1, RetryAfter: time.Second})
		}, contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonNoUpstream, RetryAfter: time.Second}},
		"no upstream after a lost start": {func(d *machineDriver) []generation.Action {
			d.step(begin)
			d.step(input(generation.InputLost, 1, 1))
			actions, _ := d.m.Step(d.now, input(generation.InputUnreachable, 1, 2))
			d.g.Expect(kinds(actions)).To(ContainElement(generation.ActionStart))
			d.m.Step(d.now, generation.Input{Kind: generation.InputNoPlacement, Attempt: 2, VersionGone: true})
			d.now = d.now.Add(2 * time.Second)
			d.m.Step(d.now, generation.Input{Kind: generation.InputTick})
			return d.step(generation.Input{Kind: generation.InputNoPlacement, Attempt: 2, VersionGone: true})
		}, contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonVersionGone}},
		"stream lost before the caller's position": {func(d *machineDriver) []generation.Action {
			*d = *newMachineDriver(t, func(s *generation.MachineSettings) {
				s.MinRestartOffset = 5
				s.Adopt = &generation.AdoptedStream{Attempt: 1, Stream: "s-1", Upstream: "u"}
			})
			d.step(begin)
			actions := d.step(input(generation.InputPrefixMismatch, 1, 1))
			d.g.Expect(actions[0].Cancel).To(BeFalse(), "the stream may belong to another request")
			return actions
		}, contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonNotHeld}},
		"no upstream after a silent start": {func(d *machineDriver) []generation.Action {
			d.step(begin)
			d.tick()
			d.now = d.now.Add(20 * time.Second)
			d.m.Step(d.now, generation.Input{Kind: generation.InputTick})
			return d.step(generation.Input{Kind: generation.InputNoPlacement, Attempt: 2})
		}, contract.Verdict{}},
		"no upstream for a caller that holds tokens": {func(d *machineDriver) []generation.Action {
			*d = *newMachineDriver(t, func(s *generation.MachineSettings) { s.NextOffset = 5 })
			d.m.Step(d.now, begin)
			d.now = d.now.Add(20 * time.Second)
			return d.step(generation.Input{Kind: generation.InputNoPlacement, Attempt: 1})
		}, contract.Verdict{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newMachineDriver(t, nil)
			NewWithT(t).Expect(verdict(c.run(d))).To(Equal(c.want))
		})
	}
}

// Guards against a resumed generation that misses a free upstream because the
// backoff has grown too long after several placements without success.
func TestResumedGenerationRetriesPlacementOften(t *testing.T) {
	d := newMachineDriver(t, nil)
	d.step(generation.Input{Kind: generation.InputBegin})
	d.step(generation.Input{Kind: generation.InputLost, Attempt: 1, Connection: 1})
	d.m.Step(d.now, generation.Input{Kind: generation.InputUnreachable, Attempt: 1, Connection: 2})
	for range 10 {
		_, wake := d.m.Step(d.now, generation.Input{Kind: generation.InputNoPlacement, Attempt: 2})
		d.g.Expect(wake.Sub(d.now)).To(And(BeNumerically(">", 0), BeNumerically("<=", 200*time.Millisecond)))
		d.now = wake
		actions, _ := d.m.Step(d.now, generation.Input{Kind: generation.InputTick})
		d.g.Expect(kinds(actions)).To(ContainElement(generation.ActionStart))
	}
}

// Guards against sequences of inputs that violate the order of tokens, the limit
// of attempts or the single end.
func TestMachineRandomInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_800_000_000_000)
		policy := rapid.SampledFrom([]configuration.ResumePolicy{"sparing", "fast"}).Draw(t, "policy")
		m := generation.NewMachine(generation.MachineSettings{
			Request: machineRequest, StreamName: "s", Policy: policy, MaxAttempts: 4, TextHeld: true,
			QueueUntil: now.Add(time.Second), Deadline: now.Add(time.Minute), FirstTokenTimeout: time.Second,
		})
		c := &actionChecker{alive: map[contract.AttemptNumber]bool{}, refused: map[generation.ConnectionID]bool{}}
		crashes := 0
		c.step(t, m, now, generation.Input{Kind: generation.InputBegin})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			in := c.draw(t)
			if in.Kind == generation.InputLost {
				crashes += rapid.IntRange(0, 1).Draw(t, "crash")
			}
			in.ContentStatus = upstream.ContentStatus{Crashes: crashes, Quarantined: crashes > 2}
			c.step(t, m, now, in)
		}
		c.step(t, m, now.Add(time.Hour), generation.Input{Kind: generation.InputTick})
		if c.finished != 1 {
			t.Fatalf("finished %d times", c.finished)
		}
	})
}

// actionChecker checks the actions of a machine.
type actionChecker struct {
	next        int64
	finished    int
	starts      []generation.Action
	connections [][2]int // attempt and identifier of each opened connection
	alive       map[contract.AttemptNumber]bool
	refused     map[generation.ConnectionID]bool
}

func (c *actionChecker) draw(t *rapid.T) generation.Input {
	in := generation.Input{Kind: generation.InputKind(rapid.IntRange(int(generation.InputOpened), int(generation.InputCancelled)).Draw(t, "kind"))}
	if rapid.Bool().Draw(t, "tick") {
		in.Kind = generation.InputTick
	}
	if len(c.connections) == 0 {
		in.Kind = generation.InputTick
		return in
	}
	connection := rapid.SampledFrom(c.connections[max(0, len(c.connections)-4):]).Draw(t, "connection")
	in.Attempt, in.Connection = contract.AttemptNumber(connection[0]), generation.ConnectionID(connection[1])
	offset := c.next + int64(rapid.SampledFrom([]int{0, 0, 0, 0, -1, 1}).Draw(t, "offset"))
	in.Event = upstream.StreamEvent{Request: machineRequest, Token: contract.Token{Offset: offset}}
	in.Event.Stream = upstream.StreamID("s-" + string(rune('0'+connection[0])))
	return in
}

func (c *actionChecker) step(t *rapid.T, m *generation.Machine, now time.Time, in generation.Input) {
	switch in.Kind {
	case generation.InputRefused, generation.InputLeaving, generation.InputUnreachable:
		c.refused[in.Connection] = true
	}
	actions, wake := m.Step(now, in)
	if !m.Finished() && !wake.After(now) {
		t.Fatalf("next tick %v is not after %v", wake, now)
	}
	for _, a := range actions {
		c.check(t, a, in.ContentStatus)
	}
	for _, a := range actions {
		if a.Kind == generation.ActionStart {
			c.place(t, m, now, a.Attempt, in.ContentStatus)
		}
	}
}

// place reports the result of the placement of an attempt.
func (c *actionChecker) place(
	t *rapid.T, m *generation.Machine, now time.Time, attempt contract.AttemptNumber, status upstream.ContentStatus,
) {
	in := generation.Input{Kind: generation.InputPlaced, Attempt: attempt, Upstream: "u", ContentStatus: status}
	if rapid.IntRange(0, 3).Draw(t, "placed") == 0 {
		in.Kind = generation.InputNoPlacement
		in.VersionGone = rapid.Bool().Draw(t, "gone")
		delete(c.alive, attempt)
		c.starts = c.starts[:len(c.starts)-1]
	}
	c.step(t, m, now, in)
}

func (c *actionChecker) check(t *rapid.T, a generation.Action, status upstream.ContentStatus) {
	if c.finished > 0 {
		t.Fatalf("action %v after the end", a.Kind)
	}
	switch a.Kind {
	case generation.ActionStart:
		c.alive[a.Attempt] = true
		c.connections = append(c.connections, [2]int{int(a.Attempt), int(a.Connection)})
		c.starts = append(c.starts, a)
	case generation.ActionProbe:
		c.connections = append(c.connections, [2]int{int(a.Attempt), int(a.Connection)})
	case generation.ActionEndAttempt:
		delete(c.alive, a.Attempt)
	case generation.ActionDeliver:
		if a.Token.Offset != c.next || len(c.alive) != 1 || !c.alive[a.Attempt] {
			t.Fatalf("token %d of attempt %d, expected %d, alive %v", a.Token.Offset, a.Attempt, c.next, c.alive)
		}
		c.next++
	case generation.ActionFinish:
		c.finished++
		if len(c.alive) > 0 {
			t.Fatalf("attempts %v are alive after the end", c.alive)
		}
		ran := slices.ContainsFunc(c.starts, func(s generation.Action) bool { return !c.refused[s.Connection] })
		if ran && a.Verdict.Outcome == contract.NotRun {
			t.Fatalf("not_run after an attempt that was not refused")
		}
	}
	// A hedge from before the first crash may be alive; none may start after it.
	hedge := a.Kind == generation.ActionStart && len(c.alive) > 1
	if len(c.alive) > 2 || hedge && status.Crashes > 0 {
		t.Fatalf("attempts %v run at the same time with %d crashes", c.alive, status.Crashes)
	}
	if !slices.IsSortedFunc(c.starts, func(a, b generation.Action) int { return int(a.Attempt) - int(b.Attempt) }) {
		t.Fatalf("attempts are not numbered in order")
	}
}

// Guards against a stalled text while its new attempt waits in the queue of a live
// engine: a hedge starts also with policy sparing.
func TestMachineHedgesQueuedResumedAttempt(t *testing.T) {
	d := newMachineDriver(t, func(s *generation.MachineSettings) { s.MaxAttempts = 8 })
	d.step(generation.Input{Kind: generation.InputBegin})
	d.event(1, 1, 0)
	d.step(generation.Input{Kind: generation.InputLost, Attempt: 1, Connection: 1})
	d.g.Expect(kinds(d.step(generation.Input{Kind: generation.InputUnreachable, Attempt: 1, Connection: 2}))).To(
		ContainElement(generation.ActionStart))
	d.step(generation.Input{Kind: generation.InputOpened, Attempt: 2, Connection: 3})
	lost := d.now
	d.g.Expect(kinds(d.tick())).To(ContainElements(generation.ActionProbe, generation.ActionStart))
	d.g.Expect(d.now.Sub(lost)).To(BeNumerically("<=", time.Second))
	d.g.Expect(kinds(d.event(3, 5, 1))).To(ContainElements(generation.ActionDeliver, generation.ActionEndAttempt))
}
