package steerer

import "time"

const (
	// suspectStrikes is how many flows must repeat packets without an answer before a backend server is suspected. Single
	// losses on a link hit one flow at a time.
	suspectStrikes = 2
	// trialInterval is the time between new flows that a suspected backend server gets, which show whether it is back.
	trialInterval = 500 * time.Millisecond
)

// health is what flows tell of a backend server: packets that callers repeat because nothing came back count against it,
// and any answer clears it.
type health struct {
	strikes  int       // flows that repeat packets since the last answer
	answered time.Time // last sign of life
	struck   time.Time // last strike
	trial    time.Time // last new flow while suspected
}

func (h *health) strike(now time.Time, f *flow) {
	h.struck = now
	if !f.struck {
		f.struck = true
		h.strikes++
	}
}

func (h *health) progress(now time.Time, f *flow) {
	h.answered = now
	h.strikes = 0
	f.struck = false
}

func (h *health) suspected() bool { return h.strikes >= suspectStrikes }
