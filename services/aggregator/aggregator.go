// Package aggregator adds up the evidence of the daemons of an availability zone against backend servers. Three daemons of the zone,
// the aggregators of a backend server, get the evidence; they send what it amounts to, once for the whole zone. The package handles
// the evidence of up to 400 daemons about up to 1,024 backend servers. It uses no sockets, goroutines, clock or randomness. An
// Aggregator is not safe for concurrent use.
package aggregator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// Aggregators is the number of aggregators of a backend server: two may be down or cut off at the same time.
	Aggregators = 3
	// rankDelay is how long an aggregator waits for each one that precedes it in the order of the server's aggregators. It covers the
	// relays of a finding to a zone of 420 daemons (three hops) on busy VMs.
	rankDelay = 50 * time.Millisecond
	// evidenceWindow is how long the evidence of a daemon counts. A daemon repeats it every second while it holds; the rest covers the
	// interval at which it takes its evidence.
	evidenceWindow = 1200 * time.Millisecond
	// repeatInterval is the interval at which a finding is sent again while new evidence arrives. Findings expire after 1.2 s or more.
	repeatInterval = time.Second
	// announcedTTL is how long daemons keep a finding at most.
	announcedTTL = 2500 * time.Millisecond
	// contradictionMemory is how long after an answer a weak finding is sent once per repeatInterval at most. The flows of a slow backend
	// server give evidence and answers many times a second.
	contradictionMemory = 2 * time.Second
	// maxReporters bounds the daemons whose evidence about one backend server is kept. It is more than the thresholds need.
	maxReporters = 16
	// maxServers bounds the backend servers with evidence: those of a large zone.
	maxServers = 1024
	// minRetransmittingFlows is the sum from which on daemons act on evidence: one flow may have lost a packet.
	minRetransmittingFlows = 2
	// resetMinFlows and resetMinStalled are the sums from which on flows may be reset. They are those of package steerer.
	resetMinFlows   = 3
	resetMinStalled = 2
)

// Choose returns the aggregators of a backend server among the members, in their order. Daemons with the same members choose the same
// ones, and a member that joins or leaves moves only its own duties.
func Choose(server directory.ServerID, members []netip.AddrPort) []netip.AddrPort {
	type scored struct {
		address netip.AddrPort
		score   uint64
	}
	var top [Aggregators + 1]scored
	n := 0
	key := ranker.Mix(uint64(server))
	for _, m := range members {
		top[n] = scored{m, ranker.PairScore(key, ranker.Hash(m))}
		for i := n; i > 0 && cmp.Or(cmp.Compare(top[i].score, top[i-1].score), top[i-1].address.Compare(top[i].address)) > 0; i-- {
			top[i], top[i-1] = top[i-1], top[i]
		}
		n = min(n+1, Aggregators)
	}
	chosen := make([]netip.AddrPort, n)
	for i := range chosen {
		chosen[i] = top[i].address
	}
	return chosen
}

// report is what one daemon has reported about a backend server.
type report struct {
	from                    netip.AddrPort
	condition               steerer.Condition
	retransmitting, stalled int
	at                      time.Time
}

// level orders what the evidence about a backend server amounts to.
type level uint8

const (
	levelNone        level = iota // nothing, or too little to act on
	levelDoubt                    // a single flow; sent only where backend servers are probed, so that daemons contradict it
	levelSuspect                  // no new flows
	levelResets                   // flows that retransmit may be reset if no answer contradicts
	levelConfirmed                // a daemon has found by its own flows that the backend server is silent
	levelUnreachable              // probes confirm it
)

// evidence is the evidence about one backend server.
type evidence struct {
	incarnation    int64
	reports        []report
	rank           int       // of this daemon among the aggregators
	changed        bool      // since the finding was last sent
	dueAt          time.Time // when a finding is to be sent; zero if none is
	sent           level     // of the finding that the daemons of the zone have, sent by this or another aggregator
	sentAt         time.Time
	sentBy         netip.AddrPort
	reachableAt    time.Time // when the finding that the backend server accepted a probe is to be sent; zero if it is not
	contradictedAt time.Time // when a daemon last reported a recent answer
	answering      bool      // the finding to send is that the backend server answers
	recent         bool      // and that the answer is recent
	doubts         bool      // as in Aggregator
}

