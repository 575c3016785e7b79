package gatekeeper

import (
	"container/heap"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/compactor"
	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// Reply is what a backend server said about an attempt.
type Reply struct {
	AttemptID     uint64
	BackendServer netip.AddrPort
	Incarnation   uint64
	Verb          encapsulator.Verb
	Cause         framer.Cause
}

// HandleReply handles a reply to an attempt. The answer itself is relayed by the forwarder.
func (g *Gatekeeper) HandleReply(now time.Time, r Reply) Action {
	ms := g.advance(now)
	e := g.entries[r.AttemptID>>8]
	if e == nil || e.attempt() != r.AttemptID || e.state == burnt || e.server != compactor.Pack(r.BackendServer) {
		return Action{} // late, or about an attempt that was refused before
	}
	switch r.Verb {
	case encapsulator.VerbAccepted:
		// The attempt waits for a slot and has not begun.
		if e.state == sent {
			e.held = true
			heap.Fix(&g.queue, int(e.index))
		}
	case encapsulator.VerbRunning:
		e.begun = true
		e.draft = nil
		heap.Fix(&g.queue, int(e.index))
	case encapsulator.VerbAnswer:
		e.begun = true
		if e.state != notRun {
			return g.resolve(e, answered, framer.CauseNone)
		}
	case encapsulator.VerbRefused:
		return g.refused(ms, e, r)
	case encapsulator.VerbCanceled:
		// The run datagram may still be under way. Only its incarnation keeps a successor of the replying process, which
		// would not know of the cancel, from running it.
		if g.promised(e, r) && e.incarnation != 0 {
			return g.resolve(e, notRun, framer.CauseCanceled)
		}
	}
	return Action{}
}

// promised reports whether a reply proves that the open attempt did not begin and never will.
func (g *Gatekeeper) promised(e *entry, r Reply) bool {
	return (e.state == sent || e.state == unknown) && !e.begun && e.trusts(r.Incarnation)
}

// refused handles a refusal. Only the causes for which the backend protocol promises that nothing ran allow another
// attempt; all others leave the attempt unresolved.
func (g *Gatekeeper) refused(now int64, e *entry, r Reply) Action {
	switch r.Cause {
	case framer.CauseShed, framer.CauseDraining, framer.CauseWrongService, framer.CauseExpired, framer.CauseRestarted:
	default:
		return Action{}
	}
	if !g.promised(e, r) {
		return Action{}
	}
	switch {
	case e.canceled:
		return g.resolve(e, notRun, framer.CauseCanceled)
	case now >= e.deadline || r.Cause == framer.CauseExpired:
		return g.resolve(e, notRun, framer.CauseExpired)
	case e.state == unknown || int(e.try) >= g.config.MaxAttempts:
		return g.resolve(e, notRun, r.Cause)
	}
	e.draft.tried = append(e.draft.tried, r.BackendServer)
	return g.nextAttempt(e)
}
