package upstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// quarantinePeriod is the time for which a content is refused.
type quarantinePeriod struct {
	identifiedAt, until time.Time
	// bySuspects reports that contents that are not identified may explain all crashes.
	bySuspects bool
}

// assessor computes assessments from crashes sorted by time.
type assessor struct {
	crashes    []Crash
	byContent  map[ContentKey][]int // indices of the crashes that count against a content
	identified map[ContentKey]quarantinePeriod
}

// Assess returns the assessment of each content that ran on an upstream when it
// crashed. The result depends only on the evidence.
//
// Contents are identified in chronological order, each from the crashes known up
// to that time. An identified content explains the crashes of the upstreams on
// which it ran: these do not count against other contents and are not correlated
// with other crashes. Otherwise two poison prompts that are active at the same
// time would clear each other.
func (e *Evidence) Assess() map[ContentKey]Assessment {
	a := assessor{
		crashes:    mergeUnknownProcesses(e.unrefutedCrashes()),
		byContent:  make(map[ContentKey][]int),
		identified: make(map[ContentKey]quarantinePeriod),
	}
	for i, crash := range a.crashes {
		for _, content := range crash.Contents {
			if e.cleared[content].Before(crash.At) {
				a.byContent[content] = append(a.byContent[content], i)
			}
		}
	}
	a.identify()
	a.identifyRemaining()
	return a.assessments()
}

// identify determines the contents that the crashes identify as poison prompts.
func (a *assessor) identify() {
	candidates := a.candidates()
	for _, now := range a.crashTimes(candidates) {
		// An identified content explains crashes that masked those of another
		// one. The number of passes is bounded, since a release can undo the
		// result of a pass.
		for range candidates {
			if !a.identifyAt(candidates, now) {
				break
			}
		}
	}
}

// identifyAt determines the contents that are identified by now and reports
// whether one is new. Contents identified in the same pass do not explain each
// other's crashes.
//
// A content that was identified earlier is released if suspects explain all of its
// crashes, and those of them that are identified leave too few: a harmless content
// may be resumed on each upstream that several poison prompts crash, and reach the
// limit before they do. It would then explain their crashes, and the poison prompts
// would not be quarantined.
func (a *assessor) identifyAt(candidates []ContentKey, now time.Time) (found bool) {
	if !a.mayIdentify(candidates, now) {
		return false
	}
	suspects := a.suspects(candidates, now)
	known, released := a.splitExplained(suspects, now)
	identified := maps.Clone(known)
	for content := range suspects {
		_, until, reached := quarantineOf(a.crashesNotExplainedBy(content, now, known))
		previous, wasIdentified := known[content]
		switch {
		case reached && wasIdentified:
			identified[content] = quarantinePeriod{identifiedAt: previous.identifiedAt, until: until}
		case reached && !slices.Contains(released, content):
			identified[content] = quarantinePeriod{identifiedAt: now, until: until}
			found = true
		}
	}
	for _, content := range released {
		period, wasIdentified := a.identified[content]
		if _, _, reached := quarantineOf(a.crashesNotExplainedBy(content, now, identified)); wasIdentified && reached {
			identified[content] = period
		}
	}
	a.identified = identified
	return found
}

// mayIdentify reports whether a content is or may be identified by now. After the loss
// of a failure domain there are many suspects but none to identify, and comparing them takes long.
func (a *assessor) mayIdentify(candidates []ContentKey, now time.Time) bool {
	return len(a.identified) > 0 || slices.ContainsFunc(candidates, func(content ContentKey) bool {
		_, _, reached := quarantineOf(a.crashesNotExplainedBy(content, now, nil))
		return reached
	})
}

