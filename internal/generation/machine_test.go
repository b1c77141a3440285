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

// bench drives a machine by hand.
type bench struct {
	g   Gomega
	m   *generation.Machine
	now time.Time
	log []generation.Action
}

func newBench(t *testing.T, change func(*generation.MachineSettings)) *bench {
	now := time.UnixMilli(1_800_000_000_000)
	settings := generation.MachineSettings{
		Request: machineRequest, StreamName: "s", Policy: configuration.ResumeSparing, MaxAttempts: 3,
		QueueUntil: now.Add(10 * time.Second), Deadline: now.Add(time.Minute), FirstToken: 3 * time.Second,
		TextHeld: true,
	}
	if change != nil {
		change(&settings)
	}
	return &bench{g: NewWithT(t), m: generation.NewMachine(settings), now: now}
}

// step returns the actions of one input, placing new attempts at once.
func (b *bench) step(in generation.Input) []generation.Action {
	actions, _ := b.m.Step(b.now, in)
	b.log = append(b.log, actions...)
	for _, a := range actions {
		if a.Kind == generation.ActionStart {
			placed := generation.Input{Kind: generation.InputPlaced, Attempt: a.Attempt, Upstream: "u", Standing: in.Standing}
			actions = append(actions, b.step(placed)...)
		}
	}
	return actions
}

func (b *bench) event(attempt contract.AttemptNumber, lane generation.ConnectionID, offset int64) []generation.Action {
	return b.step(generation.Input{
		Kind: generation.InputEvent, Attempt: attempt, Connection: lane,
		Event: upstream.StreamEvent{
			Request: machineRequest, Stream: upstream.StreamID("s-" + string(rune('0'+attempt))),
			Token: contract.Token{Offset: offset, Text: "t"},
		},
	})
}

