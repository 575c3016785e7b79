// Package examiner divides the health checks of backend servers among the daemons of an availability zone and joins
// their reports to a verdict for each backend server. Daemons with the same members choose the same checkers by
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
	// LocalCheckers is the number of daemons that check a backend server of their own availability zone: the least number of
	// which one can be wrong.
	LocalCheckers = 3
	// remoteCheckers is the number of daemons that check a backend server of another availability zone.
	remoteCheckers = 1
	// MaximumCheckRate is the largest number of checks a second of one daemon: 1.7 KB/s at 335 B a check.
	MaximumCheckRate = 5
	// spacing is the least time between the starts of two checks.
	spacing = time.Second / MaximumCheckRate
	// remoteRate is the part of Rate that checks of other availability zones get at least, if they need it.
	remoteRate = 1
	// StateChangeThreshold is the number of failed checks in a row after which a checker reports a backend server as failed, and of
	// passed ones after which it no longer does.
	StateChangeThreshold = 3
	// DefaultInterval is the time between two checks of a backend server whose Interval is not set.
	DefaultInterval = time.Second
)

// Server is a backend server with a health address.
type Server struct {
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Interval         time.Duration // between two checks by one checker; lengthened when Rate requires it
}

// Member is a live daemon of the own availability zone that is not leaving.
type Member struct {
	Address     netip.AddrPort
	Incarnation uint64
}

// Result is the outcome of one check.
type Result struct {
	// State is live, warming, draining or, when the endpoint gave no valid answer, failed.
	State           packer.Health
	Incarnation     uint64
	Running, Queued int
}

// Config holds what an Examiner is made of.
type Config struct {
	Self             netip.AddrPort // peer address
	AvailabilityZone string
	Incarnation      uint64 // process start time in Unix ms
	Random           *rand.Rand
}

type server struct {
	Server
	hash     uint64
	local    bool
	checkers []checker // highest rank first
	mine     bool

	due            time.Time // of the next own check
	failed, passed int       // own checks in a row
	state          packer.Health

	reports     []*held
	incarnation uint64 // largest reported
	verdict     packer.Health
	toldIncarnation,
	toldCounter uint64
	asserted    time.Time // when the verdict was last told
	assertUntil time.Time // until then a good verdict is told again
}

type checker struct {
	address netip.AddrPort
	score   uint64
}

// Examiner is the part of one daemon in the health checks. It is not safe for concurrent use.
type Examiner struct {
	c       Config
	servers map[netip.AddrPort]*server
	order   []*server // by address
	own     []*server // those to check
	members []checker // score holds the hash of the address
	live    map[netip.AddrPort]uint64

	nextCheckAt time.Time
	least       map[bool]time.Duration // least check interval that keeps to Rate, by server.local

	counter  uint64
	queue    []*news
	rotation []key
	// watched are the backend servers whose verdict may change with time or has to be told again.
	watched    map[*server]bool
	changed    map[*server]bool // since the last Verdicts
	exceptions int              // valid reports of other states than live
	counts     Counts
}

// Counts are the events since the start, and the duties of now.
type Counts struct {
	Checks, FailedChecks, ReportsSent, ReportsAccepted, ReportsIgnored uint64
	// AssignedServers is the number of backend servers that this daemon checks, NonLiveReports that of valid reports of backend
	// servers that are not live.
	AssignedServers, NonLiveReports int
}

// New returns an Examiner without backend servers that knows of no other daemon.
func New(c Config) *Examiner {
	x := &Examiner{
		c: c, servers: make(map[netip.AddrPort]*server), least: make(map[bool]time.Duration), counter: c.Incarnation,
		watched: make(map[*server]bool), changed: make(map[*server]bool),
	}
	x.SetMembers(time.Time{}, nil)
	return x
}

// Counts returns the counters.
func (x *Examiner) Counts() Counts {
	c := x.counts
	c.AssignedServers, c.NonLiveReports = len(x.own), x.exceptions
	return c
}

// Checkers returns the daemons that check a backend server according to this daemon's view, highest rank first.
func (x *Examiner) Checkers(address netip.AddrPort) []netip.AddrPort {
	s, ok := x.servers[address]
	if !ok {
		return nil
	}
	list := make([]netip.AddrPort, 0, len(s.checkers))
	for _, c := range s.checkers {
		list = append(list, c.address)
	}
	return list
}

// NextCheck returns the backend server to check now, if one is due.
func (x *Examiner) NextCheck(now time.Time) (netip.AddrPort, bool) {
	if now.Before(x.nextCheckAt) {
		return netip.AddrPort{}, false
	}
	var next *server
	for _, s := range x.own {
		if !now.Before(s.due) && (next == nil || s.due.Before(next.due)) {
			next = s
		}
	}
	if next == nil {
		return netip.AddrPort{}, false
	}
	x.nextCheckAt = now.Add(spacing)
	next.due = now.Add(x.interval(next))
	x.counts.Checks++
	return next.Address, true
}

// interval returns the time between two checks of s. One whose state is in doubt is checked at its shortest interval.
func (x *Examiner) interval(s *server) time.Duration {
	if s.inDoubt() {
		return s.baseInterval()
	}
	return max(s.baseInterval(), x.least[s.local])
}

func (s *server) baseInterval() time.Duration {
	if s.Interval <= 0 {
		return DefaultInterval
	}
	return s.Interval
}

// inDoubt reports whether the last checks contradict the state.
func (s *server) inDoubt() bool {
	if s.state == packer.HealthFailed {
		return s.passed > 0
	}
	return s.failed > 0
}

// RecordResult takes the result of a check that Due asked for.
func (x *Examiner) RecordResult(now time.Time, address netip.AddrPort, r Result) {
	s, ok := x.servers[address]
	if !ok || !s.mine {
		return
	}
	if r.State == packer.HealthFailed {
		x.counts.FailedChecks++
		s.failed, s.passed = s.failed+1, 0
		if s.failed >= StateChangeThreshold {
			s.state = packer.HealthFailed
		}
	} else {
		s.failed, s.passed = 0, s.passed+1
		if s.state != packer.HealthFailed || s.passed >= StateChangeThreshold {
			s.state = r.State
		}
	}
	if soon := now.Add(s.baseInterval()); s.inDoubt() && soon.Before(s.due) {
		s.due = soon
	}
	if s.state == packer.HealthUnknown {
		return
	}
	x.report(now, s, r)
}

// SetServers replaces the backend servers. What is known of one that stays is kept, unless its service changes.
func (x *Examiner) SetServers(now time.Time, list []Server) {
	former := x.servers
	x.servers, x.order = make(map[netip.AddrPort]*server, len(list)), x.order[:0]
	for _, c := range list {
		if _, twice := x.servers[c.Address]; twice {
			continue
		}
		s := former[c.Address]
		if s == nil || s.Service != c.Service || s.AvailabilityZone != c.AvailabilityZone {
			s = &server{hash: ranker.Hash(c.Address), local: c.AvailabilityZone == x.c.AvailabilityZone}
			s.Server = c
			x.rank(s)
		}
		s.Server = c
		x.servers[c.Address] = s
		x.order = append(x.order, s)
	}
	for address, s := range former {
		if x.servers[address] != s {
			delete(x.watched, s)
			delete(x.changed, s)
		}
	}
	slices.SortFunc(x.order, func(a, b *server) int { return a.Address.Compare(b.Address) })
	x.assign(now)
}
