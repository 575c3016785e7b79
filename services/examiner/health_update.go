package examiner

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

const (
	// updateRepeatInterval is how often HealthUpdates repeats a state other than live, and a state live for liveRepeatTime.
	updateRepeatInterval = time.Second
	// liveRepeatTime is how long the state live is repeated after another one: the scheduler ends an ejection by failed checks
	// only after several passed ones.
	liveRepeatTime = 60 * time.Second
)

// HealthUpdate is the combined state of a backend server by the reports of its checkers.
type HealthUpdate struct {
	Service       string
	BackendServer netip.AddrPort
	// State is live, warming, draining or failed.
	State packer.Health
	// Incarnation is the highest one reported, 0 if none was.
	Incarnation uint64
	// Running and Queued are the load in a report not returned before. HasLoad is false if there is none.
	Running, Queued int
	HasLoad         bool
}

// HealthUpdates returns the backend servers whose combined state, incarnation or load has changed since the last call. States
// other than live, and for liveRepeatTime the state live after another one, are repeated at updateRepeatInterval.
func (e *Examiner) HealthUpdates(now time.Time) []HealthUpdate {
	for s := range e.watchedServers {
		if now.Sub(s.deliveredAt) >= updateRepeatInterval {
			e.changedServers[s] = true
		}
	}
	if len(e.changedServers) == 0 {
		return nil
	}
	var list []HealthUpdate
	for _, s := range sortedByAddress(e.changedServers) {
		if update, ok := e.healthUpdate(now, s); ok {
			list = append(list, update)
		}
	}
	clear(e.changedServers)
	e.nonLiveReports = 0
	for s := range e.watchedServers {
		if !e.countNonLiveReports(now, s) {
			delete(e.watchedServers, s)
		}
	}
	return list
}

// countNonLiveReports adds the valid reports on s of states other than live to nonLiveReports, and reports whether s has to
// stay in watchedServers.
func (e *Examiner) countNonLiveReports(now time.Time, s *serverState) bool {
	watched := s.combinedState != packer.HealthLive || now.Before(s.repeatLiveUntil)
	for _, r := range s.reports {
		if r.State != packer.HealthLive && e.isValid(now, r) {
			e.nonLiveReports++
			watched = true
		}
	}
	return watched
}

// healthUpdate returns the combined state of s, and whether it differs from the last one returned or has to be repeated.
func (e *Examiner) healthUpdate(now time.Time, s *serverState) (HealthUpdate, bool) {
	state, newest := e.combineReports(now, s)
	update := HealthUpdate{Service: s.Service, BackendServer: s.Address, State: state, Incarnation: s.highestIncarnation}
	if newest != nil && newest.Counter != s.deliveredCounter && newest.State != packer.HealthFailed {
		update.HasLoad, update.Running, update.Queued = true, int(newest.Running), int(newest.Queued)
		s.deliveredCounter = newest.Counter
	}
	previous := s.combinedState
	if previous == packer.HealthUnknown {
		previous = packer.HealthLive
	}
	repeat := e.watchedServers[s] && now.Sub(s.deliveredAt) >= updateRepeatInterval
	if state == previous && update.Incarnation == s.deliveredIncarnation && !update.HasLoad && !repeat {
		return update, false
	}
	if state != packer.HealthLive {
		s.repeatLiveUntil = now.Add(liveRepeatTime)
		e.watchedServers[s] = true
	}
	s.combinedState, s.deliveredIncarnation, s.deliveredAt = state, update.Incarnation, now
	return update, true
}

// combineReports returns the combined state of s by its valid reports, and the report of the latest check. The state is
// failed if a majority of the checkers reports it, including checkers without a valid report: one report that arrives before
// the others must not eject a backend server.
func (e *Examiner) combineReports(now time.Time, s *serverState) (packer.Health, *storedReport) {
	votes := make(map[packer.Health]int, 5)
	total := 0
	var newest *storedReport
	for _, r := range s.reports {
		if !e.isValid(now, r) {
			continue
		}
		total++
		if newest == nil || r.checkedAt.After(newest.checkedAt) {
			newest = r
		}
		// A report on an earlier incarnation of the backend server does not describe its present state.
		if r.State == packer.HealthFailed || r.Incarnation >= s.highestIncarnation {
			votes[r.State]++
		}
	}
	switch {
	case 2*votes[packer.HealthFailed] > max(total, len(s.checkers)):
		return packer.HealthFailed, newest
	case votes[packer.HealthDraining] > 0:
		return packer.HealthDraining, newest
	case votes[packer.HealthWarming] > 0 && votes[packer.HealthLive] == 0:
		return packer.HealthWarming, newest
	}
	return packer.HealthLive, newest
}
