package steerer

import "time"

// Passive health checks: the packets of callers give evidence against a backend server. Callers retransmit a packet that is not
// acknowledged within retransmitAfter, so a single retransmission may also be due to packet loss or to a slow answer. A backend
// server that hangs still acknowledges requests, which are not retransmitted then; callers abandon them.
const (
	// retransmitAfter is the initial retransmission timeout of callers. Links and the scheduling of this process shift the
	// arrival of the retransmission by up to retransmitJitter.
	retransmitAfter  = 200 * time.Millisecond
	retransmitJitter = 50 * time.Millisecond
	// suspectMinFlows is how many flows must retransmit packets, without an answer on any flow since, before a backend server
	// is suspected and gets no new flows. Packet loss affects one flow at a time.
	suspectMinFlows = 2
	// silentMinFlows and silentMinDuration are how many flows must retransmit packets, and for how long, before a backend server
	// is considered silent and its flows are reset. A backend server at a quarter of its speed still answers one of 10 queued
	// requests within this time. After a pause of this daemon, the packets that waited in its socket are read within a few ms, so
	// they can't fill this time.
	silentMinFlows    = 3
	silentMinDuration = 300 * time.Millisecond
	// silentMinStalled is how many of the silentMinFlows must be open flows. A backend server at its flow limit answers no
	// opening packet while its open flows may all be idle, and a single open flow may have lost a packet.
	silentMinStalled = 2
	// silentTTL is how long a backend server is considered silent after the last retransmission. A daemon that was partitioned
	// gets no further evidence after it has reset its flows; backend servers may well answer callers that the fabric sends to it
	// later.
	silentTTL = findingTTL
	// retransmitMin and retransmitMax bound the time until a packet is first retransmitted. Packets that arrive closer together
	// were delayed in transit.
	retransmitMin = retransmitAfter - retransmitJitter
	retransmitMax = retransmitAfter + retransmitJitter
	// suspectMinOpenings is how many opening packets in a row must stay unanswered before a backend server is suspected. A
	// crashed one resets its callers directly, so all that this daemon sees is that no further packet of the flow arrives.
	suspectMinOpenings = 2
	// suspectMinAbandoned is how many requests callers must abandon, each within abandonedWindow of the one before, for a backend
	// server to be suspected. One that hangs has the fewest open flows and would get all new ones. The window is longer than
	// callers wait for a short request (0.5 to 4 s).
	suspectMinAbandoned = 2
	abandonedWindow     = 5 * time.Second
	// trialIntervalMin and trialIntervalMax bound the time between trial flows: new flows that go to a suspected backend server
	// to find out whether it has recovered. The interval doubles with each trial: a failed one costs a caller 200 ms, and entries
	// of dead backend servers expire within 4 s.
	trialIntervalMin = 2 * time.Second
	trialIntervalMax = 16 * time.Second
)

// health is this daemon's own evidence against a backend server. Retransmissions by callers count against it; an answer on any
// flow clears them.
type health struct {
	ignoreObservations bool // no evidence is recorded
	// lastAnswer is when an answer of the backend server was last seen. Its entry may expire while it still serves callers.
	lastAnswer          time.Time
	lastRecentAnswer    time.Time     // as lastAnswer, but only for answers that the caller acknowledged at once
	retransmittingFlows int           // flows with retransmissions since the last answer
	stalledFlows        int           // open flows among retransmittingFlows
	firstRetransmission time.Time     // first retransmission since the last answer
	lastRetransmission  time.Time     // newest retransmission
	recentOpenings      int           // opening packets forwarded within roundTrip.openingTimeout, answered or not
	awaitedOpenings     int           // opening packets among recentOpenings whose answer is awaited
	unansweredOpenings  int           // unanswered opening packets since the last answered one
	abandonedRequests   int           // requests that callers abandoned, each within abandonedWindow of the one before
	lastAbandoned       time.Time     // when a request was last abandoned
	nextTrial           time.Time     // when the next trial flow is due, while suspected
	trialInterval       time.Duration // from the last trial flow to the next one
}

// recordRetransmission counts a flow that retransmits packets, once until the next answer on it.
func (h *health) recordRetransmission(now time.Time, f *flow) {
	if h.ignoreObservations {
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
	suspectedBefore := h.isSuspected(now)
	h.retransmittingFlows++
	if !f.handshaking {
		h.stalledFlows++
	}
	h.startTrials(now, suspectedBefore)
}

// startTrials schedules the first trial flow when the backend server has become suspected.
func (h *health) startTrials(now time.Time, suspectedBefore bool) {
	if !suspectedBefore && h.isSuspected(now) {
		h.trialInterval = trialIntervalMin
		h.nextTrial = now.Add(h.trialInterval)
	}
}

// recordUnansweredOpening counts the flow's opening packet, which was not answered in time.
func (h *health) recordUnansweredOpening(now time.Time, f *flow) {
	if h.ignoreObservations {
		return
	}
	suspectedBefore := h.isSuspected(now)
	h.unansweredOpenings++
	h.startTrials(now, suspectedBefore)
	h.recordRetransmission(now, f)
}

// recordAbandonedRequest counts a request that its caller abandoned: it closed the flow before an answer arrived.
func (h *health) recordAbandonedRequest(now time.Time) {
	if h.ignoreObservations {
		return
	}
	suspectedBefore := h.isSuspected(now)
	if now.Sub(h.lastAbandoned) > abandonedWindow {
		h.abandonedRequests = 0
	}
	h.abandonedRequests++
	h.lastAbandoned = now
	h.startTrials(now, suspectedBefore)
}

// recordAnswer clears the evidence of retransmissions after an answer on the flow.
func (h *health) recordAnswer(now time.Time, f *flow) {
	h.lastAnswer = now
	h.retransmittingFlows, h.stalledFlows = 0, 0
	f.countedRetransmitting = false
	if f.handshaking {
		h.unansweredOpenings = 0
	}
}

// isSuspected reports whether this daemon's own evidence suffices to give the backend server no new flows.
func (h *health) isSuspected(now time.Time) bool {
	return h.retransmittingFlows >= suspectMinFlows || h.unansweredOpenings >= suspectMinOpenings || h.isHanging(now)
}

// isHanging reports whether the backend server acknowledges requests but does not answer them.
func (h *health) isHanging(now time.Time) bool {
	return h.abandonedRequests >= suspectMinAbandoned && now.Sub(h.lastAbandoned) <= abandonedWindow
}

// isSilent reports whether this daemon's own evidence suffices to reset the flows of the backend server.
func (h *health) isSilent(now time.Time) bool {
	return h.retransmittingFlows >= silentMinFlows && h.stalledFlows >= silentMinStalled &&
		now.Sub(h.firstRetransmission) >= silentMinDuration && now.Sub(h.lastRetransmission) <= silentTTL
}

// isTrialDue reports whether the next trial flow is due.
func (h *health) isTrialDue(now time.Time) bool { return !now.Before(h.nextTrial) }

// scheduleNextTrial schedules the next trial flow after one was placed.
func (h *health) scheduleNextTrial(now time.Time) {
	h.trialInterval = min(2*h.trialInterval, trialIntervalMax)
	h.nextTrial = now.Add(h.trialInterval)
}
