package bench

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits   = 3
)

// durations is a histogram of durations.
type durations struct{ histogram *hdrhistogram.Histogram }

func newDurations() durations {
	return durations{hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)}
}

// record adds a duration, clamped to the range of the histogram.
func (d durations) record(value time.Duration) {
	microseconds := min(max(value.Microseconds(), lowestMicroseconds), highestMicroseconds)
	_ = d.histogram.RecordValue(microseconds) // within the range
}

func (d durations) merge(other durations) { d.histogram.Merge(other.histogram) }

func (d durations) count() int64 { return d.histogram.TotalCount() }

// percentileMS returns a percentile in milliseconds.
func (d durations) percentileMS(percentile float64) float64 {
	return float64(d.histogram.ValueAtPercentile(percentile)) / 1000
}

func (d durations) maxMS() float64 { return float64(d.histogram.Max()) / 1000 }

// percentileColumns are the titles of the columns that cells returns.
var percentileColumns = []string{"n", "p50 ms", "p95 ms", "p99 ms", "max ms"}

func (d durations) percentileCells() []any {
	return []any{d.count(), d.percentileMS(50), d.percentileMS(95), d.percentileMS(99), d.maxMS()}
}

// formatRange formats the minimum and maximum of a figure over several runs.
func formatRange(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	low, high := values[0], values[0]
	for _, v := range values {
		low, high = min(low, v), max(high, v)
	}
	return formatCell(low) + ".." + formatCell(high)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}

// line is a straight line fitted by least squares.
type line struct{ intercept, slope float64 }

func fitLine(x, y []float64) line {
	meanX, meanY := mean(x), mean(y)
	var products, squares float64
	for i := range x {
		products += (x[i] - meanX) * (y[i] - meanY)
		squares += (x[i] - meanX) * (x[i] - meanX)
	}
	if squares == 0 {
		return line{intercept: meanY}
	}
	slope := products / squares
	return line{intercept: meanY - slope*meanX, slope: slope}
}

func formatShare(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(whole))
}
