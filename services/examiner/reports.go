package examiner

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

const (
	// minimumLifetime is how long a report is valid at least, and maximumLifetime at most. In between it is three times
	// the time in which the exceptions can be renewed.
	minimumLifetime = 60 * time.Second
	maximumLifetime = 10 * time.Minute
	// renewal is the time that the renewal of one exception takes: with 200 B in each datagram, an availability zone of
	// 420 daemons spreads about one piece of news a second.
	renewal = time.Second
	// renewals is the number of renewals within a lifetime, so that two of them can be lost.
	renewals = 3
	// spread multiplies the binary logarithm of the zone's size to give the number of times that news is sent.
	spread = 2
	// rotationBytes bounds the reports of a datagram without news: four own ones.
	rotationBytes = 96
	// maxReports bounds the reports kept of one backend server. Views that differ make more than Checkers.
	maxReports = 8
)

// held is a report with the time of its check.
type held struct {
	packer.Report
	at     time.Time
	newsAt time.Time // of the report that was last queued as news
}

// key names the reports of one checker on one backend server.
type key struct{ server, checker netip.AddrPort }

type news struct {
	key
	sent int
	born time.Time
}

// lifetime returns how long a report is valid.
func (x *Examiner) lifetime() time.Duration {
	return min(max(minimumLifetime, renewals*renewal*time.Duration(x.exceptions)), maximumLifetime)
}

// valid reports whether a report counts: it is not too old, and its checker is a live member and still the same process.
func (x *Examiner) valid(now time.Time, r *held) bool {
	incarnation, ok := x.live[r.Checker]
	return ok && r.State != packer.HealthUnknown && r.Counter >= incarnation && now.Sub(r.at) < x.lifetime()
}

func (s *server) heldFrom(checker netip.AddrPort) *held {
	for _, r := range s.reports {
		if r.Checker == checker {
			return r
		}
	}
	return nil
}

// report makes the own report of s from a check.
func (x *Examiner) report(now time.Time, s *server, r Result) {
	x.counter = max(x.counter+1, uint64(now.UnixMilli()))
	x.take(now, s, held{at: now, Report: packer.Report{
		BackendServer: s.Address, Checker: x.c.Self, State: s.state, Counter: x.counter, Incarnation: r.Incarnation,
		Running: toByte(r.Running), Queued: toByte(r.Queued),
	}})
}

func toByte(n int) uint8 { return uint8(min(max(n, 0), 255)) }

// ReceiveReports takes reports from a datagram of a daemon of the own availability zone.
func (x *Examiner) ReceiveReports(now time.Time, reports []packer.Report) {
	for _, r := range reports {
		s := x.servers[r.BackendServer]
		if s == nil || r.Checker == x.c.Self || r.Age < 0 || r.Age >= maximumLifetime {
			x.counts.ReportsIgnored++
			continue
		}
		if known := s.heldFrom(r.Checker); known != nil && r.Counter <= known.Counter {
			continue
		}
		x.counts.ReportsAccepted++
		x.take(now, s, held{Report: r, at: now.Add(-r.Age)})
	}
}

// take keeps a report that is newer than the one held, and queues it if it is news.
func (x *Examiner) take(now time.Time, s *server, r held) {
	known := s.heldFrom(r.Checker)
	former := packer.HealthLive
	if known != nil && x.valid(now, known) {
		former = known.State
		r.newsAt = known.newsAt
	}
	if x.isNews(now, s, former, &r) {
		r.newsAt = r.at
		x.enqueue(now, key{s.Address, r.Checker})
	}
	s.incarnation = max(s.incarnation, r.Incarnation)
	switch {
	case known != nil:
		*known = r
	case len(s.reports) < maxReports || x.makeRoom(now, s):
		s.reports = append(s.reports, &r)
	default:
		return
	}
	x.changed[s] = true
	if r.State != packer.HealthLive {
		x.watched[s] = true
	}
}

// isNews reports whether others must hear of a report at once. A restart, or a state that changes from or to warming, is
// news once; a failure is news of each checker, because their number counts.
func (x *Examiner) isNews(now time.Time, s *server, former packer.Health, r *held) bool {
	switch {
	case r.State != packer.HealthLive && r.State == former && now.Sub(r.newsAt) >= x.lifetime()/renewals:
		return true
	case r.State == former && (s.incarnation == 0 || r.Incarnation <= s.incarnation):
		return false
	}
	counts := func(h packer.Health) bool { return h != packer.HealthLive && h != packer.HealthWarming }
	if counts(r.State) || counts(former) {
		return true
	}
	return !slices.ContainsFunc(s.reports, func(o *held) bool {
		return o.Checker != r.Checker && o.State == r.State && o.Incarnation >= r.Incarnation && x.valid(now, o)
	})
}

