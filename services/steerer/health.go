package steerer

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

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
	opening    int           // opening packets that were sent and not yet answered, within roundTrip.late
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

// Condition is what a daemon found out about a backend server.
type Condition uint8

// The conditions.
const (
	Answering Condition = iota // it answers again
	Suspected                  // it should get no new flows
	Silent                     // it answers nobody
)

var conditionNames = [...]string{"answering", "suspected", "silent"}

// String returns the name of the condition as logs spell it.
func (c Condition) String() string { return conditionNames[c] }

// Finding is the condition of one process of a backend server. Daemons of an availability zone tell each other: each sees
// only a part of the flows.
type Finding struct {
	Server      directory.ServerID
	Incarnation int64
	Condition   Condition
	// Evidence is what the daemon that found it had seen. Peers are told the condition only.
	Evidence Evidence
}

// Evidence is what speaks against a backend server.
type Evidence struct {
	Repeating  int           // flows that repeat packets since the last answer
	Unanswered int           // opening packets without an answer since the last one that got one
	Abandoned  int           // requests that callers gave up lately
	For        time.Duration // since the first repetition
}

func (h *health) evidence(now time.Time) Evidence {
	e := Evidence{Repeating: h.repeating, Unanswered: h.refused}
	if h.repeating > 0 {
		e.For = now.Sub(h.since)
	}
	if now.Sub(h.abandonAt) <= abandonMemory {
		e.Abandoned = h.abandoned
	}
	return e
}

const (
	// findingLife is how long the finding of a peer counts. The peer repeats it each findingInterval while it holds.
	findingLife     = 2500 * time.Millisecond
	findingInterval = time.Second
)

// reports is what peers found out about a backend server, and what they were told last.
type reports struct {
	suspected, silent time.Time // until when a peer's finding counts
	told              Condition
	toldAt            time.Time
}

// TakeFindings returns the conditions that peers should know of: new ones, and those that still hold after a while.
func (s *Steerer) TakeFindings(now time.Time) []Finding {
	var list []Finding
	for _, services := range s.services {
		for _, b := range services {
			c := b.condition(now)
			if c == b.told && (c == Answering || now.Sub(b.toldAt) < findingInterval) {
				continue
			}
			b.told, b.toldAt = c, now
			list = append(list, Finding{Server: b.ID, Incarnation: b.Incarnation, Condition: c, Evidence: b.evidence(now)})
		}
	}
	return list
}

// reported returns what peers' findings say of the backend server.
func (r *reports) reported(now time.Time) Condition {
	switch {
	case now.Before(r.silent):
		return Silent
	case now.Before(r.suspected):
		return Suspected
	}
	return Answering
}

// AddFinding takes the finding of a peer, and reports whether it changes what peers' findings say of the backend server.
func (s *Steerer) AddFinding(now time.Time, f Finding) bool {
	b := s.servers[f.Server]
	if b == nil || b.Incarnation != f.Incarnation {
		return false
	}
	before := b.reports.reported(now)
	switch f.Condition {
	case Answering:
		b.reports.suspected, b.reports.silent = time.Time{}, time.Time{}
	case Silent:
		b.reports.silent = now.Add(findingLife)
		fallthrough
	case Suspected:
		b.reports.suspected = now.Add(findingLife)
	}
	return b.reports.reported(now) != before
}

// condition returns what this daemon found out by itself.
func (b *server) condition(now time.Time) Condition {
	switch {
	case b.health.silent(now):
		return Silent
	case b.health.suspected(now):
		return Suspected
	}
	return Answering
}

// avoided reports whether the backend server should get no new flows, by the findings of this daemon and its peers.
func (b *server) avoided(now time.Time) bool {
	return b.health.suspected(now) || now.Before(b.reports.suspected)
}

// mute reports whether the flows of the backend server are to be reset. A peer's finding needs one own open flow that
// repeats packets: the peer may be cut off from a backend server that this daemon reaches.
func (b *server) mute(now time.Time) bool {
	return b.health.silent(now) || b.stalled > 0 && now.Before(b.reports.silent)
}
