package steerer

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

// Condition is the health of a backend server as a daemon has found it.
type Condition uint8

// The conditions.
const (
	Answering    Condition = iota // it answers its callers
	Suspected                     // it should get no new flows
	Silent                        // it answers no caller; its flows are to be reset
	Inconclusive                  // flows got no answer, maybe because of packet loss; peers add this evidence to their own
	Unreachable                   // probes of two daemons and flows got no answer; all its flows are to be reset, idle ones too
	Reachable                     // it accepted a probe; its flows are kept, though it may be slow
)

var conditionNames = [...]string{"answering", "suspected", "silent", "doubted", "unreachable", "reachable"}

// String returns the name of the condition in logs.
func (c Condition) String() string { return conditionNames[c] }

// Finding is the condition of one incarnation of a backend server. The daemons of an availability zone exchange findings, because
// each of them sees only a part of the flows.
type Finding struct {
	Server      directory.ServerID
	Incarnation int64
	Condition   Condition
	// Origin is the address of the peer that sent the finding; it is not valid in a finding of this daemon.
	Origin netip.AddrPort
	// Aggregated is set if the evidence is the sum of that of the daemons of the availability zone.
	Aggregated bool
	// Recent is set in a finding that the backend server answers if the answer is certainly not from before the evidence.
	Recent bool
	// Evidence is what the finding rests on. Only RetransmittingFlows and StalledFlows are sent to peers.
	Evidence Evidence
}

// Evidence is a daemon's evidence against a backend server.
type Evidence struct {
	RetransmittingFlows int           // flows with retransmissions since the last answer
	StalledFlows        int           // open flows among RetransmittingFlows
	UnansweredOpenings  int           // unanswered opening packets since the last answered one
	AbandonedRequests   int           // requests that callers have recently abandoned
	Duration            time.Duration // since the first retransmission
}

// evidence returns this daemon's own evidence.
func (h *health) evidence(now time.Time) Evidence {
	e := Evidence{RetransmittingFlows: h.retransmittingFlows, StalledFlows: h.stalledFlows, UnansweredOpenings: h.unansweredOpenings}
	if h.retransmittingFlows > 0 {
		e.Duration = now.Sub(h.firstRetransmission)
	}
	if now.Sub(h.lastAbandoned) <= abandonedWindow {
		e.AbandonedRequests = h.abandonedRequests
	}
	return e
}

const (
	// findingTTL is how long the finding of a peer is valid. The peer repeats it every findingInterval while it holds.
	findingTTL      = 2500 * time.Millisecond
	findingInterval = time.Second
	// reachableTTL is how long an accepted probe keeps the flows of a backend server. While evidence against it lasts, two daemons probe it
	// every second; two of these probes may be lost.
	reachableTTL = 2500 * time.Millisecond
	// probedResetAfter is how long the flows of this daemon must retransmit before they are reset without a finding of probes, where
	// probes are known to work: those of two rounds have been lost or not been made then.
	probedResetAfter = 1500 * time.Millisecond
)

// peerFindings holds the findings of peers about a backend server, and the condition that this daemon last announced to them.
type peerFindings struct {
	suspectedUntil, silentUntil time.Time // when the findings of peers expire
	unreachableUntil            time.Time // when the finding of probes expires
	reachableUntil              time.Time // until when a probe that was accepted keeps flows
	announcedCondition          Condition
	announcedAt                 time.Time
	jointEvidence
}

// TakeFindings returns the findings to announce to peers: new ones, and every findingInterval those that still hold. Inconclusive
// evidence is withheld while this daemon seems to be isolated.
func (s *Steerer) TakeFindings(now time.Time) []Finding {
	var list []Finding
	isolated := s.isIsolated(now)
	for _, servers := range s.serversByService {
		for _, b := range servers {
			c := b.ownCondition(now)
			if c == Inconclusive && isolated {
				c = Answering
			}
			if !b.announcementDue(now, c) {
				continue
			}
			b.announcedCondition, b.announcedAt, b.contradicted = c, now, false
			recent := c == Answering && now.Sub(b.lastRecentAnswer) <= contradictionWindow
			list = append(list, Finding{Server: b.ID, Incarnation: b.Incarnation, Condition: c, Recent: recent, Evidence: b.evidence(now)})
		}
	}
	return list
}

