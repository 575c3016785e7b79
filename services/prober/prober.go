// Package prober decides when a daemon probes a backend server (opens a TCP connection to it) and what the outcomes mean together with the
// evidence of flows. Two daemons of the availability zone probe a backend server, the first two of its aggregators. The package handles up
// to 1,024 backend servers with evidence. It uses no sockets, goroutines, clock or randomness. A Prober is not safe for concurrent use.
package prober

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// Probers is the number of daemons that probe a backend server: the link of one may be cut.
	Probers = 2
	// ServerInterval is the shortest time between two probes of a backend server by one daemon, and maxProbesPerSecond the number of
	// probes of one daemon in any second. Connections to backend servers are expensive in some deployments.
	ServerInterval     = time.Second
	maxProbesPerSecond = 10
	// conclusionTTL is how long a conclusion is valid. While it is, the next failed probe renews it without further evidence: flows of an
	// unreachable backend server end, and those that are left are idle.
	conclusionTTL = 2500 * time.Millisecond
	// backupDelay is how long the second prober waits for the outcome of the first. A connection within a zone and the message about it
	// take 3 ms. So a lost packet of a caller usually costs one probe, and the second prober is ready if the first has just probed.
	backupDelay = 6 * time.Millisecond
	// evidenceWindow is how long evidence and outcomes count: a caller retransmits again within it, and the next probe is due after it.
	evidenceWindow = 1200 * time.Millisecond
	// contradictionTime is how long evidence must be known before it leads to a conclusion, so that a daemon that has just seen an answer
	// contradicts it: two messages and the relays between them.
	contradictionTime = 30 * time.Millisecond
	// minFlows is the number of flows without an answer that must support the outcomes of both probers, and minFlowsOneProber that for the
	// outcome of one. With packet loss of 3% on each link and minFlows 1, the replay (tests/replay -faults 5) reset flows of a backend server
	// that was alive.
	minFlows          = 2
	minFlowsOneProber = 3
	// minFailures is the number of failed probes in a row that a conclusion needs: one of each prober, or two of one. If a probe
	// of the backend server, or minAccepted of any, were accepted within acceptedMemory before the first of them, packets are lost or backend
	// servers are slow, and minFailuresAfterAccept are needed, two rounds. A slow backend server always has flows
	// without an answer, so that only the probes show that it is alive; with packet loss of 3% both fail once in 280 rounds.
	minFailures            = 2
	minFailuresAfterAccept = 4
	minAccepted            = 2
	acceptedMemory         = 2 * time.Second
	// maxReports bounds the daemons whose evidence about one backend server is kept.
	maxReports = 16
	maxServers = 1024
)

// Outcome is the outcome of a probe.
type Outcome uint8

// The outcomes.
const (
	// Unknown is the outcome of a probe that shows nothing: the reference was not answered either, or this daemon was paused.
	Unknown Outcome = iota
	// Accepted means that the backend server accepted the connection.
	Accepted
	// Unanswered means that the backend server did not answer while the reference did.
	Unanswered
	// Refused means that the backend server refused the connection while the reference accepted one: the process is dead.
	Refused
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"unknown", "accepted", "unanswered", "refused"}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Outcomes returns all outcomes.
func Outcomes() []Outcome { return []Outcome{Unknown, Accepted, Unanswered, Refused} }

// IsValid reports whether o is one of the outcomes.
func (o Outcome) IsValid() bool { return o < outcomeCount }

// Combine returns the outcome of a probe from the outcomes of the connections to the backend server and to the reference.
func Combine(server, reference Outcome) Outcome {
	switch {
	case server == Accepted:
		return Accepted
	case server == Refused && reference == Accepted, server == Unanswered && (reference == Accepted || reference == Refused):
		return server
	}
	return Unknown
}

// report is the evidence of one daemon, or the outcome of its probe.
type report struct {
	from    netip.AddrPort
	flows   int
	outcome Outcome
	at      time.Time
}

