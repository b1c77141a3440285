package discovery

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// eraModel has a store with a drawn history, and instances that read it and follow each other. The
// row "config" has rising versions of the configuration.
type eraModel struct {
	*rapid.T
	store         *returningStore
	now           time.Duration
	configuration int                            // newest version that has been written
	history       map[Revision]map[string]string // rows of the store at each revision
	copies        []storeCopy
	instances     [3]*modelInstance
	late          []func() // responses that have not arrived yet
}

// modelInstance is an instance of an eraModel. It implements Store without delays; between is called once
// before the next call reaches the store.
type modelInstance struct {
	*consumer
	model   *eraModel
	reader  *Reader
	log     *ChangeLog
	eras    *EraTracker
	between func()
	newest  int      // version of the configuration that it has
	held    Revision // when it was last checked
}

func (i *modelInstance) Read(context.Context, Topic) (Batch, error) {
	i.callBetween()
	batch, _ := i.model.store.respond(0, true)
	i.eras.Observe(batch.Era)
	return batch, nil
}

func (i *modelInstance) Changes(_ context.Context, _ Topic, after int64, _ time.Duration) (Batch, error) {
	batch, gone := i.model.store.respond(after, false)
	i.eras.Observe(batch.Era)
	i.callBetween() // before the response arrives
	if gone {
		return Batch{}, ErrHistoryGone
	}
	return batch, nil
}

func (i *modelInstance) callBetween() {
	if between := i.between; between != nil {
		i.between = nil
		between()
	}
}

func (i *modelInstance) Put(context.Context, Topic, string, []byte) error { return nil }

func (i *modelInstance) Create(context.Context, Topic, string, []byte) ([]byte, error) {
	return nil, nil
}

func (i *modelInstance) Remove(context.Context, Topic, string) error { return nil }

func newEraModel(t *rapid.T) *eraModel {
	m := &eraModel{T: t, store: newReturningStore(nil), history: map[Revision]map[string]string{}}
	m.writeConfiguration()
	for n := range m.instances {
		i := &modelInstance{consumer: newConsumer(), model: m, eras: NewEraTracker()}
		clock := func() time.Duration { return m.now }
		i.log = NewChangeLog(Configuration, clock, SameValue, discardLogger(), i.apply, KeepNewer(OutdatedConfiguration(textDecoder{})))
		i.reader = NewReader(ReaderConfig{
			Store: i, Topic: Configuration, Schedule: func() PollSchedule { return PollSchedule{} }, ChangeLog: i.log, Backoff: NewBackoff(func(bool) {}),
			Clock: clock, Logger: discardLogger(), Eras: i.eras,
		})
		m.instances[n] = i
	}
	return m
}

func (m *eraModel) revision() Revision { return Revision{Era: m.store.era, Version: m.store.version} }

// record keeps the rows of the store at its revision.
func (m *eraModel) record() { m.history[m.revision()] = m.store.liveValues() }

func (m *eraModel) writeConfiguration() {
	m.configuration++
	m.store.write("config", strconv.Itoa(m.configuration))
	m.record()
}

func (m *eraModel) writeRow() {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.T, "key")
	if value := rapid.IntRange(0, 2).Draw(m.T, "value"); value > 0 {
		m.store.write(key, strconv.Itoa(value))
	} else {
		m.store.remove(key)
	}
	m.record()
}

// returnStore lets the store return from a copy. An older version of the configuration may be
// written again.
func (m *eraModel) returnStore() {
	m.store.returnFrom(rapid.SampledFrom(m.copies).Draw(m.T, "copy"))
	m.record()
	if rapid.Bool().Draw(m.T, "again") {
		m.store.write("config", strconv.Itoa(rapid.IntRange(1, m.configuration).Draw(m.T, "version")))
		m.record()
	}
}

func (m *eraModel) changeStore() {
	switch rapid.IntRange(0, 3).Draw(m.T, "change") {
	case 0:
		m.writeConfiguration()
	case 1, 2:
		m.writeRow()
	default:
		m.returnStore()
	}
}

// poll reads the store at an instance. Whatever happens during the call, the rows are afterwards no
// older than at its start, unless the call failed.
func (m *eraModel) poll(i *modelInstance) {
	began := m.revision()
	if err := i.reader.poll(context.Background()); err == nil {
		held, _ := i.log.Revision()
		if held.Before(began) {
			m.Fatalf("poll left %v, the store was at %v", held, began)
		}
	}
	i.between = nil
}