// announcementDue reports whether the condition is to be announced to peers now.
func (b *backendServer) announcementDue(now time.Time, c Condition) bool {
	switch {
	case c != Answering:
		return c != b.announcedCondition || now.Sub(b.announcedAt) >= findingInterval
	case b.announcedCondition == Inconclusive && !b.lastAnswer.After(b.announcedAt):
		b.announcedCondition = Answering // the evidence has expired without an answer, so there is nothing to announce
		return b.contradicted
	}
	return b.announcedCondition != Answering || b.contradicted
}

// reportedCondition returns the condition of the backend server by the findings of peers.
func (p *peerFindings) reportedCondition(now time.Time) Condition {
	switch {
	case now.Before(p.unreachableUntil):
		return Unreachable
	case now.Before(p.silentUntil):
		return Silent
	case now.Before(p.suspectedUntil):
		return Suspected
	}
	return Answering
}

// AddFinding adds the finding of a peer, and reports whether it changes the condition of the backend server by the findings of
// peers.
func (s *Steerer) AddFinding(now time.Time, f Finding) bool {
	b := s.servers[f.Server]
	if b == nil || b.Incarnation != f.Incarnation {
		return false
	}
	conditionBefore := b.peerFindings.reportedCondition(now)
	if f.Evidence.RetransmittingFlows > 0 {
		b.addPeerEvidence(now, &f)
		s.evidenceChanged = s.evidenceChanged || b.contradicted
	}
	switch f.Condition {
	case Answering:
		b.peerFindings.suspectedUntil, b.peerFindings.silentUntil = time.Time{}, time.Time{}
		if f.Recent {
			b.unreachableUntil = time.Time{}
		}
		b.discardEvidence(now)
	case Unreachable:
		s.probed = true
		if now.Sub(b.lastRecentAnswer) < contradictionWindow {
			b.contradicted, s.evidenceChanged = true, true
			return false
		}
		b.unreachableUntil, b.reachableUntil = now.Add(findingTTL), time.Time{}
		fallthrough
	case Silent:
		b.peerFindings.silentUntil = now.Add(findingTTL)
		fallthrough
	case Suspected:
		b.peerFindings.suspectedUntil = now.Add(findingTTL)
	case Reachable:
		s.probed = true
		b.reachableUntil, b.unreachableUntil = now.Add(reachableTTL), time.Time{}
	}
	return b.peerFindings.reportedCondition(now) != conditionBefore
}

// ownCondition returns the condition of the backend server by this daemon's own evidence.
func (b *backendServer) ownCondition(now time.Time) Condition {
	switch {
	case b.health.isSilent(now):
		return Silent
	case b.health.isSuspected(now):
		return Suspected
	case b.retransmittingFlows > 0 && now.Sub(b.lastRetransmission) <= evidenceTTL:
		return Inconclusive
	}
	return Answering
}

// isSuspectedByAny reports whether the backend server should get no new flows, by this daemon's evidence, the findings of its
// peers or the joint evidence.
func (b *backendServer) isSuspectedByAny(now time.Time) bool {
	return b.health.isSuspected(now) || now.Before(b.peerFindings.suspectedUntil) || now.Before(b.unreachableUntil) || b.isJointlySuspected(now)
}

// isSilentByAny reports whether the flows of the backend server are to be reset. Findings of peers and joint evidence apply only
// when an open flow of this daemon retransmits packets too: a partition may separate the peers, but not this daemon, from the
// backend server. Probes of two daemons that reach other backend servers rule that out.
func (b *backendServer) isSilentByAny(now time.Time) bool {
	switch {
	case now.Before(b.unreachableUntil):
		return true
	case now.Before(b.reachableUntil), *b.probed && now.Sub(b.health.firstRetransmission) < probedResetAfter:
		return false
	}
	return b.health.isSilent(now) || b.stalledFlows > 0 && (now.Before(b.peerFindings.silentUntil) || b.isJointlySilent(now))
}