// state is what is known about one backend server.
type state struct {
	incarnation   int64
	probedAt      time.Time // by this daemon
	evidenceSince time.Time // since when there is evidence that no answer has contradicted
	evidence      []report
	outcomes      []report
	acceptedAt    time.Time
	failures      int // failed probes in a row
	minFailures   int // that a conclusion needs
	concludedAt   time.Time
	unreachable   bool // according to the conclusion; neither an answer nor an accepted probe has contradicted it since
}

// Prober holds the evidence and the outcomes of probes. It is not safe for concurrent use.
type Prober struct {
	self    netip.AddrPort
	servers map[directory.ServerID]*state
	recent  []time.Time // probes of this daemon in the last second
	// accepted are the times of the last accepted probes of any backend server.
	accepted [minAccepted]time.Time
}

// New returns the Prober of the daemon with the address self.
func New(self netip.AddrPort) *Prober {
	return &Prober{self: self, servers: map[directory.ServerID]*state{}}
}

// AddFinding adds the finding of the daemon f.Origin, and returns when StartProbe should be called, the zero time if it should not. The rank
// is the place of this daemon among the aggregators of the backend server. A recent answer drops the evidence and the outcomes. Other answers do
// not: they may be from before the failure.
func (p *Prober) AddFinding(now time.Time, rank int, f *steerer.Finding) time.Time {
	s := p.state(f.Server, f.Incarnation)
	switch {
	case s == nil:
		return time.Time{}
	case f.Condition == steerer.Answering && f.Recent:
		s.clear()
		return time.Time{}
	case f.Evidence.RetransmittingFlows == 0:
		return time.Time{}
	}
	if count(now, s.evidence) == 0 {
		s.evidenceSince, s.failures = now, 0
	}
	s.evidence = store(now, s.evidence, report{from: f.Origin, flows: f.Evidence.RetransmittingFlows, at: now})
	if rank < 0 || rank >= Probers || now.Sub(s.probedAt) < ServerInterval {
		return time.Time{}
	}
	return now.Add(time.Duration(rank) * backupDelay)
}

// StartProbe reports whether this daemon should probe the backend server now: there is evidence, or the conclusion to which its probes have
// led is to be renewed, and the limits allow it.
func (p *Prober) StartProbe(now time.Time, server directory.ServerID) bool {
	s := p.servers[server]
	if s == nil || now.Sub(s.probedAt) < ServerInterval {
		return false
	}
	if renews := s.isUnreachable(now) && now.Sub(s.probedAt) <= conclusionTTL; !renews && count(now, s.evidence) == 0 {
		return false
	}
	for len(p.recent) > 0 && now.Sub(p.recent[0]) >= time.Second {
		p.recent = p.recent[1:]
	}
	if len(p.recent) >= maxProbesPerSecond {
		return false
	}
	p.recent = append(p.recent, now)
	s.probedAt = now
	return true
}

// AddOutcome adds the outcome of a probe by the daemon from. A connection clears the evidence: AddOutcome then returns the finding that the
// backend server is reachable.
func (p *Prober) AddOutcome(now time.Time, from netip.AddrPort, server directory.ServerID, incarnation int64, o Outcome) (steerer.Finding, bool) {
	s := p.state(server, incarnation)
	switch {
	case s == nil || o == Unknown:
	case o == Accepted:
		s.clear()
		s.acceptedAt = now
		copy(p.accepted[1:], p.accepted[:])
		p.accepted[0] = now
		return steerer.Finding{Server: server, Incarnation: incarnation, Condition: steerer.Reachable, Origin: p.self}, true
	default:
		if s.failures == 0 {
			s.minFailures = minFailures
			if now.Sub(s.acceptedAt) < acceptedMemory || now.Sub(p.accepted[minAccepted-1]) < acceptedMemory {
				s.minFailures = minFailuresAfterAccept
			}
		}
		s.failures++
		s.outcomes = store(now, s.outcomes, report{from: from, outcome: o, at: now})
	}
	return steerer.Finding{}, false
}

