package discovery

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// consumer keeps the rows and gaps that a log passed to it.
type consumer struct {
	state map[string]string
	gaps  []time.Duration
}

func (c *consumer) apply(batch Batch, gap time.Duration) {
	c.gaps = append(c.gaps, gap)
	for _, row := range batch.Rows {
		if row.Deleted {
			delete(c.state, row.Key)
		} else {
			c.state[row.Key] = string(row.Value)
		}
	}
}

func newConsumer() *consumer { return &consumer{state: map[string]string{}} }

func newTestLog(c *consumer, now *time.Duration) *ChangeLog {
	return NewChangeLog(Upstreams, func() time.Duration { return *now }, SameValue, discardLogger(), c.apply)
}

func fullUpdate(version int64, at time.Duration, rows ...Row) Update {
	return Update{Batch: Batch{Rows: rows, Version: version}, Full: true, AsOf: at}
}

func incrementalUpdate(version int64, at time.Duration, rows ...Row) Update {
	return Update{Batch: Batch{Rows: rows, Version: version}, AsOf: at}
}

// Guards against rows that stay although a full update lacks them, a return to an
// older state, and unchanged rows that are passed on as changes.
func TestChangeLog(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	c := newConsumer()
	l := newTestLog(c, &now)
	_, known := l.Age()
	g.Expect(known).To(BeFalse())
	l.Apply(fullUpdate(10, 0, row("a", "1", 3), row("b", "1", 9)))
	g.Expect(c.state).To(Equal(map[string]string{"a": "1", "b": "1"}))
	_, first, _ := l.Since(Position{}, Revision{})

	now = 2 * time.Second
	changed := l.Changed()
	l.Apply(incrementalUpdate(12, now, row("a", "1", 11)))
	g.Expect(changed).NotTo(BeClosed(), "an unchanged row")
	l.Apply(incrementalUpdate(9, now, row("a", "0", 8)))
	g.Expect(c.state["a"]).To(Equal("1"), "an older response")

	l.Apply(incrementalUpdate(15, 3*time.Second, deletedRow("a", 14), row("c", "1", 15)))
	g.Expect(changed).To(BeClosed())
	g.Expect(c.state).To(Equal(map[string]string{"b": "1", "c": "1"}))
	g.Expect(c.gaps).To(Equal([]time.Duration{0, 2 * time.Second, time.Second}))
	l.Apply(fullUpdate(20, 4*time.Second, row("c", "2", 18)))
	g.Expect(c.state).To(Equal(map[string]string{"c": "2"}), "rows that a full update lacks are deleted")

	update, _, _ := l.Since(first, Revision{Version: 10})
	g.Expect(update.Full).To(BeFalse())
	g.Expect(update.Rows).To(Equal([]Row{deletedRow("a", 14), row("c", "2", 18), deletedRow("b", 20)}))
	update, _, _ = l.Since(Position{LogID: "other", Sequence: first.Sequence}, Revision{Version: 10})
	g.Expect(update.Full).To(BeTrue())
	g.Expect(update.Rows).To(Equal([]Row{row("c", "2", 18)}))
	update, to, known := l.Since(first, Revision{Version: 21})
	g.Expect(known).To(BeTrue())
	g.Expect(update.Rows).To(BeEmpty(), "the requester has a newer version")
	g.Expect(to).To(Equal(first))

	now = 10*time.Second + tombstoneRetention
	age, _ := l.Age()
	g.Expect(age).To(Equal(now - 4*time.Second))
	l.Apply(incrementalUpdate(21, now))
	update, _, _ = l.Since(first, Revision{Version: 10})
	g.Expect(update.Full).To(BeTrue(), "the tombstones were dropped")
}

// Guards against a late response of another log that is applied although this log has
// changed since the request.
func TestLateResponsesOfLogsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	reader, c := newTestLog(newConsumer(), &now), newConsumer()
	l := newTestLog(c, &now)
	reader.Apply(fullUpdate(10, 0, row("a", "1", 3)))
	update, to, _ := reader.Since(l.Position(), Revision{})
	l.ApplyFrom(update, Position{}, to)
	g.Expect(l.Position()).To(Equal(to))

	reader.Apply(incrementalUpdate(12, 0, row("b", "1", 12)))
	late, next, _ := reader.Since(l.Position(), Revision{Version: 10})
	l.Apply(incrementalUpdate(12, 0, row("b", "1", 12)))
	l.ApplyFrom(late, to, next)
	g.Expect(l.Position()).To(Equal(Position{}), "it was updated from the store in the meantime")
	again, after, _ := reader.Since(l.Position(), Revision{Version: 12})
	g.Expect(again.Full).To(BeTrue())
	l.ApplyFrom(again, Position{}, after)
	g.Expect(l.Position()).To(Equal(after))
	g.Expect(c.state).To(Equal(map[string]string{"a": "1", "b": "1"}))
}

// modelStore is a store that keeps the newest change of each row.
type modelStore struct {
	version int64
	rows    map[string]Row
}

func (s *modelStore) write(row Row) {
	s.version++
	row.Version = s.version
	s.rows[row.Key] = row
}

func (s *modelStore) response(after int64, full bool, at time.Duration) Update {
	update := Update{Batch: Batch{Version: s.version}, Full: full, AsOf: at}
	for _, r := range s.rows {
		if r.Version > after && !(full && r.Deleted) {
			update.Rows = append(update.Rows, r)
		}
	}
	return update
}

// Guards against two instances that hold different rows for one version: logs that are
// updated from the store or from each other, in any order, must end with the rows of
// the store.
func TestLogsThatFollowEachOtherHoldTheRowsOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var now time.Duration
		store := &modelStore{rows: map[string]Row{}}
		store.write(row("a", "1", 0))
		const count = 3
		var logs [count]*ChangeLog
		var consumers [count]*consumer
		for i := range logs {
			consumers[i] = newConsumer()
			logs[i] = newTestLog(consumers[i], &now)
		}
		read := func(l *ChangeLog, full bool) {
			held, known := l.Revision()
			if !known || full {
				l.Apply(store.response(0, true, now))
				return
			}
			l.Apply(store.response(held.Version, false, now))
		}
		sync := func(from, to *ChangeLog) {
			held, _ := to.Revision()
			position := to.Position()
			if update, next, known := from.Since(position, held); known {
				to.ApplyFrom(update, position, next)
			}
		}
		pick := func(name string) int { return rapid.IntRange(0, count-1).Draw(t, name) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				store.write(row(key, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value"), 0))
			case 2:
				store.write(deletedRow(key, 0))
			case 3:
				read(logs[pick("reads")], rapid.Bool().Draw(t, "whole"))
			default:
				sync(logs[pick("asked")], logs[pick("asks")])
			}
		}
		read(logs[0], false)
		sync(logs[0], logs[1])
		sync(logs[1], logs[2])
		want := map[string]string{}
		for _, r := range store.rows {
			if !r.Deleted {
				want[r.Key] = string(r.Value)
			}
		}
		for i := range consumers {
			g.Expect(consumers[i].state).To(Equal(want), fmt.Sprint("log ", i))
		}
	})
}
