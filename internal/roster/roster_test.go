package roster

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
)

var (
	now  = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	base = Roster{Sequence: 7, Version: 3, Instances: []contract.InstanceID{"a", "b", "c"}}
)

// input is that of instance a, which may write and hears from its peers.
func input(others ...Peer) Input {
	return Input{
		Observation: Observation{Reads: true, Current: true, Others: others},
		Now:         now, Self: "a", Roster: base, Window: DefaultWindow, Hold: DefaultHold,
		Seen: map[contract.InstanceID]time.Time{"a": now, "b": now, "c": now},
	}
}

func heard(id contract.InstanceID) Peer {
	return Peer{ID: id, Heard: now.Add(-time.Second), Sequence: 7, Listed: true}
}

func with(p Peer, change func(*Peer)) Peer {
	change(&p)
	return p
}

// Guards against each change that must not be made, and against a change that is
// never made.
func TestPropose(t *testing.T) {
	b, c, d := heard("b"), heard("c"), heard("d")
	unlisted := func(p *Peer) { p.Listed = false }
	silent := func(p *Peer) { p.Heard = now.Add(-3 * time.Second) }
	leaving := func(p *Peer) { p.Leaving = true }
	older := func(p *Peer) { p.Sequence = 6 }
	goneFor := func(d time.Duration, in Input) Input {
		in.Seen["c"] = now.Add(-d)
		return in
	}
	change := func(in Input, f func(*Input)) Input {
		f(&in)
		return in
	}
	for name, c := range map[string]struct {
		in   Input
		want Change
	}{
		"nothing is due":         {input(b, c), Change{}},
		"adds":                   {input(b, c, d), Change{"d", true}},
		"adds the first":         {input(b, heard("e"), d), Change{"d", true}},
		"adds itself":            {change(input(b, c), func(in *Input) { in.Self = "0"; in.Others = append(in.Others, heard("a")) }), Change{"0", true}},
		"only announced":         {input(b, c, with(d, func(p *Peer) { p.Heard = time.Time{} })), Change{}},
		"only in contact":        {input(b, c, with(d, unlisted)), Change{}},
		"joining and leaving":    {input(b, c, with(d, leaving)), Change{}},
		"no majority":            {input(with(b, silent), with(c, silent), d), Change{}},
		"majority is older":      {input(with(b, older), with(c, older), d), Change{}},
		"strangers are many":     {input(d, heard("e"), heard("f")), Change{}},
		"removes leaving":        {input(b, with(c, leaving)), Change{"c", false}},
		"all leave":              {change(input(with(b, leaving), with(c, leaving)), func(in *Input) { in.Leaving = true }), Change{}},
		"joins before leaving":   {input(b, with(c, leaving), d), Change{"d", true}},
		"removes gone":           {goneFor(DefaultHold+1, input(b)), Change{"c", false}},
		"not gone yet":           {goneFor(DefaultHold, input(b)), Change{}},
		"gone without majority":  {goneFor(DefaultHold+1, input(with(b, silent))), Change{}},
		"does not read":          {change(input(b, c, d), func(in *Input) { in.Reads = false }), Change{}},
		"is not current":         {change(input(b, c, d), func(in *Input) { in.Current = false }), Change{}},
		"has no roster":          {change(input(b, c, d), func(in *Input) { in.Roster = Roster{} }), Change{}},
		"itself silent for long": {change(input(b, c), func(in *Input) { in.Seen["a"] = now.Add(-time.Hour) }), Change{}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got, ok := Propose(c.in)
			g.Expect(got).To(Equal(c.want))
			g.Expect(ok).To(Equal(c.want != Change{}))
		})
	}
}

// Guards against many writers at once: only staying instances in contact have a turn.
func TestRank(t *testing.T) {
	g := NewWithT(t)
	in := input(heard("a"), heard("b"), with(heard("c"), func(p *Peer) { p.Leaving = true }),
		with(heard("d"), func(p *Peer) { p.Heard = time.Time{} }), heard("f"))
	in.Self = "e"
	g.Expect(Rank(in)).To(Equal(2))
}

// Guards against a change after which two majorities share no instance, a roster
// that becomes empty, and one that is not read back as it was written.
func TestMajoritiesOfNeighboursIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		ids := rapid.SliceOfNDistinct(rapid.StringMatching("[a-f][0-9]"), 2, 12, rapid.ID).Draw(t, "ids")
		r := Roster{Sequence: 1}
		for _, id := range ids[1:] {
			r = r.apply(Change{contract.InstanceID(id), true}, 0)
		}
		change := Change{contract.InstanceID(ids[0]), true}
		if len(ids) > 2 && rapid.Bool().Draw(t, "remove") {
			change = Change{contract.InstanceID(ids[1]), false}
		}
		next := r.apply(change, 9)
		g.Expect(next.Sequence).To(Equal(r.Sequence + 1))
		g.Expect(next.Version).To(Equal(int64(9)))
		data, err := next.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(Decode(data)).To(Equal(next))
		all := map[contract.InstanceID]bool{}
		for _, id := range append(r.Instances, next.Instances...) {
			all[id] = true
		}
		least := func(r Roster) (count int) {
			for !r.Majority(count) {
				count++
			}
			return count
		}
		g.Expect(least(r) + least(next)).To(BeNumerically(">", len(all)))
	})
}

// Guards against a row or a message outside the bounds.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"sequence":1,"instances":["a","b"]}`, `{"sequence":0,"instances":["a"]}`, `{"sequence":1}`, `{"sequence":1,"version":-1,"instances":["a"]}`,
		`{"sequence":1,"instances":["b","a"]}`, `{"sequence":1,"instances":["a","a"]}`, `{"sequence":1,"instances":[""]}`, `{`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		r, err := Decode(data)
		if err != nil {
			g.Expect(r).To(Equal(Roster{}))
			return
		}
		g.Expect(r.Sequence).To(BeNumerically(">", 0))
		for i, id := range r.Instances {
			g.Expect(id).NotTo(BeEmpty())
			g.Expect(i == 0 || r.Instances[i-1] < id).To(BeTrue())
		}
		g.Expect(r.Instances).NotTo(BeEmpty())
	})
}
