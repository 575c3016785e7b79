package examiner

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

const (
	// assertInterval is how often a verdict is told again while it matters.
	assertInterval = time.Second
	// assertTime is how long a backend server is told to be well after it was not: it has to show during its ejection
	// that checks pass.
	assertTime = 60 * time.Second
)

// HealthUpdate is what the checkers together say of a backend server.
type HealthUpdate struct {
	Service       string
	BackendServer netip.AddrPort
	// State is live, warming, draining or failed.
	State packer.Health
	// Incarnation is the largest one reported, 0 when none was.
	Incarnation uint64
	// Running and Queued are the load of a new report, if HasLoad is set.
	Running, Queued int
	HasLoad         bool
}

// HealthUpdates returns what has changed since the last call: verdicts, incarnations and loads. HealthUpdates other than live, and
// for a while those that became live, are repeated each second.
func (x *Examiner) HealthUpdates(now time.Time) []HealthUpdate {
	for s := range x.watched {
		if now.Sub(s.asserted) >= assertInterval {
			x.changed[s] = true
		}
	}
	if len(x.changed) == 0 {
		return nil
	}
	var list []HealthUpdate
	for _, s := range sorted(x.changed) {
		if v, ok := x.judge(now, s); ok {
			list = append(list, v)
		}
	}
	clear(x.changed)
	x.exceptions = 0
	for s := range x.watched {
		if !x.review(now, s) {
			delete(x.watched, s)
		}
	}
	return list
}

// review counts the exceptions of s and reports whether s has to be watched further.
func (x *Examiner) review(now time.Time, s *server) bool {
	watch := s.verdict != packer.HealthLive || now.Before(s.assertUntil)
	for _, r := range s.reports {
		if r.State != packer.HealthLive && x.valid(now, r) {
			x.exceptions++
			watch = true
		}
	}
	return watch
}

// judge returns the verdict on s if there is something new to tell.
func (x *Examiner) judge(now time.Time, s *server) (HealthUpdate, bool) {
	state, latest := x.weigh(now, s)
	v := HealthUpdate{Service: s.Service, BackendServer: s.Address, State: state, Incarnation: s.incarnation}
	if latest != nil && latest.Counter != s.toldCounter && latest.State != packer.HealthFailed {
		v.HasLoad, v.Running, v.Queued = true, int(latest.Running), int(latest.Queued)
		s.toldCounter = latest.Counter
	}
	former := s.verdict
	if former == packer.HealthUnknown {
		former = packer.HealthLive
	}
	repeat := x.watched[s] && now.Sub(s.asserted) >= assertInterval
	if state == former && v.Incarnation == s.toldIncarnation && !v.HasLoad && !repeat {
		return v, false
	}
	if state != packer.HealthLive {
		s.assertUntil = now.Add(assertTime)
		x.watched[s] = true
	}
	s.verdict, s.toldIncarnation, s.asserted = state, v.Incarnation, now
	return v, true
}

// weigh joins the valid reports on s. Checkers without one count for neither side but against a majority: a report that
// travels alone ahead of the others must not eject. It also returns the report of the latest check.
func (x *Examiner) weigh(now time.Time, s *server) (packer.Health, *held) {
	votes := make(map[packer.Health]int, 5)
	total := 0
	var latest *held
	for _, r := range s.reports {
		if !x.valid(now, r) {
			continue
		}
		total++
		if latest == nil || r.at.After(latest.at) {
			latest = r
		}
		// What a checker saw of an earlier process says nothing about the state of the present one.
		if r.State == packer.HealthFailed || r.Incarnation >= s.incarnation {
			votes[r.State]++
		}
	}
	switch {
	case 2*votes[packer.HealthFailed] > max(total, len(s.checkers)):
		return packer.HealthFailed, latest
	case votes[packer.HealthDraining] > 0:
		return packer.HealthDraining, latest
	case votes[packer.HealthWarming] > 0 && votes[packer.HealthLive] == 0:
		return packer.HealthWarming, latest
	}
	return packer.HealthLive, latest
}
