package timeline

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/link/linktest"
)

// Guards against an effect that sorts before its cause: the clocks of instances
// differ, but a received message must have a lower timestamp than later events.
func TestClockFollowsMessages(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := NewWithT(r)
		wall := time.UnixMilli(1_000_000)
		var clocks []*Clock
		for range 3 {
			skew := time.Duration(rapid.IntRange(-5000, 5000).Draw(r, "skew")) * time.Millisecond
			clocks = append(clocks, &Clock{now: func() time.Time { return wall.Add(skew) }})
		}
		last := make([]Timestamp, len(clocks))
		for range rapid.IntRange(1, 50).Draw(r, "steps") {
			wall = wall.Add(time.Duration(rapid.IntRange(-3, 20).Draw(r, "passed")) * time.Millisecond)
			from, to := rapid.IntRange(0, 2).Draw(r, "from"), rapid.IntRange(0, 2).Draw(r, "to")
			sent := clocks[from].Now()
			g.Expect(sent.Compare(last[from])).To(Equal(1))
			last[from] = sent
			g.Expect(clocks[to].Update(sent)).To(Succeed())
			received := clocks[to].Now()
			g.Expect(received.Compare(sent)).To(Equal(1))
			g.Expect(received.Compare(last[to])).To(Equal(1))
			last[to] = received
		}
	})
}

// Guards against one wrong clock that advances the timestamps of all instances.
func TestClockRefusesTimestampsFarAhead(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	c := &Clock{now: func() time.Time { return now }}
	g.Expect(c.Update(Timestamp{WallMS: now.Add(MaxClockLead).UnixMilli()})).To(Succeed())
	g.Expect(c.Update(Timestamp{WallMS: now.Add(MaxClockLead).UnixMilli() + 1})).To(MatchError(ErrClockLead))
	g.Expect(c.Now().WallMS).To(Equal(now.Add(MaxClockLead).UnixMilli()))
}

// Guards against lost or partly written events under concurrent writers, and
// against a ring buffer that grows.
func TestLogKeepsTheLatestEvents(t *testing.T) {
	g := NewWithT(t)
	l := NewLog("a", NewClock(), 64)
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for i := range 100 {
				l.Record(Event{Kind: CallSent, Detail: fmt.Sprintf("n=%d", w*100+i)})
				l.Select(Query{})
			}
		})
	}
	wg.Wait()
	l.Record(Event{Kind: CallSent, Detail: strings.Repeat("x", 1000)})
	events := l.Select(Query{})
	g.Expect(events).To(HaveLen(64))
	g.Expect(slices.IsSortedFunc(events, compareEvents)).To(BeTrue())
	g.Expect(len(events[63].Detail)).To(Equal(maxDetail))
	g.Expect(l.Select(Query{Limit: 5})).To(Equal(events[59:]))
}

// Guards against a merge whose result depends on the order of the responses.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := NewWithT(r)
		event := rapid.Custom(func(r *rapid.T) Event {
			return Event{
				At:       Timestamp{WallMS: rapid.Int64Range(0, 3).Draw(r, "ms"), Logical: rapid.Uint32Range(0, 2).Draw(r, "logical")},
				Instance: contract.InstanceID(rapid.SampledFrom([]string{"a", "b"}).Draw(r, "instance")),
				Detail:   rapid.SampledFrom([]string{"", "x"}).Draw(r, "detail"),
			}
		})
		a, b := rapid.SliceOf(event).Draw(r, "a"), rapid.SliceOf(event).Draw(r, "b")
		merged := Merge(a, b)
		g.Expect(Merge(b, a, merged)).To(Equal(merged))
		for _, e := range slices.Concat(a, b) {
			g.Expect(merged).To(ContainElement(e))
		}
	})
}

// Guards against a query that selects events outside its bounds.
func TestQuerySelects(t *testing.T) {
	g := NewWithT(t)
	mine := contract.RequestID{Workspace: "w", Key: "k"}
	e := &Event{At: Timestamp{WallMS: 100}, Request: mine}
	for query, want := range map[Query]bool{
		{}:                                      true,
		{Request: mine}:                         true,
		{Request: mine, SinceMS: 100}:           true,
		{SinceMS: 101}:                          false,
		{UntilMS: 99}:                           false,
		{UntilMS: 100}:                          true,
		{Request: contract.RequestID{Key: "k"}}: false,
	} {
		g.Expect(query.Matches(e)).To(Equal(want), "%+v", query)
	}
}

// Guards against a result that does not list the instances that failed to respond,
// or that accepts events which an instance attributes to another instance.
func TestCollectNamesMissingInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := linktest.NewNetwork(1)
		var collectors []*Collector
		ids := []contract.InstanceID{"a", "b", "c"}
		for _, id := range ids {
			l := NewLog(id, NewClock(), 0)
			collectors = append(collectors, NewCollector(l, network.Transport(id)))
			l.Record(Event{Kind: CallSent})
			time.Sleep(time.Millisecond)
		}
		network.Transport("liar").Handle(MessageTimeline, func(context.Context, contract.InstanceID, []byte) ([]byte, error) {
			return link.Encode([]Event{{Instance: "a"}})
		})
		network.DropOneWay("c", "a")
		result, err := collectors[0].Collect(t.Context(), []contract.InstanceID{"liar", "c", "b"}, Query{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Missing).To(Equal([]contract.InstanceID{"c", "liar"}))
		g.Expect(result.Events).To(HaveLen(2))
		g.Expect(result.Events[0].Instance).To(Equal(contract.InstanceID("a")))
		g.Expect(result.Events[1].Instance).To(Equal(contract.InstanceID("b")))
	})
}
