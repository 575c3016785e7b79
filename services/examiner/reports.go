package examiner

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

const (
	// A report is valid for at least minimumReportLifetime and at most maximumReportLifetime. In between, it is valid for
	// renewalsPerLifetime times the time in which all reports of states other than live can be renewed.
	minimumReportLifetime = 60 * time.Second
	maximumReportLifetime = 10 * time.Minute
	// reportRenewalTime is the time needed to renew one report in the whole zone: with 200 B in each datagram, an availability
	// zone of 420 daemons spreads about one announcement a second.
	reportRenewalTime = time.Second
	// renewalsPerLifetime is the number of renewals within the lifetime of a report, so that two of them may be lost.
	renewalsPerLifetime = 3
	// transmitMultiplier times the binary logarithm of the number of members is the number of times that each daemon sends an
	// announcement.
	transmitMultiplier = 2
	// refreshBytes bounds the reports of a datagram without announcements. It has room for four of this daemon's own.
	refreshBytes = 96
	// maximumReportsPerServer bounds the stored reports on one backend server. Daemons with different membership views can
	// cause more than LocalCheckers.
	maximumReportsPerServer = 8
)

// storedReport is a report with the times that this daemon needs to judge whether it is valid and has to be announced.
type storedReport struct {
	packer.Report
	checkedAt   time.Time // time of the check
	announcedAt time.Time // checkedAt of this checker's report that was last announced
}

// reportKey identifies the report of one checker on one backend server.
type reportKey struct{ server, checker netip.AddrPort }

// announcement is a report that has to reach all daemons of the zone soon, because it changes or renews a state.
type announcement struct {
	reportKey
	transmissions int
	queuedAt      time.Time
}

// lifetime returns how long a report is valid after its check.
func (e *Examiner) lifetime() time.Duration {
	return min(max(minimumReportLifetime, renewalsPerLifetime*reportRenewalTime*time.Duration(e.nonLiveReports)),
		maximumReportLifetime)
}

// isValid reports whether a report counts: it is not withdrawn or expired, and its checker is a live member that has not
// restarted since. A daemon's counter starts at its incarnation, so a report by an earlier process has a lower counter.
func (e *Examiner) isValid(now time.Time, r *storedReport) bool {
	incarnation, ok := e.incarnations[r.Checker]
	return ok && r.State != packer.HealthUnknown && r.Counter >= incarnation && now.Sub(r.checkedAt) < e.lifetime()
}

// reportFrom returns a checker's stored report on s, or nil.
func (s *serverState) reportFrom(checker netip.AddrPort) *storedReport {
	for _, r := range s.reports {
		if r.Checker == checker {
			return r
		}
	}
	return nil
}

// recordOwnReport stores this daemon's report on s with the result of a check.
func (e *Examiner) recordOwnReport(now time.Time, s *serverState, r Result) {
	e.reportCounter = max(e.reportCounter+1, uint64(now.UnixMilli()))
	e.storeReport(now, s, storedReport{checkedAt: now, Report: packer.Report{
		BackendServer: s.Address, Checker: e.config.Self, State: s.ownState, Counter: e.reportCounter, Incarnation: r.Incarnation,
		Running: clampToByte(r.Running), Queued: clampToByte(r.Queued),
	}})
}

// clampToByte limits a number to the range that a report has room for.
func clampToByte(n int) uint8 { return uint8(min(max(n, 0), 255)) }

// ReceiveReports stores the reports from a datagram of a daemon of the own availability zone, except older ones than stored.
func (e *Examiner) ReceiveReports(now time.Time, reports []packer.Report) {
	for _, r := range reports {
		s := e.servers[r.BackendServer]
		if s == nil || r.Checker == e.config.Self || r.Age < 0 || r.Age >= maximumReportLifetime {
			e.counts.ReportsIgnored++
			continue
		}
		if known := s.reportFrom(r.Checker); known != nil && r.Counter <= known.Counter {
			continue
		}
		e.counts.ReportsAccepted++
		e.storeReport(now, s, storedReport{Report: r, checkedAt: now.Add(-r.Age)})
	}
}

// storeReport replaces the stored report of the same checker with a newer one, and announces it if necessary.
func (e *Examiner) storeReport(now time.Time, s *serverState, r storedReport) {
	known := s.reportFrom(r.Checker)
	previous := packer.HealthLive
	if known != nil && e.isValid(now, known) {
		previous = known.State
		r.announcedAt = known.announcedAt
	}
	if e.needsAnnouncement(now, s, previous, &r) {
		r.announcedAt = r.checkedAt
		e.announce(now, reportKey{s.Address, r.Checker})
	}
	s.highestIncarnation = max(s.highestIncarnation, r.Incarnation)
	switch {
	case known != nil:
		*known = r
	case len(s.reports) < maximumReportsPerServer || e.evictReport(now, s):
		s.reports = append(s.reports, &r)
	default:
		return
	}
	e.changedServers[s] = true
	if r.State != packer.HealthLive {
		e.watchedServers[s] = true
	}
}

