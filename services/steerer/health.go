package steerer

import "time"

// Evidence against a backend server. Callers repeat after repeatAfter what was not acknowledged, so one repetition may also be
// a loss or slow work. A backend server that hangs acknowledges requests too: nobody repeats them.
const (
	// repeatAfter is when callers repeat a packet first; repeatJitter is by how much links and this process move that.
	retransmitAfter  = 200 * time.Millisecond
	retransmitJitter = 50 * time.Millisecond
	// suspectFlows is how many flows must repeat packets, with no answer on any flow meanwhile, before a backend server
	// gets no new flows: a loss hits one flow at a time.
	suspectMinFlows = 2
	// silentFlows and silentFor are how many flows must repeat packets, and for how long, before a backend server counts
	// as silent and its flows are reset. One that works at a quarter of its speed still answers one of 10 queued requests
	// within this time; packets that waited in this daemon's socket while it was paused are read within a few ms.
	silentMinFlows    = 3
	silentMinDuration = 300 * time.Millisecond
	// stalledFlows is how many of the silentFlows must be open flows. A backend server that holds as many flows as it can answers
	// no opening packet, and its open flows may all be idle; one of them alone may have lost a packet.
	silentMinStalled = 2
	// silentMemory is how long silence is believed without another repetition. A daemon that was cut off learns nothing more of a
	// backend server once it has reset the flows there; callers that the fabric sends to it later may be served well.
	silentTTL = findingTTL
	// repeatSpacing and repeatMost are the shortest and the longest time until a packet is repeated. Copies closer together
	// were held up on the way.
	retransmitMin = retransmitAfter - retransmitJitter
	retransmitMax = retransmitAfter + retransmitJitter
	// refusedOpens is how many opening packets must stay without an answer, one after the other, before a backend server
	// gets no new flows. One that crashed resets its callers itself, which this daemon does not see: it sees only that
	// nothing follows.
	suspectMinOpenings = 2
	// purgeAfter is how long a backend server must have been silent before its idle flows are reset too: twice the time
	// for those that repeat packets, because an idle flow loses nothing by waiting.
	idleResetAfter = 2 * silentMinDuration
	// abandonments is how many requests callers must have given up within abandonMemory before a backend server gets no new flows:
	// one that hangs has the fewest open flows, and would get all new ones. abandonMemory is longer than callers wait for a
	// short request (0.5 to 4 s).
	suspectMinAbandoned = 2
	abandonedWindow     = 5 * time.Second
	// trialMin and trialMax bound the time between the new flows that a suspected backend server gets, which show whether
	// it is back. It doubles with each one: a failed trial costs a caller 200 ms, and entries of dead ones lapse within 4 s.
	trialIntervalMin = 2 * time.Second
	trialIntervalMax = 16 * time.Second
)

// health is what flows tell of a backend server: packets that callers repeat because nothing came back count against it,
// and any answer clears it.
type health struct {
	disabled bool // nothing counts
	// lastAnswer is the time of the last sign of life. An entry may lapse while its backend server lives and serves.
	lastAnswer          time.Time
	retransmittingFlows int           // flows that repeat packets since the last answer
	stalledFlows        int           // open flows among those
	firstRetransmission time.Time     // first repetition since the last answer
	lastRetransmission  time.Time     // newest repetition
	recentOpenings      int           // opening packets that were sent within roundTrip.late
	awaitedOpenings     int           // those among them without an answer
	unansweredOpenings  int           // opening packets without an answer since the last one that got one
	abandonedRequests   int           // requests that callers gave up, each within abandonMemory of the one before
	lastAbandoned       time.Time     // the newest of them
	nextTrial           time.Time     // next new flow while suspected
	trialInterval       time.Duration // time to the trial after that
}

// strike counts a flow that repeats packets.
func (h *health) recordRetransmission(now time.Time, f *flow) {
	if h.disabled {
		return
	}
	h.lastRetransmission = now
	if f.countedRetransmitting {
		return
	}
	f.countedRetransmitting = true
	if h.retransmittingFlows == 0 {
		h.firstRetransmission = now
	}
	suspectedBefore := h.suspected(now)
	h.retransmittingFlows++
	if !f.handshaking {
		h.stalledFlows++
	}
	h.startTrials(now, suspectedBefore)
}

// suspect sets the first trial when the backend server became suspected.
func (h *health) startTrials(now time.Time, suspectedBefore bool) {
	if !suspectedBefore && h.suspected(now) {
		h.trialInterval = trialIntervalMin
		h.nextTrial = now.Add(h.trialInterval)
	}
}

// unanswered counts an opening packet of the flow that got no answer in time.
func (h *health) recordUnansweredOpening(now time.Time, f *flow) {
	if h.disabled {
		return
	}
	suspectedBefore := h.suspected(now)
	h.unansweredOpenings++
	h.startTrials(now, suspectedBefore)
	h.recordRetransmission(now, f)
}

// gaveUp counts a request that its caller gave up: it closed the flow although no answer had come.
func (h *health) recordAbandonedRequest(now time.Time) {
	if h.disabled {
		return
	}
	suspectedBefore := h.suspected(now)
	if now.Sub(h.lastAbandoned) > abandonedWindow {
		h.abandonedRequests = 0
	}
	h.abandonedRequests++
	h.lastAbandoned = now
	h.startTrials(now, suspectedBefore)
}

// answered takes an answer on the flow.
func (h *health) recordAnswer(now time.Time, f *flow) {
	h.lastAnswer = now
	h.retransmittingFlows, h.stalledFlows = 0, 0
	f.countedRetransmitting = false
	if f.handshaking {
		h.unansweredOpenings = 0
	}
}

// suspected reports whether the backend server should get no new flows.
func (h *health) suspected(now time.Time) bool {
	return h.retransmittingFlows >= suspectMinFlows || h.unansweredOpenings >= suspectMinOpenings || h.hanging(now)
}

// failing reports whether the backend server leaves requests without an answer while it acknowledges them.
func (h *health) hanging(now time.Time) bool {
	return h.abandonedRequests >= suspectMinAbandoned && now.Sub(h.lastAbandoned) <= abandonedWindow
}

// silent reports whether the backend server certainly answers nobody.
func (h *health) silent(now time.Time) bool {
	return h.retransmittingFlows >= silentMinFlows && h.stalledFlows >= silentMinStalled && now.Sub(h.firstRetransmission) >= silentMinDuration && now.Sub(h.lastRetransmission) <= silentTTL
}

// trialDue reports whether a suspected backend server may get a new flow.
func (h *health) trialDue(now time.Time) bool { return !now.Before(h.nextTrial) }

// tried notes that a suspected backend server got a new flow.
func (h *health) trialSent(now time.Time) {
	h.trialInterval = min(2*h.trialInterval, trialIntervalMax)
	h.nextTrial = now.Add(h.trialInterval)
}
