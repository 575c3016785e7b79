package examiner

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

// SetMembers replaces the membership view. A daemon that is not in the view, because it is leaving, checks no backend
// server. An empty view counts as one with this daemon alone.
func (e *Examiner) SetMembers(now time.Time, list []Member) {
	if len(list) == 0 {
		list = []Member{{Address: e.config.Self, Incarnation: e.config.Incarnation}}
	}
	changed := func(m Member) bool { old, known := e.incarnations[m.Address]; return !known || old != m.Incarnation }
	if len(list) == len(e.incarnations) && !slices.ContainsFunc(list, changed) {
		return
	}
	incarnations := make(map[netip.AddrPort]uint64, len(list))
	var added []checker
	for _, m := range list {
		incarnations[m.Address] = m.Incarnation
		if _, known := e.incarnations[m.Address]; !known {
			added = append(added, checker{m.Address, ranker.Hash(m.Address)})
		}
	}
	e.incarnations = incarnations
	departed := func(c checker) bool { _, ok := incarnations[c.address]; return !ok }
	e.members = append(slices.DeleteFunc(e.members, departed), added...)
	for _, s := range e.sortedServers {
		if slices.ContainsFunc(s.checkers, departed) {
			e.chooseCheckers(s)
			continue
		}
		for _, m := range added {
			s.considerChecker(m)
		}
	}
	for s := range e.watchedServers {
		e.changedServers[s] = true
	}
	e.assignChecks(now)
}

// chooseCheckers recomputes the checkers of s by rendezvous hashing over all members.
func (e *Examiner) chooseCheckers(s *serverState) {
	s.checkers = s.checkers[:0]
	for _, m := range e.members {
		s.considerChecker(m)
	}
}

// considerChecker makes a member one of the checkers of s if its rendezvous score is high enough.
func (s *serverState) considerChecker(m checker) {
	limit := remoteCheckers
	if s.inOwnZone {
		limit = LocalCheckers
	}
	m.score = ranker.PairScore(s.addressHash, m.score)
	compareRank := func(a, b checker) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.address.Compare(b.address))
	}
	i, _ := slices.BinarySearchFunc(s.checkers, m, compareRank)
	if i >= limit {
		return
	}
	s.checkers = slices.Insert(s.checkers, i, m)
	s.checkers = s.checkers[:min(limit, len(s.checkers))]
}

// assignChecks determines which backend servers this daemon checks, and the shortest intervals that keep its check rate
// within MaximumCheckRate.
func (e *Examiner) assignChecks(now time.Time) {
	e.assignedServers = e.assignedServers[:0]
	intervals := map[bool][]time.Duration{}
	for _, s := range e.sortedServers {
		assigned := slices.ContainsFunc(s.checkers, func(c checker) bool { return c.address == e.config.Self })
		if s.assigned && !assigned {
			e.withdrawReport(now, s)
		}
		if assigned {
			e.assignedServers = append(e.assignedServers, s)
			intervals[s.inOwnZone] = append(intervals[s.inOwnZone], s.configuredInterval())
			if !s.assigned {
				s.nextCheckAt = time.Time{}
			}
		}
		s.assigned = assigned
	}
	remoteRate := min(totalRate(intervals[false]), max(minimumRemoteCheckRate, MaximumCheckRate-totalRate(intervals[true])))
	e.minimumIntervals[true], e.minimumIntervals[false] =
		minimumInterval(intervals[true], MaximumCheckRate-remoteRate), minimumInterval(intervals[false], remoteRate)
	for _, s := range e.assignedServers {
		// Jitter: the first check is at a random time within the interval, so that the daemons' checks are not synchronized. The
		// same holds for the next check when the interval becomes shorter because other daemons took over checks.
		if interval := e.interval(s); s.nextCheckAt.IsZero() || s.nextCheckAt.Sub(now) > interval {
			s.nextCheckAt = now.Add(time.Duration(e.config.Random.Int64N(int64(interval))))
		}
	}
}

// totalRate returns the number of checks a second at the given intervals.
func totalRate(intervals []time.Duration) float64 {
	sum := 0.0
	for _, d := range intervals {
		sum += 1 / d.Seconds()
	}
	return sum
}

// minimumInterval returns the interval to which shorter ones must be lengthened for no more than rate checks a second, or 0
// if none must be. Only the shortest intervals are lengthened, so that a backend server with a long configured interval is
// not checked even less often.
func minimumInterval(intervals []time.Duration, rate float64) time.Duration {
	remainingRate := totalRate(intervals)
	if remainingRate <= rate {
		return 0
	}
	slices.Sort(intervals)
	for i, d := range intervals {
		remainingRate -= 1 / d.Seconds()
		if remainingRate >= rate {
			continue
		}
		minimum := time.Duration(float64(i+1) / (rate - remainingRate) * float64(time.Second))
		if i+1 == len(intervals) || minimum <= intervals[i+1] {
			return minimum
		}
	}
	return 0
}

// withdrawReport invalidates this daemon's report on a backend server that only other daemons check from now on.
func (e *Examiner) withdrawReport(now time.Time, s *serverState) {
	state := s.ownState
	s.ownState, s.consecutiveFailed, s.consecutivePassed = packer.HealthUnknown, 0, 0
	if state == packer.HealthUnknown {
		return
	}
	e.recordOwnReport(now, s, Result{})
	if state == packer.HealthLive {
		// Live is also the state without reports, so other daemons may let the report expire.
		e.cancelAnnouncement(reportKey{s.Address, e.config.Self})
	}
}