// Aggregator adds up the evidence that the daemons of an availability zone report to this one.
type Aggregator struct {
	self    netip.AddrPort
	doubts  bool // findings on the evidence of single flows are sent too
	servers map[directory.ServerID]*evidence
}

// New returns the Aggregator of the daemon with the address self. It has no evidence. With doubts it
// also sends findings on the evidence of a single flow, for daemons that probe backend servers.
func New(self netip.AddrPort, doubts bool) *Aggregator {
	return &Aggregator{self: self, doubts: doubts, servers: map[directory.ServerID]*evidence{}}
}

// Add adds the finding of the daemon f.Origin. The rank is the place of this daemon among the aggregators of the backend server, from 0.
func (a *Aggregator) Add(now time.Time, rank int, f *steerer.Finding) {
	e := a.entry(f)
	if e == nil {
		return
	}
	e.rank = rank
	if f.Condition == steerer.Reachable {
		if e.reachableAt.IsZero() {
			e.reachableAt = now.Add(e.delay())
		}
		return
	}
	if f.Condition == steerer.Answering {
		e.reports = e.reports[:0]
		e.dueAt, e.changed, e.answering = time.Time{}, false, e.sent > levelNone && now.Sub(e.sentAt) < announcedTTL
		e.recent = f.Recent
		if f.Recent {
			e.contradictedAt = now
		}
		if e.answering {
			e.dueAt = now.Add(e.delay())
		}
		return
	}
	e.store(report{f.Origin, f.Condition, f.Evidence.RetransmittingFlows, f.Evidence.StalledFlows, now})
	e.changed = true
	reached, _ := e.summarize(now)
	switch {
	case reached > e.sentLevel(now):
		due := now
		if reached < levelResets && now.Sub(e.contradictedAt) < contradictionMemory {
			due = later(now, e.sentAt.Add(repeatInterval))
		}
		e.schedule(due.Add(e.delay()))
	case reached > levelNone:
		e.schedule(e.sentAt.Add(repeatInterval + e.delay()))
	}
}

// Receivers returns to which of the members the finding of this daemon about a backend server goes: to all aggregators of the server, or to
// the one that has recently told the zone that flows may be reset, and those that probe it. The others would only receive the repetitions.
func (a *Aggregator) Receivers(now time.Time, f *steerer.Finding, members []netip.AddrPort) []netip.AddrPort {
	e := a.servers[f.Server]
	if f.Condition != steerer.Answering && e != nil && e.incarnation == f.Incarnation && e.sentLevel(now) >= levelResets && slices.Contains(members, e.sentBy) {
		if !a.doubts {
			return []netip.AddrPort{e.sentBy}
		}
		probers := Choose(f.Server, members)[:2] // probe again while the evidence lasts
		if slices.Contains(probers, e.sentBy) {
			return probers
		}
		return append(probers, e.sentBy)
	}
	return Choose(f.Server, members)
}

// Heard records a finding that another aggregator, f.Origin, has sent to the zone.
func (a *Aggregator) Heard(now time.Time, f *steerer.Finding) {
	e := a.entry(f)
	if e == nil {
		return
	}
	if f.Condition == steerer.Answering {
		*e = evidence{incarnation: e.incarnation, rank: e.rank, sentAt: now, contradictedAt: e.contradictedAt, doubts: e.doubts}
		if f.Recent {
			e.contradictedAt = now
		}
		return
	}
	if f.Condition == steerer.Reachable {
		e.reachableAt = time.Time{}
		return
	}
	heard := e.levelOf(f.Condition, f.Evidence.RetransmittingFlows, f.Evidence.StalledFlows)
	if reached, _ := e.summarize(now); heard >= reached {
		e.dueAt, e.changed = time.Time{}, false
	}
	e.sent, e.sentAt, e.sentBy, e.answering = heard, now, f.Origin, false
}