// identifyRemaining identifies contents until none has enough crashes that no other
// one explains, those with the most crashes first. Contents remain that were
// released because of suspects that are not identified themselves, since others
// explain some of their crashes.
func (a *assessor) identifyRemaining() {
	candidates := a.candidates()
	for range candidates {
		var next ContentKey
		var period quarantinePeriod
		most := 0
		for _, content := range candidates {
			if _, identified := a.identified[content]; identified {
				continue
			}
			attributed := a.unexplainedCrashes(content, a.lastCrash())
			reachedAt, until, reached := quarantineOf(attributed)
			if count := incidents(countingOf(attributed)); reached && count > most {
				next, most = content, count
				period = quarantinePeriod{identifiedAt: reachedAt, until: until, bySuspects: true}
			}
		}
		if most == 0 {
			return
		}
		a.identified[next] = period
	}
}

// suspects returns the contents with enough crashes by now and the contents that are
// already identified. Explained and correlated crashes are included: poison prompts
// that crash upstreams of one failure domain at the same time hide each other.
func (a *assessor) suspects(candidates []ContentKey, now time.Time) map[ContentKey]quarantinePeriod {
	suspects := maps.Clone(a.identified)
	for _, content := range candidates {
		if _, found := suspects[content]; !found && a.upstreamCountBy(content, now) >= quarantineCrashes {
			suspects[content] = quarantinePeriod{identifiedAt: now}
		}
	}
	return suspects
}

// upstreamCountBy returns the number of upstreams that crashed by now while they
// ran a content.
func (a *assessor) upstreamCountBy(content ContentKey, now time.Time) int {
	upstreams := make(map[contract.UpstreamID]bool)
	for _, i := range a.byContent[content][:a.crashCountBy(content, now)] {
		upstreams[a.crashes[i].Process.Upstream] = true
	}
	return len(upstreams)
}

// splitExplained returns the identified contents with at least one crash that no
// other suspect explains, and the suspects whose crashes are all explained, those
// with the fewest crashes first.
func (a *assessor) splitExplained(suspects map[ContentKey]quarantinePeriod, now time.Time) (known map[ContentKey]quarantinePeriod, released []ContentKey) {
	known = make(map[ContentKey]quarantinePeriod)
	remaining := maps.Clone(suspects)
	order := slices.SortedFunc(maps.Keys(suspects), func(x, y ContentKey) int {
		return cmp.Or(a.crashCountBy(x, now)-a.crashCountBy(y, now), compareContents(x, y))
	})
	for _, content := range order {
		if a.explainedBy(remaining, content, now) {
			delete(remaining, content)
			released = append(released, content)
		} else if period, wasIdentified := a.identified[content]; wasIdentified {
			known[content] = period
		}
	}
	return known, released
}

// explainedBy reports whether each crash of a content by now involved one of the
// others that also ran in a crash without the content. Of contents with the same
// crashes, none can be shown to be harmless.
func (a *assessor) explainedBy(others map[ContentKey]quarantinePeriod, content ContentKey, now time.Time) bool {
	var explaining []ContentKey
	for other := range others {
		if other != content && a.ranWithout(other, content, now) {
			explaining = append(explaining, other)
		}
	}
	for _, i := range a.byContent[content][:a.crashCountBy(content, now)] {
		ran := func(other ContentKey) bool { return ranOn(a.crashes[i], other) }
		if !slices.ContainsFunc(explaining, ran) {
			return false
		}
	}
	return true
}

// ranWithout reports whether a content ran on an upstream that crashed by now
// without the other content.
func (a *assessor) ranWithout(content, other ContentKey, now time.Time) bool {
	return slices.ContainsFunc(a.byContent[content][:a.crashCountBy(content, now)], func(i int) bool {
		return !ranOn(a.crashes[i], other)
	})
}

// crashCountBy returns the number of crashes by now that count against a content.
func (a *assessor) crashCountBy(content ContentKey, now time.Time) int {
	indices := a.byContent[content]
	later := slices.IndexFunc(indices, func(i int) bool { return a.crashes[i].At.After(now) })
	if later < 0 {
		return len(indices)
	}
	return later
}

