package configuration_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/roster"
)

// Guards against a confirmation based on old head reads, old contacts, instances
// outside the roster, or a state lost in a restart.
func TestConfirm(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	rosterRead := func(ids ...contract.InstanceID) roster.State {
		return roster.State{Roster: roster.Roster{Sequence: 7, ConfigurationVersion: 3, Instances: ids}, ReadFromStore: true}
	}
	rosterFetched := func(ids ...contract.InstanceID) roster.State {
		return roster.State{Roster: rosterRead(ids...).Roster}
	}
	contacted := func(ids ...contract.InstanceID) (list []configuration.PeerContact) {
		for _, id := range ids {
			list = append(list, configuration.PeerContact{ID: id, LastContact: ago(time.Second)})
		}
		return list
	}
	expired := configuration.PeerContact{ID: "b", LastContact: ago(2001 * time.Millisecond)}

	for name, c := range map[string]struct {
		in                            configuration.ConfirmInput
		confirmed, mayAccept, current bool
	}{
		"alone with the store":         {configuration.ConfirmInput{HeadRead: ago(time.Second), Roster: rosterRead("a")}, true, true, true},
		"store without a roster":       {configuration.ConfirmInput{HeadRead: now, OtherInstances: contacted("b", "c")}, true, false, false},
		"old head read":                {configuration.ConfirmInput{HeadRead: ago(2001 * time.Millisecond), Initialized: true, Roster: rosterRead("a", "b"), OtherInstances: []configuration.PeerContact{expired}}, false, false, true},
		"alone after start":            {configuration.ConfirmInput{Roster: rosterFetched("a")}, false, false, false},
		"no roster":                    {configuration.ConfirmInput{Initialized: true, OtherInstances: contacted("b", "c")}, false, false, true},
		"half is no majority":          {configuration.ConfirmInput{Initialized: true, Roster: rosterRead("a", "b", "c", "d"), OtherInstances: contacted("b")}, false, false, true},
		"majority without store":       {configuration.ConfirmInput{Initialized: true, Roster: rosterRead("a", "b", "c"), OtherInstances: contacted("b")}, true, false, true},
		"majority with store":          {configuration.ConfirmInput{HeadRead: now, Roster: rosterRead("a", "b", "c"), OtherInstances: contacted("b")}, true, true, true},
		"store without majority":       {configuration.ConfirmInput{HeadRead: now, Roster: rosterRead("a", "b", "c")}, true, false, true},
		"non-members do not count":     {configuration.ConfirmInput{HeadRead: now, Roster: rosterRead("a", "b", "c"), OtherInstances: contacted("x", "y", "z")}, true, false, true},
		"not initialized":              {configuration.ConfirmInput{Roster: rosterFetched("a", "b", "c"), OtherInstances: contacted("b")}, false, false, false},
		"store, but roster of a peer":  {configuration.ConfirmInput{HeadRead: now, Roster: rosterFetched("a", "b", "c"), OtherInstances: contacted("b")}, true, false, false},
		"initialized by peers":         {configuration.ConfirmInput{Roster: rosterFetched("a", "b", "c"), OtherInstances: contacted("b", "c")}, true, false, true},
		"initialized too early":        {configuration.ConfirmInput{Started: ago(3999 * time.Millisecond), Roster: rosterFetched("a", "b", "c"), OtherInstances: contacted("b", "c")}, false, false, false},
		"initialized by peers, behind": {configuration.ConfirmInput{Roster: rosterFetched("a", "b", "c"), OtherInstances: contacted("b", "c"), BehindSince: now}, false, false, false},
		"contact before it is behind":  {configuration.ConfirmInput{Initialized: true, Roster: rosterRead("a", "b"), OtherInstances: contacted("b"), BehindSince: ago(999 * time.Millisecond)}, true, false, false},
		"contact since it is behind":   {configuration.ConfirmInput{Initialized: true, Roster: rosterRead("a", "b"), OtherInstances: contacted("b"), BehindSince: ago(time.Second)}, false, false, false},
		"lacks the roster's version":   {configuration.ConfirmInput{Initialized: true, HeldVersion: 2, Roster: rosterRead("a", "b"), OtherInstances: contacted("b")}, false, false, false},
		"not in the roster":            {configuration.ConfirmInput{Initialized: true, Roster: rosterRead("b", "c", "d"), OtherInstances: contacted("b", "c")}, true, false, true},
		"not in the roster, no member": {configuration.ConfirmInput{Initialized: true, Roster: rosterRead("b"), OtherInstances: contacted("c")}, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c.in.Now, c.in.Self = now, "a"
			if c.in.HeldVersion == 0 {
				c.in.HeldVersion = 3
			}
			got := configuration.Confirm(c.in)
			g.Expect(got.Confirmed).To(Equal(c.confirmed), got.Reason)
			g.Expect(got.MayAcceptPatches).To(Equal(c.mayAccept), got.Reason)
			g.Expect(got.Current).To(Equal(c.current), got.Reason)
			g.Expect(got.Reason == "").To(Equal(c.mayAccept))
		})
	}
}
