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
	base = Roster{Sequence: 7, ConfigurationVersion: 3, Instances: []contract.InstanceID{"a", "b", "c"}}
)

// newInput returns the input of instance a, which may write, with the given peers.
func newInput(others ...Peer) Input {
	return Input{
		Observation: Observation{HeadConfirmed: true, Current: true, OtherInstances: others},
		Now:         now, Self: "a", Roster: base, ContactWindow: DefaultContactWindow, RemovalDelay: DefaultRemovalDelay,
		LastSeen: map[contract.InstanceID]time.Time{"a": now, "b": now, "c": now},
	}
}

func contactedPeer(id contract.InstanceID) Peer {
	return Peer{ID: id, LastContact: now.Add(-time.Second), Sequence: 7, Listed: true}
}

func modifiedPeer(p Peer, change func(*Peer)) Peer {
	change(&p)
	return p
}

func ids(list ...contract.InstanceID) []contract.InstanceID { return list }

// Guards against a change that must not be made, and against a required change
// that is not made.
func TestPropose(t *testing.T) {
	b, c, d, e := contactedPeer("b"), contactedPeer("c"), contactedPeer("d"), contactedPeer("e")
	unlisted := func(p *Peer) { p.Listed = false }
	silent := func(p *Peer) { p.LastContact = now.Add(-3 * time.Second) }
	leaving := func(p *Peer) { p.Leaving = true }
	outdated := func(p *Peer) { p.Sequence = 6 }
	silentFor := func(d time.Duration, in Input) Input {
		in.LastSeen["c"] = now.Add(-d)
		return in
	}
	change := func(in Input, f func(*Input)) Input {
		f(&in)
		return in
	}
	joint := func(in *Input) { in.Roster.Previous = ids("a", "x", "y") }
	for name, c := range map[string]struct {
		in   Input
		want []contract.InstanceID // nil: no change
	}{
		"nothing is due":         {newInput(b, c), nil},
		"adds":                   {newInput(b, c, d), ids("a", "b", "c", "d")},
		"adds two":               {newInput(b, c, e, d), ids("a", "b", "c", "d", "e")},
		"adds fewer than half":   {newInput(b, c, contactedPeer("f"), e, d), ids("a", "b", "c", "d", "e")},
		"one at a time at least": {newInput(b, modifiedPeer(c, silent), e, d), ids("a", "b", "c", "d")},
		"adds itself":            {change(newInput(b, c), func(in *Input) { in.Self = "0"; in.OtherInstances = append(in.OtherInstances, contactedPeer("a")) }), ids("0", "a", "b", "c")},
		"only listed":            {newInput(b, c, modifiedPeer(d, func(p *Peer) { p.LastContact = time.Time{} })), nil},
		"only in contact":        {newInput(b, c, modifiedPeer(d, unlisted)), nil},
		"joining and leaving":    {newInput(b, c, modifiedPeer(d, leaving)), nil},
		"no majority":            {newInput(modifiedPeer(b, silent), modifiedPeer(c, silent), d), nil},
		"majority holds older":   {newInput(modifiedPeer(b, outdated), modifiedPeer(c, outdated), d), nil},
		"many non-members":       {newInput(d, e, contactedPeer("f")), nil},
		"removes leaving":        {newInput(b, modifiedPeer(c, leaving)), ids("a", "b")},
		"others leave":           {newInput(modifiedPeer(b, leaving), modifiedPeer(c, leaving)), ids("a")},
		"all leave":              {change(newInput(modifiedPeer(b, leaving), modifiedPeer(c, leaving)), func(in *Input) { in.Leaving = true }), nil},
		"leaving, no majority":   {newInput(modifiedPeer(b, leaving), modifiedPeer(c, silent)), nil},
		"joins and leaves":       {newInput(b, modifiedPeer(c, leaving), d), ids("a", "b", "d")},
		"removes silent":         {silentFor(DefaultRemovalDelay+1, newInput(b)), ids("a", "b")},
		"not silent for long":    {silentFor(DefaultRemovalDelay, newInput(b)), nil},
		"silent, no majority":    {silentFor(DefaultRemovalDelay+1, newInput(modifiedPeer(b, silent))), nil},
		"does not read":          {change(newInput(b, c, d), func(in *Input) { in.HeadConfirmed = false }), nil},
		"is not current":         {change(newInput(b, c, d), func(in *Input) { in.Current = false }), nil},
		"has no roster":          {change(newInput(b, c, d), func(in *Input) { in.Roster = Roster{} }), nil},
		"own entry is old":       {change(newInput(b, c), func(in *Input) { in.LastSeen["a"] = now.Add(-time.Hour) }), nil},
		"ends a larger change":   {change(newInput(b, c, d, contactedPeer("x")), joint), ids("a", "b", "c")},
		"half of the previous":   {change(newInput(b, c, d), joint), nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got, due := Propose(c.in)
			g.Expect(due).To(Equal(c.want != nil))
			if due {
				g.Expect(got).To(Equal(c.want))
			}
		})
	}
}

// Guards against many writers at once, and against a turn for an instance that is
// leaving or not in contact.
func TestRank(t *testing.T) {
	g := NewWithT(t)
	in := newInput(contactedPeer("a"), contactedPeer("b"), modifiedPeer(contactedPeer("c"), func(p *Peer) { p.Leaving = true }),
		modifiedPeer(contactedPeer("d"), func(p *Peer) { p.LastContact = time.Time{} }), contactedPeer("f"))
	in.Self = "e"
	g.Expect(WriterRank(in)).To(Equal(2))
}

// Guards against a change after which two majorities share no instance, and
// against a roster that changes in encoding and decoding.
func TestMajoritiesOfSuccessiveRostersIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		universe := ids("a", "b", "c", "d", "e", "f")
		subset := rapid.Custom(func(t *rapid.T) []contract.InstanceID {
			var set []contract.InstanceID
			for _, id := range universe {
				if rapid.Bool().Draw(t, "in") {
					set = append(set, id)
				}
			}
			return set
		})
		nonempty := subset.Filter(func(set []contract.InstanceID) bool { return len(set) > 0 })
		r := Roster{Sequence: 1, Instances: nonempty.Draw(t, "first")}
		for range 4 {
			target := nonempty.Draw(t, "target")
			if len(r.Previous) > 0 {
				target = r.Instances
			}
			next := r.next(target, 9)
			data, err := next.Encode()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(Decode(data)).To(Equal(next))
			some := subset.Draw(t, "one")
			var others []contract.InstanceID
			for _, id := range universe {
				if !contains(some, id) {
					others = append(others, id)
				}
			}
			g.Expect(r.Majority(some) && next.Majority(others)).To(BeFalse())
			r = next
		}
	})
}

// Guards against a decoded row or message that is outside the bounds.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"sequence":1,"instances":["a","b"]}`, `{"sequence":0,"instances":["a"]}`, `{"sequence":1}`, `{"sequence":1,"version":-1,"instances":["a"]}`,
		`{"sequence":1,"instances":["b","a"]}`, `{"sequence":1,"instances":["a","a"]}`, `{"sequence":1,"instances":[""]}`, `{`,
		`{"sequence":1,"instances":["a"],"previous":["b","c"]}`, `{"sequence":1,"instances":["a"],"previous":["c","b"]}`,
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
