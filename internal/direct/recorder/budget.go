package recorder

import (
	"time"

	"go.uber.org/zap"
)

// joinInterval is the time in which a budget of lines and bytes may be used, and after which joined lines are written.
const joinInterval = time.Second

// kind is what lines have in common that share a budget: the message and the outcome or change that it tells.
type kind struct{ message, outcome string }

// tally is what one kind has used of its budget in the current interval.
type tally struct {
	lines, bytes, joined int
	last                 string // what the newest joined line would have told of
}

// budget bounds the lines of each kind.
type budget struct {
	lines, bytes int // an interval and kind; 0 bytes mean no bound
	tallies      map[kind]*tally
	began        time.Time
}

// take uses the budget of a kind for a line of at most size bytes. Without any left, the line is counted as joined: about is
// what it would have told of.
func (b *budget) take(k kind, size int, about func() string) bool {
	t := b.tallies[k]
	if t == nil {
		t = &tally{}
		b.tallies[k] = t
	}
	if t.lines >= b.lines || b.bytes > 0 && t.bytes+size > b.bytes {
		t.joined++
		t.last = about()
		return false
	}
	t.lines++
	t.bytes += size
	return true
}

// due reports whether the interval is over.
func (b *budget) due(now time.Time) bool { return now.Sub(b.began) >= joinInterval }

// renew writes a line for the joined ones of each kind, and begins a new interval.
func (b *budget) renew(now time.Time, to *zap.Logger) {
	for k, t := range b.tallies {
		if t.joined > 0 {
			to.Info(MessageAggregated, zap.String("of", k.message), zap.String("cause", k.outcome), zap.Int("count", t.joined), zap.String("last", t.last))
		}
		*t = tally{}
	}
	b.began = now
}
