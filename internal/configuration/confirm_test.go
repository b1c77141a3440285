package configuration_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
)

// Guards against each way in which the confirmation rule could count too much.
func TestConfirm(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	heard := configuration.KnownInstance{Permanent: true, Heard: ago(time.Second)}
	silent := configuration.KnownInstance{Permanent: true, Heard: ago(3 * time.Second)}
	leaving := configuration.KnownInstance{Permanent: true, Leaving: true, Heard: now}
	departed := configuration.KnownInstance{LastKnown: ago(23 * time.Hour)}
	forgotten := configuration.KnownInstance{LastKnown: ago(25 * time.Hour)}
	others := func(list ...configuration.KnownInstance) []configuration.KnownInstance { return list }

	for name, c := range map[string]struct {
		in                   configuration.ConfirmInput
		confirmed, mayAccept bool
	}{
		"alone with the store":         {configuration.ConfirmInput{HeadRead: ago(time.Second)}, true, true},
		"old head read":                {configuration.ConfirmInput{HeadRead: ago(2001 * time.Millisecond), Initialized: true, Others: others(silent)}, false, false},
		"alone after start":            {configuration.ConfirmInput{}, false, false},
		"half is no majority":          {configuration.ConfirmInput{Initialized: true, Others: others(heard, silent, silent)}, false, false},
		"majority without store":       {configuration.ConfirmInput{Initialized: true, Others: others(heard, silent)}, true, false},
		"store without majority":       {configuration.ConfirmInput{HeadRead: now, Others: others(silent, silent)}, true, false},
		"not initialized":              {configuration.ConfirmInput{Others: others(heard, silent)}, false, false},
		"initialized by others":        {configuration.ConfirmInput{Others: others(heard, heard)}, true, false},
		"initialized by others behind": {configuration.ConfirmInput{Others: others(heard, heard), BehindSince: now}, false, false},
		"heard before it was behind":   {configuration.ConfirmInput{Initialized: true, Others: others(heard), BehindSince: ago(999 * time.Millisecond)}, true, false},
		"heard since it is behind":     {configuration.ConfirmInput{Initialized: true, Others: others(heard), BehindSince: ago(time.Second)}, false, false},
		"leaving does not count":       {configuration.ConfirmInput{Initialized: true, Others: others(leaving, silent)}, false, false},
		"draining and alone":           {configuration.ConfirmInput{Initialized: true, Draining: true, Others: others(leaving)}, false, false},
		"draining beside a majority":   {configuration.ConfirmInput{Initialized: true, Draining: true, Others: others(heard, heard, silent)}, true, false},
		"draining with the store":      {configuration.ConfirmInput{HeadRead: now, Draining: true}, true, false},
		"departed stays in the count":  {configuration.ConfirmInput{HeadRead: now, Others: others(departed)}, true, false},
		"departed for a day":           {configuration.ConfirmInput{HeadRead: now, Others: others(forgotten)}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c.in.Now = now
			got := configuration.Confirm(c.in)
			g.Expect(got.Confirmed).To(Equal(c.confirmed), got.Reason)
			g.Expect(got.MayAccept).To(Equal(c.mayAccept), got.Reason)
			g.Expect(got.Reason == "").To(Equal(c.mayAccept))
		})
	}
}