// Conclude returns the finding that the backend server is unreachable if the outcomes and the evidence show that, once in a second. A flow of
// another daemon than the prober must support the outcome of a single one. A failed probe since then suffices to renew the finding. If a
// later call may return the finding although nothing is added meanwhile, retry is the time for it.
func (p *Prober) Conclude(now time.Time, server directory.ServerID) (f steerer.Finding, ok bool, retry time.Time) {
	s := p.servers[server]
	if s == nil || now.Sub(s.concludedAt) < ServerInterval {
		return f, false, retry
	}
	flows, probers, renews := count(now, s.evidence), 0, false
	for _, o := range s.outcomes {
		if now.Sub(o.at) <= evidenceWindow {
			probers++
			renews = renews || s.isUnreachable(now) && o.at.After(s.concludedAt)
		}
	}
	if !renews && (probers == 0 || s.failures < s.minFailures || flows < minFlows ||
		probers < Probers && (flows < minFlowsOneProber || !s.hasOtherEvidence(now))) {
		return f, false, retry
	}
	if due := s.evidenceSince.Add(contradictionTime); now.Before(due) {
		return f, false, due
	}
	s.concludedAt, s.unreachable = now, true
	return steerer.Finding{Server: server, Incarnation: s.incarnation, Condition: steerer.Unreachable, Origin: p.self}, true, retry
}

// isUnreachable reports whether the last conclusion still holds.
func (s *state) isUnreachable(now time.Time) bool {
	return s.unreachable && now.Sub(s.concludedAt) <= conclusionTTL
}

// clear drops the evidence, the outcomes and the conclusion.
func (s *state) clear() {
	s.unreachable = false
	s.evidence, s.outcomes, s.failures, s.evidenceSince = s.evidence[:0], s.outcomes[:0], 0, time.Time{}
}

// Sweep drops the state of backend servers without evidence, probes and accepted probes that still count.
func (p *Prober) Sweep(now time.Time) {
	for id, s := range p.servers {
		if count(now, s.evidence) == 0 && now.Sub(s.probedAt) > ServerInterval && now.Sub(s.concludedAt) > conclusionTTL &&
			now.Sub(s.acceptedAt) > acceptedMemory {
			delete(p.servers, id)
		}
	}
}

// hasOtherEvidence reports whether a daemon that is no source of an outcome has a flow without an answer.
func (s *state) hasOtherEvidence(now time.Time) bool {
	for _, e := range s.evidence {
		other := now.Sub(e.at) <= evidenceWindow
		for _, o := range s.outcomes {
			other = other && o.from != e.from
		}
		if other {
			return true
		}
	}
	return false
}

// state returns the state of a backend server, nil if there is no room for it or the incarnation is an earlier one.
func (p *Prober) state(server directory.ServerID, incarnation int64) *state {
	s := p.servers[server]
	switch {
	case s == nil && len(p.servers) >= maxServers, s != nil && s.incarnation > incarnation:
		return nil
	case s == nil || s.incarnation < incarnation:
		s = &state{incarnation: incarnation}
		p.servers[server] = s
	}
	return s
}

// store stores the newest report of each daemon in place of expired ones.
func store(now time.Time, list []report, r report) []report {
	kept := list[:0]
	for _, old := range list {
		if old.from != r.from && now.Sub(old.at) <= evidenceWindow {
			kept = append(kept, old)
		}
	}
	if len(kept) >= maxReports {
		kept = kept[1:]
	}
	return append(kept, r)
}

// count returns the number of flows in the evidence that is still valid.
func count(now time.Time, list []report) int {
	n := 0
	for _, r := range list {
		if now.Sub(r.at) <= evidenceWindow {
			n += r.flows
		}
	}
	return n
}
