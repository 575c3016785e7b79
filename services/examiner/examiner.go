// Package examiner distributes the health checks of backend servers over the daemons of an availability zone and combines
// their reports to one state for each backend server. Daemons with the same membership view choose the same checkers, by
// rendezvous hashing. The package uses no sockets, goroutines or clock.
package examiner

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

const (
	// LocalCheckers is the number of daemons that check a backend server of their own availability zone: the smallest number
	// with a majority if one of them is wrong.
	LocalCheckers = 3
	// remoteCheckers is the number of daemons that check a backend server of another availability zone.
	remoteCheckers = 1
	// MaximumCheckRate is the largest number of checks a second of one daemon. It costs 1.7 KB/s at 335 B a check.
	MaximumCheckRate = 5
	// checkSpacing is the shortest time between the starts of two checks.
	checkSpacing = time.Second / MaximumCheckRate
	// minimumRemoteCheckRate is the part of MaximumCheckRate reserved for checks of backend servers in other zones, if they need
	// it.
	minimumRemoteCheckRate = 1
	// StateChangeThreshold is the number of consecutive failed checks after which a checker reports a backend server as failed,
	// and of consecutive passed checks after which it no longer does.
	StateChangeThreshold = 3
	// DefaultInterval is the time between two checks of a backend server whose Interval is not set.
	DefaultInterval = time.Second
)

// Server is a backend server with a health address.
type Server struct {
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Interval         time.Duration // between two checks by one checker; lengthened if MaximumCheckRate requires it
}

// Member is a live daemon of the own availability zone that is not leaving.
type Member struct {
	Address     netip.AddrPort
	Incarnation uint64
}

// Result is the outcome of one check.
type Result struct {
	// State is live, warming or draining, or failed if the endpoint gave no valid answer.
	State           packer.Health
	Incarnation     uint64
	Running, Queued int
}

// Config configures an Examiner.
type Config struct {
	Self             netip.AddrPort // peer address
	AvailabilityZone string
	Incarnation      uint64 // process start time in Unix ms
	Random           *rand.Rand
}

// serverState is the state of one backend server.
type serverState struct {
	Server
	addressHash uint64
	inOwnZone   bool
	checkers    []checker // highest score first
	assigned    bool      // this daemon is one of the checkers

	nextCheckAt                          time.Time     // next check by this daemon
	consecutiveFailed, consecutivePassed int           // checks by this daemon
	ownState                             packer.Health // by the checks of this daemon

	reports            []*storedReport
	highestIncarnation uint64        // in any report
	combinedState      packer.Health // by the reports of all checkers, as last returned by HealthUpdates
	deliveredIncarnation,
	deliveredCounter uint64 // incarnation, and counter of the load report, last returned by HealthUpdates
	deliveredAt     time.Time // when HealthUpdates last returned this backend server
	repeatLiveUntil time.Time // until then HealthUpdates repeats the state live
}

// checker is a member with its rendezvous score for one backend server.
type checker struct {
	address netip.AddrPort
	score   uint64
}

// Examiner runs one daemon's part of the health checks. It is not safe for concurrent use.
type Examiner struct {
	config          Config
	servers         map[netip.AddrPort]*serverState
	sortedServers   []*serverState            // by address
	assignedServers []*serverState            // those that this daemon checks
	members         []checker                 // score is the hash of the address
	incarnations    map[netip.AddrPort]uint64 // of the members

	nextCheckAt      time.Time
	minimumIntervals map[bool]time.Duration // shortest intervals within MaximumCheckRate, by serverState.inOwnZone

	reportCounter uint64          // of the last report by this daemon
	announcements []*announcement // least often sent first
	refreshQueue  []reportKey     // reports to send again in the current round
	// watchedServers are the backend servers whose combined state may change without a new report or has to be repeated.
	watchedServers map[*serverState]bool
	changedServers map[*serverState]bool // since the last HealthUpdates
	nonLiveReports int                   // valid reports of states other than live
	counts         Counts
}

// Counts holds counters of events since the start and gauges of the present state.
type Counts struct {
	Checks, FailedChecks, ReportsSent, ReportsAccepted, ReportsIgnored uint64
	// AssignedServers is the number of backend servers that this daemon checks, NonLiveReports the number of valid reports of
	// states other than live.
	AssignedServers, NonLiveReports int
}

// New returns an Examiner without backend servers and with this daemon as the only member.
func New(c Config) *Examiner {
	e := &Examiner{
		config: c, servers: make(map[netip.AddrPort]*serverState), minimumIntervals: make(map[bool]time.Duration),
		reportCounter: c.Incarnation, watchedServers: make(map[*serverState]bool), changedServers: make(map[*serverState]bool),
	}
	e.SetMembers(time.Time{}, nil)
	return e
}