// candidates returns the contents that ran on enough crashed upstreams, sorted.
func (a *assessor) candidates() []ContentKey {
	var candidates []ContentKey
	for content := range a.byContent {
		if a.upstreamCountBy(content, a.lastCrash()) >= quarantineCrashes {
			candidates = append(candidates, content)
		}
	}
	slices.SortFunc(candidates, compareContents)
	return candidates
}

// crashTimes returns the sorted times at which a candidate may be identified.
func (a *assessor) crashTimes(candidates []ContentKey) []time.Time {
	var crashTimes []time.Time
	for _, content := range candidates {
		for _, i := range a.byContent[content] {
			crashTimes = append(crashTimes, a.crashes[i].At)
		}
	}
	slices.SortFunc(crashTimes, time.Time.Compare)
	return slices.CompactFunc(crashTimes, time.Time.Equal)
}

// assessments returns the result from all crashes.
func (a *assessor) assessments() map[ContentKey]Assessment {
	assessments := make(map[ContentKey]Assessment, len(a.byContent))
	for content := range a.byContent {
		assessment := Assessment{attributed: a.unexplainedCrashes(content, a.lastCrash())}
		if period, identified := a.identified[content]; identified {
			// Until then, evidence that clears the content may arrive from other
			// instances; the content is deferred.
			delay := evidenceDelay
			if period.bySuspects || a.disputed(content, period.identifiedAt) {
				delay = disputeDelay
			}
			assessment.quarantineStart, assessment.quarantineEnd = period.identifiedAt.Add(delay), period.until
		}
		if len(assessment.attributed) > 0 || !assessment.quarantineStart.IsZero() {
			assessments[content] = assessment
		}
	}
	return assessments
}

// lastCrash returns the time of the last crash; there must be one.
func (a *assessor) lastCrash() time.Time { return a.crashes[len(a.crashes)-1].At }

// disputed reports whether another content may have caused crashes of an identified
// one: others ran on one of the upstreams, and about that time, until its quarantine
// could start, upstreams crashed without it.
func (a *assessor) disputed(content ContentKey, identifiedAt time.Time) bool {
	indices := a.byContent[content]
	alone := func(i int) bool { return len(a.crashes[i].Contents) == 1 }
	if !slices.ContainsFunc(indices, func(i int) bool { return !alone(i) }) {
		return false
	}
	return slices.ContainsFunc(a.crashes, func(crash Crash) bool {
		near := func(i int) bool { return crash.At.Sub(a.crashes[i].At).Abs() <= disputeWindow }
		return !ranOn(crash, content) && !crash.At.After(identifiedAt.Add(evidenceDelay)) && slices.ContainsFunc(indices, near)
	})
}

// unexplainedCrashes returns the crashes up to a time that no other content
// explains.
func (a *assessor) unexplainedCrashes(content ContentKey, now time.Time) []attributedCrash {
	return a.crashesNotExplainedBy(content, now, a.identified)
}

// crashesNotExplainedBy returns the crashes up to a time in which none of the
// other given contents ran.
func (a *assessor) crashesNotExplainedBy(content ContentKey, now time.Time, others map[ContentKey]quarantinePeriod) []attributedCrash {
	var attributed []attributedCrash
	for _, i := range a.byContent[content][:a.crashCountBy(content, now)] {
		crash := a.crashes[i]
		if explains(others, crash, content, now) {
			continue
		}
		c := attributedCrash{upstream: crash.Process.Upstream, domain: crash.FailureDomain, at: crash.At, counts: true}
		for _, other := range a.correlatedCrashes(i, content, now) {
			c.counts = c.counts && ranOn(other, content)
		}
		attributed = append(attributed, c)
	}
	return attributed
}

// explains reports whether one of the identified contents, other than the given
// one, ran on the upstream that crashed.
func explains(identified map[ContentKey]quarantinePeriod, crash Crash, content ContentKey, now time.Time) bool {
	for other, period := range identified {
		if other != content && !period.identifiedAt.After(now) && ranOn(crash, other) {
			return true
		}
	}
	return false
}

