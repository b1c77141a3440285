package notices

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/poison"
)

const (
	// partKeyPrefix begins the keys of all rows about parts of prompts.
	partKeyPrefix     = "part/"
	evidenceKeyPrefix = partKeyPrefix + "evidence/" // the writer and a slot follow
)

const (
	// crashLifetime is how long a crash counts, and successLifetime how long a part counts as
	// known good after a success.
	crashLifetime   = 2 * time.Minute
	successLifetime = 10 * time.Minute
	// maxRowParts bounds the parts in the prompts of one row, and maxRowSuccesses the parts
	// with a success. The store accepts values of 64 KiB.
	maxRowParts     = 1024
	maxRowSuccesses = 512
	// maxRowCrashes bounds the crashes of one row, maxRowKnown the ages of others.
	maxRowCrashes = 32
	maxRowKnown   = 32
	// maxPromptParts bounds the parts of one prompt.
	maxPromptParts         = 256
	maxFailureDomainLength = 128
)

var errInvalidPartRow = errors.New("invalid row about parts of prompts")

// evidenceRow is the value of a row with crashes and successes. Instances have different
// clocks, so it holds ages as of the write.
type evidenceRow struct {
	Instance string     `json:"instance"`
	Crashes  []crashRow `json:"crashes,omitempty"`
	// Successes has the age of the last success on parts.
	Successes map[string]int64 `json:"successes_age_ms,omitempty"`
	// Known has the ages of other crashes, by upstream. Rows that are read together, long
	// after they were written, thus keep their distance in time.
	Known map[string]int64 `json:"known_crashes_age_ms,omitempty"`
}

type crashRow struct {
	UpstreamID    string     `json:"upstream"`
	FailureDomain string     `json:"failure_domain"`
	Age           int64      `json:"age_ms"`
	Prompts       [][]string `json:"prompts"`
}

// evidence is the content of an evidenceRow on the clock of this instance.
type evidence struct {
	crashes   []poison.Crash
	successes map[poison.Part]time.Time
	known     map[string]time.Time // crash times by upstream
}

func encodeParts(parts []poison.Part) []string {
	encoded := make([]string, len(parts))
	for i, part := range parts {
		encoded[i] = encodePart(part)
	}
	return encoded
}

func encodePart(part poison.Part) string { return strconv.FormatUint(uint64(part), 16) }

// decodeParts decodes distinct parts.
func decodeParts(encoded []string) ([]poison.Part, error) {
	if len(encoded) > maxPromptParts {
		return nil, errors.Wrapf(errInvalidPartRow, "%d parts", len(encoded))
	}
	parts := make([]poison.Part, len(encoded))
	seen := make(map[poison.Part]bool, len(encoded))
	for i, text := range encoded {
		value, err := strconv.ParseUint(text, 16, 64)
		part := poison.Part(value)
		if err != nil || seen[part] {
			return nil, errors.Wrapf(errInvalidPartRow, "part %.32q", text)
		}
		parts[i], seen[part] = part, true
	}
	return parts, nil
}

func encodeEvidence(now time.Time, instance string, e evidence) ([]byte, error) {
	row := evidenceRow{Instance: instance, Successes: map[string]int64{}, Known: map[string]int64{}}
	for _, crash := range e.crashes {
		prompts := make([][]string, len(crash.Prompts))
		for i, prompt := range crash.Prompts {
			prompts[i] = encodeParts(prompt)
		}
		row.Crashes = append(row.Crashes, crashRow{
			UpstreamID: crash.UpstreamID, FailureDomain: crash.FailureDomain, Age: ageMS(now, crash.At), Prompts: prompts,
		})
	}
	for part, at := range e.successes {
		row.Successes[encodePart(part)] = ageMS(now, at)
	}
	for upstreamID, at := range e.known {
		row.Known[upstreamID] = ageMS(now, at)
	}
	return json.Marshal(row)
}

// decodeEvidence decodes a row, which another program may have written. It leaves out evidence
// that has expired.
func decodeEvidence(now time.Time, value []byte) (evidence, error) {
	var row evidenceRow
	if err := json.Unmarshal(value, &row); err != nil {
		return evidence{}, err
	}
	if len(row.Crashes) > maxRowCrashes || len(row.Successes) > maxRowSuccesses || len(row.Known) > maxRowKnown {
		return evidence{}, errors.Wrapf(errInvalidPartRow, "%d crashes, %d successes, %d known crashes", len(row.Crashes), len(row.Successes), len(row.Known))
	}
	e := evidence{successes: map[poison.Part]time.Time{}, known: map[string]time.Time{}}
	for text, age := range row.Successes {
		parts, err := decodeParts([]string{text})
		if err != nil || age < 0 {
			return evidence{}, errors.Wrapf(errInvalidPartRow, "success on part %.32q %d ms ago", text, age)
		}
		if at, fresh := timeAt(now, age, successLifetime); fresh {
			e.successes[parts[0]] = at
		}
	}
	for upstreamID, age := range row.Known {
		if upstreamID == "" || len(upstreamID) > maxUpstreamID || age < 0 {
			return evidence{}, errors.Wrapf(errInvalidPartRow, "crash of %.64q %d ms ago", upstreamID, age)
		}
		if at, fresh := timeAt(now, age, crashLifetime); fresh {
			e.known[upstreamID] = at
		}
	}
	for _, c := range row.Crashes {
		crash, err := c.decode()
		if err != nil {
			return evidence{}, err
		}
		var fresh bool
		if crash.At, fresh = timeAt(now, c.Age, crashLifetime); fresh {
			e.crashes = append(e.crashes, crash)
		}
	}
	return e, nil
}

func (c crashRow) decode() (poison.Crash, error) {
	if c.UpstreamID == "" || len(c.UpstreamID) > maxUpstreamID || len(c.FailureDomain) > maxFailureDomainLength || c.Age < 0 || len(c.Prompts) == 0 {
		return poison.Crash{}, errors.Wrapf(errInvalidPartRow, "crash of %.64q in %.64q %d ms ago with %d prompts", c.UpstreamID, c.FailureDomain, c.Age, len(c.Prompts))
	}
	crash := poison.Crash{UpstreamID: c.UpstreamID, FailureDomain: c.FailureDomain}
	total := 0
	for _, encoded := range c.Prompts {
		parts, err := decodeParts(encoded)
		if err != nil {
			return poison.Crash{}, err
		}
		if total += len(parts) + 1; total > 2*maxRowParts {
			return poison.Crash{}, errors.Wrapf(errInvalidPartRow, "too many parts in the crash of %.64q", c.UpstreamID)
		}
		crash.Prompts = append(crash.Prompts, parts)
	}
	return crash, nil
}

func ageMS(now, at time.Time) int64 { return max(0, now.Sub(at).Milliseconds()) }

// timeAt returns the time of something with an age, and whether that still counts.
func timeAt(now time.Time, ageMS int64, lifetime time.Duration) (at time.Time, fresh bool) {
	if ageMS >= lifetime.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(ageMS) * time.Millisecond), true
}

// isPartRow reports whether a row belongs to the exchange of parts.
func isPartRow(key string) bool { return strings.HasPrefix(key, partKeyPrefix) }

// promptParts returns the distinct parts of the prompts of a crash in ascending order.
func promptParts(crash poison.Crash) []poison.Part {
	var parts []poison.Part
	for _, prompt := range crash.Prompts {
		parts = append(parts, prompt...)
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}
