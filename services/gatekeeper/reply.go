package gatekeeper

import (
	"container/heap"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/compactor"
	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// Reply is the reply of a backend server about an attempt.
type Reply struct {
	AttemptID     uint64
	BackendServer netip.AddrPort
	Incarnation   uint64
	Verb          encapsulator.Verb
	Cause         framer.Cause
}

// HandleReply updates the state of a request after a reply to its attempt. The forwarder relays an answer itself.
func (g *Gatekeeper) HandleReply(now time.Time, r Reply) Action {
	ms := g.advanceClock(now)
	e := g.entries[r.AttemptID>>8]
	if e == nil || e.attemptID() != r.AttemptID || e.state == stateConsumed || e.backendServer != compactor.Pack(r.BackendServer) {
		return Action{} // a late reply, or one to an earlier attempt that was refused
	}
	switch r.Verb {
	case encapsulator.VerbAccepted:
		// The attempt waits for a slot at the backend server and has not started.
		if e.state == stateSent {
			e.accepted = true
			heap.Fix(&g.dueQueue, int(e.queueIndex))
		}
	case encapsulator.VerbRunning:
		e.started = true
		e.retry = nil
		heap.Fix(&g.dueQueue, int(e.queueIndex))
	case encapsulator.VerbAnswer:
		e.started = true
		if e.state != stateNotRun {
			return g.resolve(e, stateAnswered, framer.CauseNone)
		}
	case encapsulator.VerbRefused:
		return g.handleRefusal(ms, e, r)
	case encapsulator.VerbCanceled:
		// A duplicate of the run datagram may still be in flight. A process that replaces the replying one does not know of
		// the cancel, and would run the duplicate unless it carries an incarnation.
		if g.provesNotRun(e, r) && e.incarnation != 0 {
			return g.resolve(e, stateNotRun, framer.CauseCanceled)
		}
	}
	return Action{}
}

// provesNotRun reports whether a reply proves that the current attempt has not started and never will.
func (g *Gatekeeper) provesNotRun(e *entry, r Reply) bool {
	return (e.state == stateSent || e.state == stateUnknown) && !e.started && e.existedAtSend(r.Incarnation)
}

// handleRefusal handles a refused attempt. Another attempt is allowed only after a cause for which the backend protocol
// guarantees that the request did not run; all other causes leave the attempt unresolved.
func (g *Gatekeeper) handleRefusal(now int64, e *entry, r Reply) Action {
	switch r.Cause {
	case framer.CauseShed, framer.CauseDraining, framer.CauseWrongService, framer.CauseExpired, framer.CauseRestarted:
	default:
		return Action{}
	}
	if !g.provesNotRun(e, r) {
		return Action{}
	}
	switch {
	case e.canceled:
		return g.resolve(e, stateNotRun, framer.CauseCanceled)
	case now >= e.deadline || r.Cause == framer.CauseExpired:
		return g.resolve(e, stateNotRun, framer.CauseExpired)
	case e.state == stateUnknown || int(e.attemptNumber) >= g.config.MaxAttempts:
		return g.resolve(e, stateNotRun, r.Cause)
	}
	e.retry.excludedServers = append(e.retry.excludedServers, r.BackendServer)
	return g.nextAttempt(e)
}