// needsAnnouncement reports whether a report must be announced: to renew a state other than live, or because the state or
// the incarnation changed. A restart, or a change between live and warming, is announced once for all checkers. Other
// changes are announced for each checker, because the number of checkers that report them counts.
func (e *Examiner) needsAnnouncement(now time.Time, s *serverState, previous packer.Health, r *storedReport) bool {
	switch {
	case r.State != packer.HealthLive && r.State == previous && now.Sub(r.announcedAt) >= e.lifetime()/renewalsPerLifetime:
		return true
	case r.State == previous && (s.highestIncarnation == 0 || r.Incarnation <= s.highestIncarnation):
		return false
	}
	isFault := func(h packer.Health) bool { return h != packer.HealthLive && h != packer.HealthWarming }
	if isFault(r.State) || isFault(previous) {
		return true
	}
	return !slices.ContainsFunc(s.reports, func(o *storedReport) bool {
		return o.Checker != r.Checker && o.State == r.State && o.Incarnation >= r.Incarnation && e.isValid(now, o)
	})
}

// evictReport removes a report on s that is no longer valid, or else the oldest one of another daemon. It reports whether
// there was one.
func (e *Examiner) evictReport(now time.Time, s *serverState) bool {
	evicted := -1
	for i, r := range s.reports {
		if !e.isValid(now, r) {
			evicted = i
			break
		}
		if r.Checker != e.config.Self && (evicted < 0 || r.checkedAt.Before(s.reports[evicted].checkedAt)) {
			evicted = i
		}
	}
	if evicted < 0 {
		return false
	}
	s.reports = slices.Delete(s.reports, evicted, evicted+1)
	return true
}

// announce puts a report first in the queue of announcements.
func (e *Examiner) announce(now time.Time, k reportKey) {
	e.cancelAnnouncement(k)
	e.announcements = slices.Insert(e.announcements, 0, &announcement{reportKey: k, queuedAt: now})
}

// cancelAnnouncement removes a report from the queue of announcements.
func (e *Examiner) cancelAnnouncement(k reportKey) {
	e.announcements = slices.DeleteFunc(e.announcements, func(a *announcement) bool { return a.reportKey == k })
}

// Reports returns the reports for the next datagram to a member of the own availability zone, of at most
// packer.MaxReportBytes: announcements, least often sent first, and in the remaining room the next ones of refreshQueue.
func (e *Examiner) Reports(now time.Time) []packer.Report {
	var list []packer.Report
	room := packer.MaxReportBytes
	add := func(k reportKey) bool {
		r := e.find(k)
		if r == nil || now.Sub(r.checkedAt) >= e.lifetime() || slices.ContainsFunc(list, func(o packer.Report) bool {
			return o.BackendServer == k.server && o.Checker == k.checker
		}) {
			return true
		}
		size := r.Size(e.config.Self)
		if size > room {
			return false
		}
		room -= size
		report := r.Report
		report.Age = now.Sub(r.checkedAt)
		list = append(list, report)
		return true
	}
	// An announcement is dropped only when its report expires or is removed, not after a shorter time: when a whole rack fails,
	// announcements wait longer than usual.
	e.announcements = slices.DeleteFunc(e.announcements,
		func(a *announcement) bool { return now.Sub(a.queuedAt) > e.lifetime() || e.find(a.reportKey) == nil })
	sent := 0
	for sent < len(e.announcements) && add(e.announcements[sent].reportKey) {
		sent++
	}
	e.requeue(sent)
	room = min(room, refreshBytes-(packer.MaxReportBytes-room))
	for round := 0; round < 2 && room > 0; round++ {
		for len(e.refreshQueue) > 0 && add(e.refreshQueue[0]) {
			e.refreshQueue = e.refreshQueue[1:]
		}
		if len(e.refreshQueue) > 0 {
			break
		}
		e.refillRefreshQueue(now)
	}
	e.counts.ReportsSent += uint64(len(list))
	return list
}

// requeue counts a send of the first n announcements and moves them behind all that were sent less often. It removes those
// that were sent often enough.
func (e *Examiner) requeue(n int) {
	limit := transmitMultiplier * bits.Len(uint(len(e.incarnations)+1))
	batch := slices.Clone(e.announcements[:n])
	e.announcements = e.announcements[n:]
	for _, a := range batch {
		if a.transmissions++; a.transmissions >= limit {
			continue
		}
		i, _ := slices.BinarySearchFunc(e.announcements, a.transmissions+1, func(a *announcement, n int) int { return a.transmissions - n })
		e.announcements = slices.Insert(e.announcements, i, a)
	}
}

// refillRefreshQueue begins a new round of anti-entropy: all valid reports of states other than live, which a joining daemon
// does not have, and this daemon's own reports.
func (e *Examiner) refillRefreshQueue(now time.Time) {
	e.refreshQueue = e.refreshQueue[:0]
	for _, s := range sortedByAddress(e.watchedServers) {
		for _, r := range s.reports {
			if r.State != packer.HealthLive && e.isValid(now, r) && r.Checker != e.config.Self {
				e.refreshQueue = append(e.refreshQueue, reportKey{s.Address, r.Checker})
			}
		}
	}
	for _, s := range e.assignedServers {
		if s.ownState != packer.HealthUnknown {
			e.refreshQueue = append(e.refreshQueue, reportKey{s.Address, e.config.Self})
		}
	}
}

// find returns the stored report with a key, or nil.
func (e *Examiner) find(k reportKey) *storedReport {
	if s := e.servers[k.server]; s != nil {
		return s.reportFrom(k.checker)
	}
	return nil
}

// sortedByAddress returns the backend servers of a set in the order of their addresses, so that runs with the same seed give
// the same results.
func sortedByAddress(set map[*serverState]bool) []*serverState {
	list := make([]*serverState, 0, len(set))
	for s := range set {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *serverState) int { return a.Address.Compare(b.Address) })
	return list
}