// tick advances the time to the machine's next due time.
func (b *bench) tick() []generation.Action {
	_, wake := b.m.Step(b.now, generation.Input{Kind: generation.InputTick})
	b.now = wake
	return b.step(generation.Input{Kind: generation.InputTick})
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

// Guards against late tokens of an old attempt in the text (P2).
func TestMachineDropsTokensOfOldAttempt(t *testing.T) {
	b := newBench(t, nil)
	b.step(generation.Input{Kind: generation.InputBegin})
	b.g.Expect(kinds(b.event(1, 1, 0))).To(Equal([]generation.ActionKind{generation.ActionSwitch, generation.ActionDeliver}))
	b.g.Expect(kinds(b.tick())).To(Equal([]generation.ActionKind{generation.ActionProbe}))
	b.g.Expect(kinds(b.tick())).To(ContainElements(generation.ActionEnd, generation.ActionStart))
	b.g.Expect(b.event(1, 1, 1)).To(BeEmpty())
	b.g.Expect(b.event(1, 2, 1)).To(BeEmpty())
	b.g.Expect(kinds(b.event(2, 3, 1))).To(ContainElement(generation.ActionDeliver))
}

// Guards against two current attempts with policy fast: the first lane that
// yields the next token wins and the attempts beside it are cancelled.
func TestMachineFastRace(t *testing.T) {
	for winner, lane := range map[contract.AttemptNumber]generation.ConnectionID{1: 2, 2: 3} {
		b := newBench(t, func(s *generation.MachineSettings) { s.Policy = configuration.ResumeFast })
		b.step(generation.Input{Kind: generation.InputBegin})
		b.event(1, 1, 0)
		b.g.Expect(kinds(b.tick())).To(Equal([]generation.ActionKind{generation.ActionProbe, generation.ActionStart}))
		actions := b.event(winner, lane, 1)
		b.g.Expect(b.m.Current()).To(Equal(winner))
		loser := 3 - winner
		b.g.Expect(actions).To(ContainElement(SatisfyAll(
			HaveField("Kind", generation.ActionEnd), HaveField("Attempt", loser), HaveField("Cancel", true))))
		b.g.Expect(b.event(loser, 5-lane, 2)).To(BeEmpty())
	}
}

// Guards against a rival that is ended, or joined by a third attempt, when the
// old attempt fails for good, and against an attempt that is not probed again
// after its probe has won.
func TestMachineSurvivorIsKept(t *testing.T) {
	b := newBench(t, func(s *generation.MachineSettings) { s.Policy = configuration.ResumeFast })
	b.step(generation.Input{Kind: generation.InputBegin})
	b.event(1, 1, 0)
	b.g.Expect(b.event(1, 1, 0)).To(BeEmpty(), "a repeated token ends nothing")
	b.tick()
	b.event(1, 2, 1)
	b.g.Expect(kinds(b.tick())).To(Equal([]generation.ActionKind{generation.ActionProbe, generation.ActionStart}))
	b.step(generation.Input{Kind: generation.InputLost, Attempt: 1, Connection: 2})
	actions := b.step(generation.Input{Kind: generation.InputUnreachable, Attempt: 1, Connection: 4})
	b.g.Expect(kinds(actions)).To(Equal([]generation.ActionKind{generation.ActionEnd}))
	b.g.Expect(kinds(b.event(3, 5, 2))).To(ContainElement(generation.ActionDeliver))
}

// Guards against a suspected content on two engines at a time (P9): with policy
// fast it is probed first, and its next attempt waits for the cancellation.
func TestMachineSuspectNeverRunsTwice(t *testing.T) {
	suspect := upstream.Standing{Deaths: 1}
	b := newBench(t, func(s *generation.MachineSettings) { s.Policy = configuration.ResumeFast })
	b.step(generation.Input{Kind: generation.InputBegin, Standing: suspect})
	b.event(1, 1, 0)
	b.now = b.now.Add(time.Second)
	probe := b.step(generation.Input{Kind: generation.InputTick, Standing: suspect})
	b.g.Expect(kinds(probe)).To(Equal([]generation.ActionKind{generation.ActionProbe}))
	b.now = b.now.Add(time.Second)
	failed := b.step(generation.Input{Kind: generation.InputTick, Standing: suspect})
	b.g.Expect(kinds(failed)).To(Equal([]generation.ActionKind{generation.ActionClose, generation.ActionEnd}))
	cancelled := b.step(generation.Input{Kind: generation.InputCancelled, Attempt: 1, Standing: suspect})
	b.g.Expect(kinds(cancelled)).To(ContainElement(generation.ActionStart))
}

// Guards against an outcome not_run for a request that may have run (P4), and
// against a late or missing final response.
func TestMachineVerdicts(t *testing.T) {
	begin := generation.Input{Kind: generation.InputBegin}
	lane := func(kind generation.InputKind, attempt contract.AttemptNumber, c generation.ConnectionID) generation.Input {
		return generation.Input{Kind: kind, Attempt: attempt, Connection: c}
	}
	cases := map[string]struct {
		run  func(b *bench) []generation.Action
		want contract.Verdict
	}{
		"quarantined content": {func(b *bench) []generation.Action {
			until := b.now.Add(time.Minute)
			return b.step(generation.Input{
				Kind: generation.InputBegin, Standing: upstream.Standing{Deaths: 3, Quarantined: true, Until: until}})
		}, contract.Verdict{Outcome: contract.Quarantined, Reason: contract.ReasonQuarantined, RetryAfter: time.Minute}},
		"attempts exhausted": {func(b *bench) []generation.Action {
			b.step(begin)
			b.step(lane(generation.InputLost, 1, 1))
			b.step(lane(generation.InputUnreachable, 1, 2))
			b.step(lane(generation.InputLost, 2, 3))
			b.step(lane(generation.InputUnreachable, 2, 4))
			b.step(lane(generation.InputLost, 3, 5))
			return b.step(lane(generation.InputUnreachable, 3, 6))
		}, contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonAttempts}},
		"deadline after a start without an answer": {func(b *bench) []generation.Action {
			b.step(begin)
			b.now = b.now.Add(time.Hour)
			return b.step(generation.Input{Kind: generation.InputTick})
		}, contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonDeadline}},
		"no upstream within the queue time": {func(b *bench) []generation.Action {
			b.m.Step(b.now, begin)
			b.now = b.now.Add(10 * time.Second)
			return b.step(generation.Input{Kind: generation.InputNoPlacement, Attempt: 1, Wait: time.Second})
		}, contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonNoUpstream, RetryAfter: time.Second}},
		"no upstream after a lost start": {func(b *bench) []generation.Action {
			b.step(begin)
			b.step(lane(generation.InputLost, 1, 1))
			actions, _ := b.m.Step(b.now, lane(generation.InputUnreachable, 1, 2))
			b.g.Expect(kinds(actions)).To(ContainElement(generation.ActionStart))
			b.m.Step(b.now, generation.Input{Kind: generation.InputNoPlacement, Attempt: 2, Gone: true})
			b.now = b.now.Add(2 * time.Second)
			b.m.Step(b.now, generation.Input{Kind: generation.InputTick})
			return b.step(generation.Input{Kind: generation.InputNoPlacement, Attempt: 2, Gone: true})
		}, contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonVersionGone}},
		"stream lost before the caller's text": {func(b *bench) []generation.Action {
			*b = *newBench(t, func(s *generation.MachineSettings) {
				s.RestartFrom = 5
				s.Adopt = &generation.AdoptedStream{Attempt: 1, Stream: "s-1", Upstream: "u"}
			})
			b.step(begin)
			actions := b.step(lane(generation.InputPrefixMismatch, 1, 1))
			b.g.Expect(actions[0].Cancel).To(BeFalse(), "the stream may belong to another request")
			return actions
		}, contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonNotHeld}},
		"no upstream after a silent start": {func(b *bench) []generation.Action {
			b.step(begin)
			b.tick()
			b.now = b.now.Add(20 * time.Second)
			b.m.Step(b.now, generation.Input{Kind: generation.InputTick})
			return b.step(generation.Input{Kind: generation.InputNoPlacement, Attempt: 2})
		}, contract.Verdict{}},
		"no upstream for a caller that holds tokens": {func(b *bench) []generation.Action {
			*b = *newBench(t, func(s *generation.MachineSettings) { s.Next = 5 })
			b.m.Step(b.now, begin)
			b.now = b.now.Add(20 * time.Second)
			return b.step(generation.Input{Kind: generation.InputNoPlacement, Attempt: 1})
		}, contract.Verdict{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			NewWithT(t).Expect(verdict(c.run(b))).To(Equal(c.want))
		})
	}
}

