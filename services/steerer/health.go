package steerer

import "time"

// Evidence against a backend server. Callers repeat after repeatAfter what was not acknowledged, so one repetition may also be
// a loss or slow work. A backend server that hangs acknowledges requests too: nobody repeats them.
const (
	// repeatAfter is when callers repeat a packet first; repeatJitter is by how much links and this process move that.
	repeatAfter  = 200 * time.Millisecond
	repeatJitter = 50 * time.Millisecond
	// suspectFlows is how many flows must repeat packets, with no answer on any flow meanwhile, before a backend server
	// gets no new flows: a loss hits one flow at a time.
	suspectFlows = 2
	// silentFlows and silentFor are how many flows must repeat packets, and for how long, before a backend server counts
	// as silent and its flows are reset. One that works at a quarter of its speed still answers one of 10 queued requests
	// within this time; packets that waited in this daemon's socket while it was paused are read within a few ms.
	silentFlows = 3
	silentFor   = 300 * time.Millisecond
	// stalledFlows is how many of the silentFlows must be open flows. A backend server that holds as many flows as it can answers
	// no opening packet, and its open flows may all be idle; one of them alone may have lost a packet.
	stalledFlows = 2
	// silentMemory is how long silence is believed without another repetition. A daemon that was cut off learns nothing more of a
	// backend server once it has reset the flows there; callers that the fabric sends to it later may be served well.
	silentMemory = findingLife
	// repeatSpacing and repeatMost are the shortest and the longest time until a packet is repeated. Copies closer together
	// were held up on the way.
	repeatSpacing = repeatAfter - repeatJitter
	repeatMost    = repeatAfter + repeatJitter
	// refusedOpens is how many opening packets must stay without an answer, one after the other, before a backend server
	// gets no new flows. One that crashed resets its callers itself, which this daemon does not see: it sees only that
	// nothing follows.
	refusedOpens = 2
	// purgeAfter is how long a backend server must have been silent before its idle flows are reset too: twice the time
	// for those that repeat packets, because an idle flow loses nothing by waiting.
	purgeAfter = 2 * silentFor
	// abandonments is how many requests callers must have given up within abandonMemory before a backend server gets no new flows:
	// one that hangs has the fewest open flows, and would get all new ones. abandonMemory is longer than callers wait for a
	// short request (0.5 to 4 s).
	abandonments  = 2
	abandonMemory = 5 * time.Second
	// trialMin and trialMax bound the time between the new flows that a suspected backend server gets, which show whether
	// it is back. It doubles with each one: a failed trial costs a caller 200 ms, and entries of dead ones lapse within 4 s.
	trialMin = 2 * time.Second
	trialMax = 16 * time.Second
)

// health is what flows tell of a backend server: packets that callers repeat because nothing came back count against it,
// and any answer clears it.
type health struct {
	ignore bool // nothing counts
	// lastAnswer is the time of the last sign of life. An entry may lapse while its backend server lives and serves.
	lastAnswer time.Time
	repeating  int           // flows that repeat packets since the last answer
	stalled    int           // open flows among those
	since      time.Time     // first repetition since the last answer
	newest     time.Time     // newest repetition
	opening    int           // opening packets that were sent within roundTrip.late
	unopened   int           // those among them without an answer
	refused    int           // opening packets without an answer since the last one that got one
	abandoned  int           // requests that callers gave up, each within abandonMemory of the one before
	abandonAt  time.Time     // the newest of them
	trial      time.Time     // next new flow while suspected
	trialGap   time.Duration // time to the trial after that
}

// strike counts a flow that repeats packets.
func (h *health) strike(now time.Time, f *flow) {
	if h.ignore {
		return
	}
	h.newest = now
	if f.struck {
		return
	}
	f.struck = true
	if h.repeating == 0 {
		h.since = now
	}
	before := h.suspected(now)
	h.repeating++
	if !f.opening {
		h.stalled++
	}
	h.suspect(now, before)
}

// suspect sets the first trial when the backend server became suspected.
func (h *health) suspect(now time.Time, before bool) {
	if !before && h.suspected(now) {
		h.trialGap = trialMin
		h.trial = now.Add(h.trialGap)
	}
}

// unanswered counts an opening packet of the flow that got no answer in time.
func (h *health) unanswered(now time.Time, f *flow) {
	if h.ignore {
		return
	}
	before := h.suspected(now)
	h.refused++
	h.suspect(now, before)
	h.strike(now, f)
}

// gaveUp counts a request that its caller gave up: it closed the flow although no answer had come.
func (h *health) gaveUp(now time.Time) {
	if h.ignore {
		return
	}
	before := h.suspected(now)
	if now.Sub(h.abandonAt) > abandonMemory {
		h.abandoned = 0
	}
	h.abandoned++
	h.abandonAt = now
	h.suspect(now, before)
}

// answered takes an answer on the flow.
func (h *health) answered(now time.Time, f *flow) {
	h.lastAnswer = now
	h.repeating, h.stalled = 0, 0
	f.struck = false
	if f.opening {
		h.refused = 0
	}
}

// suspected reports whether the backend server should get no new flows.
func (h *health) suspected(now time.Time) bool {
	return h.repeating >= suspectFlows || h.refused >= refusedOpens || h.failing(now)
}

// failing reports whether the backend server leaves requests without an answer while it acknowledges them.
func (h *health) failing(now time.Time) bool {
	return h.abandoned >= abandonments && now.Sub(h.abandonAt) <= abandonMemory
}

// silent reports whether the backend server certainly answers nobody.
func (h *health) silent(now time.Time) bool {
	return h.repeating >= silentFlows && h.stalled >= stalledFlows && now.Sub(h.since) >= silentFor && now.Sub(h.newest) <= silentMemory
}

// trialDue reports whether a suspected backend server may get a new flow.
func (h *health) trialDue(now time.Time) bool { return !now.Before(h.trial) }

// tried notes that a suspected backend server got a new flow.
func (h *health) tried(now time.Time) {
	h.trialGap = min(2*h.trialGap, trialMax)
	h.trial = now.Add(h.trialGap)
}
