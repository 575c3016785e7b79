package recorder

import (
	"time"

	"go.uber.org/zap"
)

// budgetInterval is the time to which the budget of lines and bytes applies. After it, lines over the budget are written as one
// aggregated line of each kind.
const budgetInterval = time.Second

// kind identifies the log lines that share a budget: those with the same message and the same outcome or change.
type kind struct{ message, outcome string }

// usage is how much of its budget one kind has used in the current interval.
type usage struct {
	lines, bytes, aggregated int
	last                     string // subject of the latest aggregated line
}

// budget limits the log lines of each kind.
type budget struct {
	maxLines, maxBytes int // per interval and kind; 0 bytes means no limit
	usages             map[kind]*usage
	intervalStart      time.Time
}

// allow charges the budget of a kind with a line of at most size bytes and reports whether the line may be written. A line over
// the budget is counted as aggregated; subject returns the flow, route or backend server that it names.
func (b *budget) allow(k kind, size int, subject func() string) bool {
	u := b.usages[k]
	if u == nil {
		u = &usage{}
		b.usages[k] = u
	}
	if u.lines >= b.maxLines || b.maxBytes > 0 && u.bytes+size > b.maxBytes {
		u.aggregated++
		u.last = subject()
		return false
	}
	u.lines++
	u.bytes += size
	return true
}

// intervalOver reports whether the current interval has ended.
func (b *budget) intervalOver(now time.Time) bool { return now.Sub(b.intervalStart) >= budgetInterval }

// startInterval writes one line for the aggregated lines of each kind and starts a new interval.
func (b *budget) startInterval(now time.Time, logger *zap.Logger) {
	for k, u := range b.usages {
		if u.aggregated > 0 {
			logger.Info(MessageAggregated, zap.String("of", k.message), zap.String("cause", k.outcome), zap.Int("count", u.aggregated), zap.String("last", u.last))
		}
		*u = usage{}
	}
	b.intervalStart = now
}