// correlatedCrashes returns the crashes up to a time of other upstreams in the
// same failure domain within the correlation window, without explained ones.
func (a *assessor) correlatedCrashes(index int, content ContentKey, now time.Time) []Crash {
	crash := a.crashes[index]
	var correlated []Crash
	add := func(other Crash) {
		sameDomain := other.FailureDomain == crash.FailureDomain && other.Process.Upstream != crash.Process.Upstream
		if sameDomain && !other.At.After(now) && !explains(a.identified, other, content, now) {
			correlated = append(correlated, other)
		}
	}
	for i := index - 1; i >= 0 && crash.At.Sub(a.crashes[i].At) <= correlationWindow; i-- {
		add(a.crashes[i])
	}
	for i := index + 1; i < len(a.crashes) && a.crashes[i].At.Sub(crash.At) <= correlationWindow; i++ {
		add(a.crashes[i])
	}
	return correlated
}

func ranOn(crash Crash, content ContentKey) bool {
	_, found := slices.BinarySearchFunc(crash.Contents, content, compareContents)
	return found
}

// unrefutedCrashes returns the crashes of processes that did not respond
// afterwards, sorted by time and process.
func (e *Evidence) unrefutedCrashes() []Crash {
	crashes := make([]Crash, 0, len(e.crashes))
	for processID, crash := range e.crashes {
		if !refutesCrash(e.alive[processID], crash.At) {
			crashes = append(crashes, crash)
		}
	}
	sortCrashes(crashes)
	return crashes
}

// mergeUnknownProcesses adds the contents of each crash of an unknown process to the
// closest crash of the same upstream within the correlation window, if there is
// one: instances that do not know the incarnation report the same crash apart.
func mergeUnknownProcesses(crashes []Crash) []Crash {
	var known, unknown, apart []Crash
	for _, crash := range crashes {
		if crash.Process.isUnknown() {
			unknown = append(unknown, crash)
		} else {
			known = append(known, crash)
		}
	}
	for _, crash := range unknown {
		if closest := closestCrash(known, crash); closest != nil {
			closest.Contents = mergeContents(closest.Contents, crash.Contents)
		} else {
			apart = append(apart, crash)
		}
	}
	merged := slices.Concat(known, apart)
	sortCrashes(merged)
	return merged
}

// closestCrash returns the crash of the same upstream that is closest in time and
// within the correlation window of a given one, or nil.
func closestCrash(crashes []Crash, to Crash) (closest *Crash) {
	best := correlationWindow
	for i := range crashes {
		distance := crashes[i].At.Sub(to.At).Abs()
		if crashes[i].Process.Upstream == to.Process.Upstream && (distance < best || closest == nil && distance == best) {
			closest, best = &crashes[i], distance
		}
	}
	return closest
}

// sortCrashes sorts by time and process, the same at each instance.
func sortCrashes(crashes []Crash) {
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process.Upstream, b.Process.Upstream), cmp.Compare(a.Process.Incarnation, b.Process.Incarnation))
	})
}

// refutesCrash reports whether a response to a request sent at the given time
// refutes a crash. Times of crashes are rounded to milliseconds.
func refutesCrash(sentAt, crash time.Time) bool { return sentAt.Sub(crash) > time.Millisecond }

// quarantineOf returns the time at which crashes reach the limit and the end of
// the quarantine that they cause.
func quarantineOf(attributed []attributedCrash) (reachedAt, until time.Time, reached bool) {
	counting := countingOf(attributed)
	first := 0
	for last := range counting {
		for counting[last].at.Sub(counting[first].at) > quarantineDuration {
			first++
		}
		if incidents(counting[first:last+1]) >= quarantineCrashes {
			if !reached {
				reachedAt = counting[last].at
			}
			until, reached = counting[last].at.Add(quarantineDuration), true
		}
	}
	return reachedAt, until, reached
}