// makeRoom drops a report of s that no longer counts, or else the oldest one of another daemon.
func (x *Examiner) makeRoom(now time.Time, s *server) bool {
	oldest := -1
	for i, r := range s.reports {
		if !x.valid(now, r) {
			oldest = i
			break
		}
		if r.Checker != x.c.Self && (oldest < 0 || r.at.Before(s.reports[oldest].at)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	s.reports = slices.Delete(s.reports, oldest, oldest+1)
	return true
}

func (x *Examiner) enqueue(now time.Time, k key) {
	x.unqueue(k)
	x.queue = slices.Insert(x.queue, 0, &news{key: k, born: now})
}

func (x *Examiner) unqueue(k key) {
	x.queue = slices.DeleteFunc(x.queue, func(n *news) bool { return n.key == k })
}

// Reports returns the reports for the next datagram to a member of the own availability zone: news, least often sent
// first, and in the remaining room some of the others in turn. They take packer.MaxReportBytes at most.
func (x *Examiner) Reports(now time.Time) []packer.Report {
	var list []packer.Report
	room := packer.MaxReportBytes
	add := func(k key) bool {
		r := x.find(k)
		if r == nil || now.Sub(r.at) >= x.lifetime() || slices.ContainsFunc(list, func(o packer.Report) bool {
			return o.BackendServer == k.server && o.Checker == k.checker
		}) {
			return true
		}
		size := r.Size(x.c.Self)
		if size > room {
			return false
		}
		room -= size
		report := r.Report
		report.Age = now.Sub(r.at)
		list = append(list, report)
		return true
	}
	// News is dropped only with its report: when a rack fails, each piece waits for its turn longer than usual.
	x.queue = slices.DeleteFunc(x.queue, func(n *news) bool { return now.Sub(n.born) > x.lifetime() || x.find(n.key) == nil })
	taken := 0
	for taken < len(x.queue) && add(x.queue[taken].key) {
		taken++
	}
	x.resend(taken)
	room = min(room, rotationBytes-(packer.MaxReportBytes-room))
	for turn := 0; turn < 2 && room > 0; turn++ {
		for len(x.rotation) > 0 && add(x.rotation[0]) {
			x.rotation = x.rotation[1:]
		}
		if len(x.rotation) > 0 {
			break
		}
		x.rotate(now)
	}
	x.counts.ReportsSent += uint64(len(list))
	return list
}

// resend puts the first n news back behind all that were sent less often, but for those that were sent often enough.
func (x *Examiner) resend(n int) {
	limit := spread * bits.Len(uint(len(x.live)+1))
	sent := slices.Clone(x.queue[:n])
	x.queue = x.queue[n:]
	for _, s := range sent {
		if s.sent++; s.sent >= limit {
			continue
		}
		i, _ := slices.BinarySearchFunc(x.queue, s.sent+1, func(a *news, sent int) int { return a.sent - sent })
		x.queue = slices.Insert(x.queue, i, s)
	}
}

// rotate begins a new turn: all reports held of backend servers that are not live, which a daemon that joins lacks, and
// the own reports.
func (x *Examiner) rotate(now time.Time) {
	x.rotation = x.rotation[:0]
	for _, s := range sorted(x.watched) {
		for _, r := range s.reports {
			if r.State != packer.HealthLive && x.valid(now, r) && r.Checker != x.c.Self {
				x.rotation = append(x.rotation, key{s.Address, r.Checker})
			}
		}
	}
	for _, s := range x.own {
		if s.state != packer.HealthUnknown {
			x.rotation = append(x.rotation, key{s.Address, x.c.Self})
		}
	}
}

func (x *Examiner) find(k key) *held {
	if s := x.servers[k.server]; s != nil {
		return s.heldFrom(k.checker)
	}
	return nil
}

// sorted returns the backend servers of a set by address, so that runs with one seed are equal.
func sorted(set map[*server]bool) []*server {
	list := make([]*server, 0, len(set))
	for s := range set {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *server) int { return a.Address.Compare(b.Address) })
	return list
}