// Guards against a resumed generation that finds a free upstream too late,
// because it has looked for one in vain several times.
func TestResumedGenerationLooksOftenForAnUpstream(t *testing.T) {
	b := newBench(t, nil)
	b.step(generation.Input{Kind: generation.InputBegin})
	b.step(generation.Input{Kind: generation.InputLost, Attempt: 1, Connection: 1})
	b.m.Step(b.now, generation.Input{Kind: generation.InputUnreachable, Attempt: 1, Connection: 2})
	for range 10 {
		_, wake := b.m.Step(b.now, generation.Input{Kind: generation.InputNoPlacement, Attempt: 2})
		b.g.Expect(wake.Sub(b.now)).To(And(BeNumerically(">", 0), BeNumerically("<=", 200*time.Millisecond)))
		b.now = wake
		actions, _ := b.m.Step(b.now, generation.Input{Kind: generation.InputTick})
		b.g.Expect(kinds(actions)).To(ContainElement(generation.ActionStart))
	}
}

// Guards against any sequence of inputs that breaks the order of tokens, the
// limit of attempts or the single end.
func TestMachineAnyInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_800_000_000_000)
		policy := rapid.SampledFrom([]configuration.ResumePolicy{"sparing", "fast"}).Draw(t, "policy")
		m := generation.NewMachine(generation.MachineSettings{
			Request: machineRequest, StreamName: "s", Policy: policy, MaxAttempts: 4, TextHeld: true,
			QueueUntil: now.Add(time.Second), Deadline: now.Add(time.Minute), FirstToken: time.Second,
		})
		w := &watcher{alive: map[contract.AttemptNumber]bool{}, refused: map[generation.ConnectionID]bool{}}
		deaths := 0
		w.feed(t, m, now, generation.Input{Kind: generation.InputBegin})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			in := w.draw(t)
			if in.Kind == generation.InputLost {
				deaths += rapid.IntRange(0, 1).Draw(t, "death")
			}
			in.Standing = upstream.Standing{Deaths: deaths, Quarantined: deaths > 2}
			w.feed(t, m, now, in)
		}
		w.feed(t, m, now.Add(time.Hour), generation.Input{Kind: generation.InputTick})
		if w.finished != 1 {
			t.Fatalf("finished %d times", w.finished)
		}
	})
}

// watcher checks the actions of a machine.
type watcher struct {
	next     int64
	finished int
	starts   []generation.Action
	lanes    [][2]int // attempt and lane of each connection opened
	alive    map[contract.AttemptNumber]bool
	refused  map[generation.ConnectionID]bool
}

func (w *watcher) draw(t *rapid.T) generation.Input {
	in := generation.Input{Kind: generation.InputKind(rapid.IntRange(int(generation.InputOpened), int(generation.InputCancelled)).Draw(t, "kind"))}
	if rapid.Bool().Draw(t, "tick") {
		in.Kind = generation.InputTick
	}
	if len(w.lanes) == 0 {
		in.Kind = generation.InputTick
		return in
	}
	lane := rapid.SampledFrom(w.lanes[max(0, len(w.lanes)-4):]).Draw(t, "lane")
	in.Attempt, in.Connection = contract.AttemptNumber(lane[0]), generation.ConnectionID(lane[1])
	offset := w.next + int64(rapid.SampledFrom([]int{0, 0, 0, 0, -1, 1}).Draw(t, "offset"))
	in.Event = upstream.StreamEvent{Request: machineRequest, Token: contract.Token{Offset: offset}}
	in.Event.Stream = upstream.StreamID("s-" + string(rune('0'+lane[0])))
	return in
}