// Counts returns the counters and gauges.
func (e *Examiner) Counts() Counts {
	c := e.counts
	c.AssignedServers, c.NonLiveReports = len(e.assignedServers), e.nonLiveReports
	return c
}

// Checkers returns the daemons that check a backend server by this daemon's membership view, highest score first.
func (e *Examiner) Checkers(address netip.AddrPort) []netip.AddrPort {
	s, ok := e.servers[address]
	if !ok {
		return nil
	}
	list := make([]netip.AddrPort, 0, len(s.checkers))
	for _, c := range s.checkers {
		list = append(list, c.address)
	}
	return list
}

// NextCheck returns the backend server to check now, if a check is due.
func (e *Examiner) NextCheck(now time.Time) (netip.AddrPort, bool) {
	if now.Before(e.nextCheckAt) {
		return netip.AddrPort{}, false
	}
	var next *serverState
	for _, s := range e.assignedServers {
		if !now.Before(s.nextCheckAt) && (next == nil || s.nextCheckAt.Before(next.nextCheckAt)) {
			next = s
		}
	}
	if next == nil {
		return netip.AddrPort{}, false
	}
	e.nextCheckAt = now.Add(checkSpacing)
	next.nextCheckAt = now.Add(e.interval(next))
	e.counts.Checks++
	return next.Address, true
}

// interval returns the time between two checks of s: the configured interval if the last checks contradict its state, and
// otherwise one that keeps to MaximumCheckRate.
func (e *Examiner) interval(s *serverState) time.Duration {
	if s.checksContradictState() {
		return s.configuredInterval()
	}
	return max(s.configuredInterval(), e.minimumIntervals[s.inOwnZone])
}

// configuredInterval returns the interval from the settings.
func (s *serverState) configuredInterval() time.Duration {
	if s.Interval <= 0 {
		return DefaultInterval
	}
	return s.Interval
}

// checksContradictState reports whether the last check contradicts ownState.
func (s *serverState) checksContradictState() bool {
	if s.ownState == packer.HealthFailed {
		return s.consecutivePassed > 0
	}
	return s.consecutiveFailed > 0
}

// RecordResult records the result of a check of a backend server that NextCheck returned.
func (e *Examiner) RecordResult(now time.Time, address netip.AddrPort, r Result) {
	s, ok := e.servers[address]
	if !ok || !s.assigned {
		return
	}
	if r.State == packer.HealthFailed {
		e.counts.FailedChecks++
		s.consecutiveFailed, s.consecutivePassed = s.consecutiveFailed+1, 0
		if s.consecutiveFailed >= StateChangeThreshold {
			s.ownState = packer.HealthFailed
		}
	} else {
		s.consecutiveFailed, s.consecutivePassed = 0, s.consecutivePassed+1
		if s.ownState != packer.HealthFailed || s.consecutivePassed >= StateChangeThreshold {
			s.ownState = r.State
		}
	}
	if earlier := now.Add(s.configuredInterval()); s.checksContradictState() && earlier.Before(s.nextCheckAt) {
		s.nextCheckAt = earlier
	}
	if s.ownState == packer.HealthUnknown {
		return
	}
	e.recordOwnReport(now, s, r)
}

// SetServers replaces the backend servers. One that stays keeps its state, unless its service or availability zone changes.
func (e *Examiner) SetServers(now time.Time, list []Server) {
	previous := e.servers
	e.servers, e.sortedServers = make(map[netip.AddrPort]*serverState, len(list)), e.sortedServers[:0]
	for _, listed := range list {
		if _, duplicate := e.servers[listed.Address]; duplicate {
			continue
		}
		s := previous[listed.Address]
		if s == nil || s.Service != listed.Service || s.AvailabilityZone != listed.AvailabilityZone {
			s = &serverState{addressHash: ranker.Hash(listed.Address), inOwnZone: listed.AvailabilityZone == e.config.AvailabilityZone}
			s.Server = listed
			e.chooseCheckers(s)
		}
		s.Server = listed
		e.servers[listed.Address] = s
		e.sortedServers = append(e.sortedServers, s)
	}
	for address, s := range previous {
		if e.servers[address] != s {
			delete(e.watchedServers, s)
			delete(e.changedServers, s)
		}
	}
	slices.SortFunc(e.sortedServers, func(a, b *serverState) int { return a.Address.Compare(b.Address) })
	e.assignChecks(now)
}
