package poison

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// model is a fleet of instances that place requests on engines, in virtual time. It stands in
// for the runs and for the exchange of evidence. Requests with a poison part crash the engine that begins
// to write on them.
type model struct {
	modelOptions
	random      *rand.Rand
	now         time.Time
	events      eventQueue
	instances   []*modelInstance
	engines     []*modelEngine
	rows        map[string]Verdict // verdicts in the store
	trials      map[string]bool    // claimed ones
	crashRows   []Crash
	successRows map[Part]time.Time
	nextID      int

	crashed  map[string][]time.Time // crashes that a poison part caused, unless its instance ended before it saw the crash
	arrivals map[string][]time.Time // arrivals of requests with a poison part at engines
	sound    []*modelRequest
	verdicts int // also those lifted
	refusals []modelRefusal
	causes   []string // log of crashes and verdicts
	partIDs  map[string]Part
}

type modelOptions struct {
	instances, domains, enginesPerDomain int
	workspaces                           int
	soundRate, poisonRate                float64 // requests a second of the fleet
	poisons                              int
	poisonAlone                          float64 // share of poison requests with the poison part only
	poisonSpread                         bool    // poison requests come from all workspaces
	poisonFirst                          bool    // the poison part is the first of its prompts
	poisonStart                          time.Duration
	sessionShare, rareShare, hugeShare   float64
	noticeDelay                          time.Duration // most time of a notice
	lossShare                            float64       // share of notices that arrive only when repeated
	domainLosses, massCrashes, restarts  int
	coldMassCrash                        bool
	failureRate                          float64 // crashes a second without a cause
	duration                             time.Duration
}

const (
	modelContact    = 3 * time.Second
	modelTrialDelay = 30 * time.Second
	modelSecond     = 5 * time.Minute // delay of the second trial
	modelAttempts   = 3
	modelSuspect    = 500 * time.Millisecond // time after the first event until a run is a success
	modelRepeat     = 500 * time.Millisecond // until a lost notice is repeated
)

type modelInstance struct {
	id      int
	ledger  *Ledger
	runs    map[*modelRun]bool
	seen    map[string]time.Time // time at which each verdict became known
	started int                  // number of restarts
}

type modelEngine struct {
	id, domain string
	up         bool
	poisoned   bool // the last crash was caused by a poison part
	runs       map[*modelRun]bool
}

type modelRequest struct {
	at          time.Time
	prompt      Prompt
	first       string // first part
	poison      string
	attempts    int
	refused     bool // by a verdict, at any attempt
	beganAtOnce bool // the first attempt began to write
	succeeded   bool // an answer went on
	excused     bool // the first attempt failed for another cause than a poison part
	trial       bool
}

type modelRefusal struct {
	at      time.Time
	known   time.Time // time since when the instance knows the verdict
	verdict Verdict
}