func (w *watcher) feed(t *rapid.T, m *generation.Machine, now time.Time, in generation.Input) {
	switch in.Kind {
	case generation.InputRefused, generation.InputLeaving, generation.InputUnreachable:
		w.refused[in.Connection] = true
	}
	actions, wake := m.Step(now, in)
	if !m.Finished() && !wake.After(now) {
		t.Fatalf("wake %v is not after %v", wake, now)
	}
	for _, a := range actions {
		w.check(t, a, in.Standing)
	}
	for _, a := range actions {
		if a.Kind == generation.ActionStart {
			w.place(t, m, now, a.Attempt, in.Standing)
		}
	}
}

// place answers the placement of an attempt.
func (w *watcher) place(
	t *rapid.T, m *generation.Machine, now time.Time, attempt contract.AttemptNumber, standing upstream.Standing,
) {
	in := generation.Input{Kind: generation.InputPlaced, Attempt: attempt, Upstream: "u", Standing: standing}
	if rapid.IntRange(0, 3).Draw(t, "placed") == 0 {
		in.Kind = generation.InputNoPlacement
		in.Gone = rapid.Bool().Draw(t, "gone")
		delete(w.alive, attempt)
		w.starts = w.starts[:len(w.starts)-1]
	}
	w.feed(t, m, now, in)
}

func (w *watcher) check(t *rapid.T, a generation.Action, standing upstream.Standing) {
	if w.finished > 0 {
		t.Fatalf("action %v after the end", a.Kind)
	}
	switch a.Kind {
	case generation.ActionStart:
		w.alive[a.Attempt] = true
		w.lanes = append(w.lanes, [2]int{int(a.Attempt), int(a.Connection)})
		w.starts = append(w.starts, a)
	case generation.ActionProbe:
		w.lanes = append(w.lanes, [2]int{int(a.Attempt), int(a.Connection)})
	case generation.ActionEnd:
		delete(w.alive, a.Attempt)
	case generation.ActionDeliver:
		if a.Token.Offset != w.next || len(w.alive) != 1 || !w.alive[a.Attempt] {
			t.Fatalf("token %d of attempt %d, expected %d, alive %v", a.Token.Offset, a.Attempt, w.next, w.alive)
		}
		w.next++
	case generation.ActionFinish:
		w.finished++
		if len(w.alive) > 0 {
			t.Fatalf("attempts %v are alive after the end", w.alive)
		}
		ran := slices.ContainsFunc(w.starts, func(s generation.Action) bool { return !w.refused[s.Connection] })
		if ran && a.Verdict.Outcome == contract.NotRun {
			t.Fatalf("not_run after an attempt that was not refused")
		}
	}
	// A rival may be alive from before the first crash; no new one may start after it.
	rival := a.Kind == generation.ActionStart && len(w.alive) > 1
	if len(w.alive) > 2 || rival && standing.Deaths > 0 {
		t.Fatalf("attempts %v run at a time with %d crashes", w.alive, standing.Deaths)
	}
	if !slices.IsSortedFunc(w.starts, func(a, b generation.Action) int { return int(a.Attempt) - int(b.Attempt) }) {
		t.Fatalf("attempts are not numbered in order")
	}
}

// Guards against a text that stands still while its new attempt waits in the
// queue of a live engine, with the policy that otherwise starts no rival.
func TestMachineLeavesAQueueWhileTheTextWaits(t *testing.T) {
	b := newBench(t, func(s *generation.MachineSettings) { s.MaxAttempts = 8 })
	b.step(generation.Input{Kind: generation.InputBegin})
	b.event(1, 1, 0)
	b.step(generation.Input{Kind: generation.InputLost, Attempt: 1, Connection: 1})
	b.g.Expect(kinds(b.step(generation.Input{Kind: generation.InputUnreachable, Attempt: 1, Connection: 2}))).To(
		ContainElement(generation.ActionStart))
	b.step(generation.Input{Kind: generation.InputOpened, Attempt: 2, Connection: 3})
	lost := b.now
	b.g.Expect(kinds(b.tick())).To(ContainElements(generation.ActionProbe, generation.ActionStart))
	b.g.Expect(b.now.Sub(lost)).To(BeNumerically("<=", time.Second))
	b.g.Expect(kinds(b.event(3, 5, 1))).To(ContainElements(generation.ActionDeliver, generation.ActionEnd))
}
