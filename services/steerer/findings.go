package steerer

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

// Condition is what a daemon found out about a backend server.
type Condition uint8

// The conditions.
const (
	Answering    Condition = iota // it answers again
	Suspected                     // it should get no new flows
	Silent                        // it answers nobody
	Inconclusive                  // a flow got no answer, which may be a loss: it counts together with what peers see
)

var conditionNames = [...]string{"answering", "suspected", "silent", "doubted"}

// String returns the name of the condition as logs spell it.
func (c Condition) String() string { return conditionNames[c] }

// Finding is the condition of one process of a backend server. Daemons of an availability zone tell each other: each sees
// only a part of the flows.
type Finding struct {
	Server      directory.ServerID
	Incarnation int64
	Condition   Condition
	// Origin is the address of the peer that found it, not valid for an own finding.
	Origin netip.AddrPort
	// Evidence is what the daemon that found it had seen. Peers are told how many flows repeat packets.
	Evidence Evidence
}

// Evidence is what speaks against a backend server.
type Evidence struct {
	RetransmittingFlows int           // flows that repeat packets since the last answer
	StalledFlows        int           // open flows among those
	UnansweredOpenings  int           // opening packets without an answer since the last one that got one
	AbandonedRequests   int           // requests that callers gave up lately
	Duration            time.Duration // since the first repetition
}

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
	// findingLife is how long the finding of a peer counts. The peer repeats it each findingInterval while it holds.
	findingTTL      = 2500 * time.Millisecond
	findingInterval = time.Second
)

// reports is what peers found out about a backend server, and what they were told last.
type peerFindings struct {
	suspectedUntil, silentUntil time.Time // until when a peer's finding counts
	announcedCondition          Condition
	announcedAt                 time.Time
	jointEvidence
}

// TakeFindings returns the conditions that peers should know of: new ones, and those that still hold after a while.
func (s *Steerer) TakeFindings(now time.Time) []Finding {
	var list []Finding
	isolated := s.isolated(now)
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
			list = append(list, Finding{Server: b.ID, Incarnation: b.Incarnation, Condition: c, Evidence: b.evidence(now)})
		}
	}
	return list
}

// toTell reports whether peers should be told the condition now.
func (b *backendServer) announcementDue(now time.Time, c Condition) bool {
	switch {
	case c != Answering:
		return c != b.announcedCondition || now.Sub(b.announcedAt) >= findingInterval
	case b.announcedCondition == Inconclusive && !b.lastAnswer.After(b.announcedAt):
		b.announcedCondition = Answering // the doubt has expired, which is no answer
		return b.contradicted
	}
	return b.announcedCondition != Answering || b.contradicted
}

// reported returns what peers' findings say of the backend server.
func (r *peerFindings) reportedCondition(now time.Time) Condition {
	switch {
	case now.Before(r.silentUntil):
		return Silent
	case now.Before(r.suspectedUntil):
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
	conditionBefore := b.peerFindings.reportedCondition(now)
	if f.Evidence.RetransmittingFlows > 0 {
		b.addPeerEvidence(now, &f)
	}
	switch f.Condition {
	case Answering:
		b.peerFindings.suspectedUntil, b.peerFindings.silentUntil = time.Time{}, time.Time{}
		b.discard(now)
	case Silent:
		b.peerFindings.silentUntil = now.Add(findingTTL)
		fallthrough
	case Suspected:
		b.peerFindings.suspectedUntil = now.Add(findingTTL)
	}
	return b.peerFindings.reportedCondition(now) != conditionBefore
}

// condition returns what this daemon found out by itself.
func (b *backendServer) ownCondition(now time.Time) Condition {
	switch {
	case b.health.silent(now):
		return Silent
	case b.health.suspected(now):
		return Suspected
	case b.retransmittingFlows > 0 && now.Sub(b.lastRetransmission) <= evidenceTTL:
		return Inconclusive
	}
	return Answering
}

// avoided reports whether the backend server should get no new flows, by the findings of this daemon and its peers.
func (b *backendServer) suspectedByAny(now time.Time) bool {
	return b.health.suspected(now) || now.Before(b.peerFindings.suspectedUntil) || b.jointlySuspected(now)
}

// mute reports whether the flows of the backend server are to be reset. Findings of peers need one own open flow that
// repeats packets: the peers may be cut off from a backend server that this daemon reaches.
func (b *backendServer) silentByAny(now time.Time) bool {
	return b.health.silent(now) || b.stalledFlows > 0 && (now.Before(b.peerFindings.silentUntil) || b.jointlySilent(now))
}
