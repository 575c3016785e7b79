package examiner

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

// SetMembers replaces the membership view. A daemon that is missing in it, because it is leaving, checks nothing, unless
// the view is empty.
func (x *Examiner) SetMembers(now time.Time, list []Member) {
	if len(list) == 0 {
		list = []Member{{Address: x.c.Self, Incarnation: x.c.Incarnation}}
	}
	changed := func(m Member) bool { former, known := x.live[m.Address]; return !known || former != m.Incarnation }
	if len(list) == len(x.live) && !slices.ContainsFunc(list, changed) {
		return
	}
	live := make(map[netip.AddrPort]uint64, len(list))
	var added []checker
	for _, m := range list {
		live[m.Address] = m.Incarnation
		if _, known := x.live[m.Address]; !known {
			added = append(added, checker{m.Address, ranker.Hash(m.Address)})
		}
	}
	x.live = live
	gone := func(c checker) bool { _, ok := live[c.address]; return !ok }
	x.members = append(slices.DeleteFunc(x.members, gone), added...)
	for _, s := range x.order {
		if slices.ContainsFunc(s.checkers, gone) {
			x.rank(s)
			continue
		}
		for _, m := range added {
			s.offer(m)
		}
	}
	for s := range x.watched {
		x.changed[s] = true
	}
	x.assign(now)
}

// rank chooses the checkers of s anew.
func (x *Examiner) rank(s *server) {
	s.checkers = s.checkers[:0]
	for _, m := range x.members {
		s.offer(m)
	}
}

// offer takes a member among the checkers if its rank is high enough.
func (s *server) offer(m checker) {
	limit := remoteCheckers
	if s.local {
		limit = Checkers
	}
	m.score = ranker.PairScore(s.hash, m.score)
	above := func(a, b checker) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.address.Compare(b.address))
	}
	i, _ := slices.BinarySearchFunc(s.checkers, m, above)
	if i >= limit {
		return
	}
	s.checkers = slices.Insert(s.checkers, i, m)
	s.checkers = s.checkers[:min(limit, len(s.checkers))]
}

// assign determines the own checks and how far their intervals must be lengthened.
func (x *Examiner) assign(now time.Time) {
	x.own = x.own[:0]
	intervals := map[bool][]time.Duration{}
	for _, s := range x.order {
		mine := slices.ContainsFunc(s.checkers, func(c checker) bool { return c.address == x.c.Self })
		if s.mine && !mine {
			x.withdraw(now, s)
		}
		if mine {
			x.own = append(x.own, s)
			intervals[s.local] = append(intervals[s.local], s.baseInterval())
			if !s.mine {
				s.due = time.Time{}
			}
		}
		s.mine = mine
	}
	remote := min(demand(intervals[false]), max(remoteRate, Rate-demand(intervals[true])))
	x.least[true], x.least[false] = leastInterval(intervals[true], Rate-remote), leastInterval(intervals[false], remote)
	for _, s := range x.own {
		// The first check comes at a random point of the interval, so that daemons do not check in step. So does the next
		// one when the interval becomes shorter because others have taken over checks.
		if interval := x.interval(s); s.due.IsZero() || s.due.Sub(now) > interval {
			s.due = now.Add(time.Duration(x.c.Random.Int64N(int64(interval))))
		}
	}
}

// demand returns the checks a second at the given intervals.
func demand(intervals []time.Duration) float64 {
	sum := 0.0
	for _, d := range intervals {
		sum += 1 / d.Seconds()
	}
	return sum
}

// leastInterval returns how far intervals must be lengthened for no more than rate checks a second, 0 when not at all.
// The shortest ones are lengthened first, so that one that is checked seldom by the settings is not checked ever less.
func leastInterval(intervals []time.Duration, rate float64) time.Duration {
	rest := demand(intervals)
	if rest <= rate {
		return 0
	}
	slices.Sort(intervals)
	for i, d := range intervals {
		rest -= 1 / d.Seconds()
		if rest >= rate {
			continue
		}
		least := time.Duration(float64(i+1) / (rate - rest) * float64(time.Second))
		if i+1 == len(intervals) || least <= intervals[i+1] {
			return least
		}
	}
	return 0
}

// withdraw ends the own reports of a backend server that others check from now on.
func (x *Examiner) withdraw(now time.Time, s *server) {
	state := s.state
	s.state, s.failed, s.passed = packer.HealthUnknown, 0, 0
	if state == packer.HealthUnknown {
		return
	}
	x.report(now, s, Result{})
	if state == packer.HealthLive {
		x.unqueue(key{s.Address, x.c.Self}) // a report of a live backend server can lapse
	}
}