// Due returns the findings to send to the whole zone now.
func (a *Aggregator) Due(now time.Time) []steerer.Finding {
	var list []steerer.Finding
	for id, e := range a.servers {
		if !e.reachableAt.IsZero() && !now.Before(e.reachableAt) {
			e.reachableAt = time.Time{}
			list = append(list, steerer.Finding{Server: id, Incarnation: e.incarnation, Condition: steerer.Reachable, Aggregated: true, Origin: a.self})
		}
		if e.dueAt.IsZero() || now.Before(e.dueAt) {
			if e.dueAt.IsZero() && e.reachableAt.IsZero() && now.Sub(e.sentAt) > announcedTTL && !e.hasReports(now) {
				delete(a.servers, id)
			}
			continue
		}
		e.dueAt = time.Time{}
		reached, f := e.summarize(now)
		if !e.answering && (reached == levelNone || !e.changed) {
			continue
		}
		if e.answering && reached == levelNone {
			f = steerer.Finding{Condition: steerer.Answering, Recent: e.recent}
		}
		f.Server, f.Incarnation, f.Aggregated, f.Origin = id, e.incarnation, true, a.self
		e.sent, e.sentAt, e.sentBy, e.changed, e.answering = reached, now, a.self, false, false
		list = append(list, f)
	}
	slices.SortFunc(list, func(f, g steerer.Finding) int { return cmp.Compare(f.Server, g.Server) })
	return list
}

// NextDue returns when Due is to be called next, the zero time if nothing is due.
func (a *Aggregator) NextDue() time.Time {
	var next time.Time
	for _, e := range a.servers {
		for _, due := range []time.Time{e.dueAt, e.reachableAt} {
			if !due.IsZero() && (next.IsZero() || due.Before(next)) {
				next = due
			}
		}
	}
	return next
}

// entry returns the evidence about the backend server of the finding, nil if there is no room for it or the finding is about an earlier
// incarnation.
func (a *Aggregator) entry(f *steerer.Finding) *evidence {
	e := a.servers[f.Server]
	switch {
	case e == nil && len(a.servers) >= maxServers, e != nil && e.incarnation > f.Incarnation:
		return nil
	case e == nil || e.incarnation < f.Incarnation:
		e = &evidence{incarnation: f.Incarnation, doubts: a.doubts}
		a.servers[f.Server] = e
	}
	return e
}

// store stores the newest report of each daemon. At maxReporters daemons it replaces the oldest.
func (e *evidence) store(r report) {
	oldest := 0
	for i := range e.reports {
		if e.reports[i].from == r.from {
			e.reports[i] = r
			return
		}
		if e.reports[i].at.Before(e.reports[oldest].at) {
			oldest = i
		}
	}
	if len(e.reports) < maxReporters {
		e.reports = append(e.reports, r)
	} else {
		e.reports[oldest] = r
	}
}

func (e *evidence) hasReports(now time.Time) bool {
	return slices.ContainsFunc(e.reports, func(r report) bool { return now.Sub(r.at) <= evidenceWindow })
}

// summarize returns what the valid reports amount to.
func (e *evidence) summarize(now time.Time) (level, steerer.Finding) {
	var f steerer.Finding
	for _, r := range e.reports {
		if now.Sub(r.at) > evidenceWindow {
			continue
		}
		if severity(r.condition) > severity(f.Condition) {
			f.Condition = r.condition
		}
		if r.condition != steerer.Silent && r.condition != steerer.Unreachable { // its evidence is contained in the condition
			f.Evidence.RetransmittingFlows += r.retransmitting
			f.Evidence.StalledFlows += r.stalled
		}
	}
	return e.levelOf(f.Condition, f.Evidence.RetransmittingFlows, f.Evidence.StalledFlows), f
}

// severity orders the conditions.
func severity(c steerer.Condition) int {
	return slices.Index([]steerer.Condition{steerer.Answering, steerer.Inconclusive, steerer.Suspected, steerer.Silent, steerer.Unreachable}, c)
}

func (e *evidence) levelOf(c steerer.Condition, retransmitting, stalled int) level {
	switch {
	case c == steerer.Unreachable:
		return levelUnreachable
	case c == steerer.Silent:
		return levelConfirmed
	case c == steerer.Answering:
		return levelNone
	case retransmitting >= resetMinFlows && stalled >= resetMinStalled:
		return levelResets
	case c == steerer.Suspected, retransmitting >= minRetransmittingFlows:
		return levelSuspect
	case e.doubts && retransmitting > 0:
		return levelDoubt
	}
	return levelNone
}

// sentLevel returns the level of the finding that the daemons of the zone still have.
func (e *evidence) sentLevel(now time.Time) level {
	if now.Sub(e.sentAt) > evidenceWindow {
		return levelNone
	}
	return e.sent
}

func (e *evidence) delay() time.Duration { return time.Duration(e.rank) * rankDelay }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *evidence) schedule(at time.Time) {
	if e.dueAt.IsZero() || at.Before(e.dueAt) {
		e.dueAt = at
	}
}