type modelRun struct {
	request  *modelRequest
	instance *modelInstance
	engine   *modelEngine
	first    time.Time // of the first event
	ended    bool
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (m *model) after(d time.Duration, run func()) {
	m.nextID++
	heap.Push(&m.events, event{m.now.Add(d), m.nextID, run})
}

func (m *model) uniform(least, most time.Duration) time.Duration {
	return least + time.Duration(m.random.Float64()*float64(most-least))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func runModel(options modelOptions, seed uint64) *model {
	m := &model{modelOptions: options, random: rand.New(rand.NewPCG(seed, 1)), now: start, rows: map[string]Verdict{}, trials: map[string]bool{}, successRows: map[Part]time.Time{}, partIDs: map[string]Part{},
		crashed: map[string][]time.Time{}, arrivals: map[string][]time.Time{}}
	for i := range options.instances {
		m.instances = append(m.instances, &modelInstance{id: i})
		m.restart(m.instances[i])
	}
	for d := range options.domains {
		for range options.enginesPerDomain {
			e := &modelEngine{domain: fmt.Sprint("domain", d)}
			m.engines = append(m.engines, e)
			m.startEngine(e)
		}
	}
	m.arriveEvery(options.soundRate, 0, m.soundRequest)
	m.arriveEvery(options.poisonRate, options.poisonStart, m.poisonRequest)
	m.arriveEvery(options.failureRate, 0, func() { m.crash(m.engines[m.random.IntN(len(m.engines))], "failure") })
	for range options.domainLosses {
		domain := fmt.Sprint("domain", m.random.IntN(options.domains))
		m.after(m.uniform(0, options.duration), func() {
			m.crashAll("loss of "+domain, func(e *modelEngine) bool { return e.domain == domain })
		})
	}
	half := func() { m.crashAll("mass crash", func(*modelEngine) bool { return m.random.IntN(2) == 0 }) }
	for range options.massCrashes {
		m.after(m.uniform(0, options.duration), half)
	}
	if options.coldMassCrash {
		m.after(m.uniform(seconds(0.5), seconds(3)), half)
	}
	for range options.restarts {
		m.after(m.uniform(0, options.duration), func() { m.restart(m.instances[m.random.IntN(len(m.instances))]) })
	}
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(event)
		if next.at.Sub(start) > options.duration {
			break
		}
		m.now = next.at
		next.run()
	}
	return m
}

func (m *model) arriveEvery(rate float64, first time.Duration, arrive func()) {
	if rate <= 0 {
		return
	}
	m.after(first+seconds(m.random.ExpFloat64()/rate), func() {
		arrive()
		m.arriveEvery(rate, 0, arrive)
	})
}

func (m *model) soundParts(workspace int) []string {
	ids := []string{fmt.Sprint("system", workspace)}
	if m.random.Float64() < m.sessionShare {
		epoch := int(m.now.Sub(start) / (20 * time.Second))
		ids = append(ids, fmt.Sprint("session", workspace, "-", epoch, "-", m.random.IntN(8)))
	}
	return ids
}

func (m *model) prompt(ids ...string) Prompt {
	for _, id := range ids {
		if _, ok := m.partIDs[id]; !ok {
			m.partIDs[id] = NewPart(id)
		}
	}
	return prompt(ids...)
}

func (m *model) soundRequest() {
	ids := m.soundParts(m.random.IntN(m.workspaces))
	switch draw := m.random.Float64(); {
	case draw < m.rareShare:
		ids = append(ids, fmt.Sprint("rare", m.random.IntN(3)))
	case draw < m.rareShare+m.hugeShare:
		for i := range 2 * maxPromptParts {
			ids = append(ids, fmt.Sprint("huge", i))
		}
	}
	r := &modelRequest{at: m.now, prompt: m.prompt(ids...), first: ids[0]}
	m.sound = append(m.sound, r)
	m.attempt(m.instances[m.random.IntN(len(m.instances))], r)
}

func (m *model) poisonRequest() {
	i := m.random.IntN(m.poisons)
	poison := fmt.Sprint("poison", i)
	ids := []string{poison}
	if m.random.Float64() >= m.poisonAlone {
		workspace := i % m.workspaces / 2 // both poison parts share a workspace
		if m.poisonSpread {
			workspace = m.random.IntN(m.workspaces)
		}
		if ids = m.soundParts(workspace); m.poisonFirst {
			ids = append([]string{poison}, ids...)
		} else {
			ids = append(ids, poison)
		}
	}
	r := &modelRequest{at: m.now, prompt: m.prompt(ids...), first: ids[0], poison: poison}
	m.attempt(m.instances[m.random.IntN(len(m.instances))], r)
}

// attempt sends a request to an engine, unless a verdict refuses it.
func (m *model) attempt(i *modelInstance, r *modelRequest) {
	if v, refused := i.ledger.Refuses(r.prompt); refused {
		if r.attempts > 0 || !m.claimTrial(i, v) {
			r.refused = true
			m.refusals = append(m.refusals, modelRefusal{m.now, i.seen[v.ID()], v})
			return
		}
		r.trial = true
	}
	var up []*modelEngine
	for _, e := range m.engines {
		if e.up {
			up = append(up, e)
		}
	}
	r.attempts++
	if len(up) == 0 {
		r.excused = r.attempts == 1 && slices.ContainsFunc(m.engines, func(e *modelEngine) bool { return !e.poisoned })
		return
	}
	run := &modelRun{request: r, instance: i, engine: up[m.random.IntN(len(up))]}
	run.engine.runs[run], i.runs[run] = true, true
	prefill := m.uniform(seconds(0.1), seconds(1))
	if r.poison != "" {
		m.arrivals[r.poison] = append(m.arrivals[r.poison], m.now)
		prefill = m.uniform(seconds(1), seconds(2.5))
	}
	m.after(prefill, func() { m.write(run) })
}

func (m *model) write(run *modelRun) {
	if run.ended {
		return
	}
	run.first = m.now
	if poison := run.request.poison; poison != "" {
		engine, id := run.engine, run.engine.id
		m.after(m.uniform(44*time.Millisecond, 120*time.Millisecond), func() {
			if engine.id == id && engine.up {
				m.crash(engine, poison)
			}
		})
		return
	}
	run.request.beganAtOnce = run.request.attempts == 1
	length := m.uniform(seconds(0.3), seconds(4))
	m.after(min(length, modelSuspect), func() {
		if !run.ended {
			run.request.succeeded = true
			m.succeed(run.instance, run.request.prompt)
		}
	})
	m.after(length, func() { m.end(run) })
}

func (m *model) end(run *modelRun) {
	run.ended = true
	delete(run.engine.runs, run)
	delete(run.instance.runs, run)
}

func (m *model) startEngine(e *modelEngine) {
	m.nextID++
	e.id, e.up, e.runs = fmt.Sprint("engine", m.nextID), true, map[*modelRun]bool{}
}

func (m *model) crashAll(cause string, selected func(*modelEngine) bool) {
	for _, e := range m.engines {
		if selected(e) {
			m.after(m.uniform(0, 20*time.Millisecond), func() { m.crash(e, cause) })
		}
	}
}

// crash ends an engine. The instances with suspect runs there confirm the crash and share it.
func (m *model) crash(e *modelEngine, cause string) {
	if !e.up {
		return
	}
	e.up, e.poisoned = false, strings.HasPrefix(cause, "poison")
	m.log("%s %s crashes: %s", e.id, e.domain, cause)
	m.after(m.uniform(seconds(2), seconds(6)), func() { m.startEngine(e) })
	at, id := m.now, e.id
	suspects := map[*modelInstance][]*modelRun{}
	for _, run := range m.sortedRuns(e.runs) {
		m.end(run)
		run.request.excused = run.request.excused || run.request.attempts == 1 && !e.poisoned
		i := run.instance
		if run.first.IsZero() || m.now.Sub(run.first) < modelSuspect {
			suspects[i] = append(suspects[i], run)
		}
	}
	for _, i := range m.instances {
		runs := suspects[i]
		if len(runs) == 0 {
			continue
		}
		restarts := i.started
		m.after(m.uniform(time.Millisecond, 150*time.Millisecond), func() {
			if i.started != restarts {
				return
			}
			crash := Crash{UpstreamID: id, FailureDomain: e.domain, At: at.Add(m.uniform(0, 10*time.Millisecond))}
			for _, run := range runs {
				crash.Prompts = append(crash.Prompts, run.request.prompt)
			}
			if slices.ContainsFunc(runs, func(run *modelRun) bool { return run.request.poison == cause }) && !slices.Contains(m.crashed[cause], at) {
				m.crashed[cause] = append(m.crashed[cause], at)
				slices.SortFunc(m.crashed[cause], time.Time.Compare)
			}
			m.shareCrash(i, crash)
			for _, run := range runs {
				if run.request.attempts < modelAttempts && !run.request.trial {
					m.attempt(i, run.request)
				}
			}
		})
	}
}

func (m *model) sortedRuns(runs map[*modelRun]bool) []*modelRun {
	var sorted []*modelRun
	for run := range runs {
		sorted = append(sorted, run)
	}
	slices.SortFunc(sorted, func(a, b *modelRun) int {
		if c := a.request.at.Compare(b.request.at); c != 0 {
			return c
		}
		return a.instance.id - b.instance.id
	})
	return sorted
}

func (m *model) log(format string, args ...any) {
	m.causes = append(m.causes, fmt.Sprintf("%.3f ", m.now.Sub(start).Seconds())+fmt.Sprintf(format, args...))
}