// readLate calls the store at an instance, and lets the response arrive at a later step.
func (m *eraModel) readLate(i *modelInstance) {
	held, known := i.log.Revision()
	newest, _ := i.eras.Newest()
	update, err := i.reader.call(context.Background(), held, !known || newest > held.Era)
	if err == nil {
		m.late = append(m.late, func() { i.reader.apply(update) })
	}
}

// follow requests the updates of another instance. later draws at which later steps the request
// and the response arrive.
func (m *eraModel) follow(i, from *modelInstance, later bool) {
	held, _ := i.log.Revision()
	position := i.log.Position()
	request := func() {
		update, to, known := from.log.Since(position, held)
		if !known {
			return
		}
		m.arrive(func() { i.log.ApplyFrom(update, position, to) }, later)
	}
	m.arrive(request, later)
}

// arrive delivers a message now, or at a later step if that is drawn.
func (m *eraModel) arrive(deliver func(), mayBeLate bool) {
	if mayBeLate && rapid.Bool().Draw(m.T, "is late") {
		m.late = append(m.late, deliver)
		return
	}
	deliver()
}

func (m *eraModel) step() {
	m.now += time.Duration(rapid.IntRange(0, 20_000).Draw(m.T, "ms")) * time.Millisecond
	pick := func(name string) *modelInstance { return rapid.SampledFrom(m.instances[:]).Draw(m.T, name) }
	switch rapid.IntRange(0, 9).Draw(m.T, "step") {
	case 0, 1, 2:
		m.changeStore()
	case 3:
		m.copies = append(m.copies, m.store.copy())
	case 4:
		m.poll(pick("reads"))
	case 5:
		i := pick("reads")
		i.between = func() {
			m.changeStore()
			if rapid.Bool().Draw(m.T, "follows meanwhile") {
				m.follow(i, pick("from"), false)
			}
		}
		m.poll(i)
	case 6:
		m.readLate(pick("reads late"))
	case 7:
		pick("writes").eras.Observe(m.store.era)
	case 8:
		m.follow(pick("follows"), pick("from"), rapid.Bool().Draw(m.T, "late"))
	default:
		if len(m.late) > 0 {
			n := rapid.IntRange(0, len(m.late)-1).Draw(m.T, "arrives")
			arrive := m.late[n]
			m.late = append(m.late[:n:n], m.late[n+1:]...)
			arrive()
		}
	}
}

// check compares the rows of each instance with those of the store at the same revision. Its
// configuration may be newer, and is never older than before.
func (m *eraModel) check() {
	for n, i := range m.instances {
		held, known := i.log.Revision()
		if !known {
			continue
		}
		want, got := maps.Clone(m.history[held]), maps.Clone(i.state)
		stored, _ := strconv.Atoi(want["config"])
		newest, _ := strconv.Atoi(got["config"])
		if newest < max(stored, i.newest) {
			m.Fatalf("instance %d has configuration %d after %d; the store had %d at %v", n, newest, i.newest, stored, held)
		}
		i.newest = newest
		if held.Before(i.held) {
			m.Fatalf("instance %d went back from %v to %v", n, i.held, held)
		}
		i.held = held
		delete(want, "config")
		delete(got, "config")
		if !maps.Equal(want, got) {
			m.Fatalf("instance %d has %v at %v, the store had %v", n, got, held, want)
		}
	}
}

// Guards against changes that are skipped, and a state that goes back, when the store returns from
// copies at any moments of reads, of responses that arrive late and of messages between instances.
func TestInstancesFollowReturnsOfStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m := newEraModel(t)
		m.copies = append(m.copies, m.store.copy())
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step()
			m.check()
		}
		m.writeConfiguration()
		m.poll(m.instances[0])
		m.follow(m.instances[1], m.instances[0], false)
		m.follow(m.instances[2], m.instances[1], false)
		for n, i := range m.instances {
			held, _ := i.log.Revision()
			g.Expect(held).To(Equal(m.revision()), fmt.Sprint("instance ", n))
			g.Expect(i.state).To(HaveKeyWithValue("config", strconv.Itoa(m.configuration)))
		}
		m.check()
	})
}
