package scheduler

import (
	"net/netip"
	"slices"
	"time"
)

// Health configures ejection and slow start. Zero values mean the defaults.
type Health struct {
	// FailureThreshold is the number of failed checks, or of time-outs without an answer between them, that ejects a backend
	// server.
	FailureThreshold int
	// BaseEjectionTime is the length of the first ejection. It doubles with each further one, up to MaximumEjection.
	BaseEjectionTime    time.Duration
	MaximumEjectionTime time.Duration
	// SlowStart is how long a new or recovered backend server's share grows to its full value.
	SlowStart time.Duration
}

// Defaults of Health.
const (
	DefaultFailureThreshold    = 3
	DefaultBaseEjectionTime    = 5 * time.Second
	DefaultMaximumEjectionTime = 60 * time.Second
	DefaultSlowStart           = 10 * time.Second
)

const (
	// ejectionShare is the inverse of the largest share of a service's backend servers that may be ejected at once.
	ejectionShare = 3
	// closedTime is how long a refusal with cause draining or wrong-service keeps new work away.
	closedTime = 2 * time.Second
	// answerLifetime is how long an answer outweighs failed health checks.
	answerLifetime = 2 * time.Second
	// checkedEjection is the least time after which passing checks end an ejection that failed checks began.
	checkedEjection = 2 * time.Second
	// initialShare is the share of work at the beginning of a slow start.
	initialShare = 0.1
	// calmTime is how long a backend server must stay in use before one earlier ejection is forgotten.
	calmTime = 60 * time.Second
)

func (h Health) withDefaults() Health {
	if h.FailureThreshold <= 0 {
		h.FailureThreshold = DefaultFailureThreshold
	}
	if h.BaseEjectionTime <= 0 {
		h.BaseEjectionTime = DefaultBaseEjectionTime
	}
	if h.MaximumEjectionTime <= 0 {
		h.MaximumEjectionTime = max(DefaultMaximumEjectionTime, h.BaseEjectionTime)
	}
	if h.SlowStart <= 0 {
		h.SlowStart = DefaultSlowStart
	}
	return h
}

// health holds the health of one backend server.
type health struct {
	failedChecks int // in a row
	passedChecks int // in a row
	timeouts     int // since the last answer
	lastAnswer   time.Time
	closedUntil  time.Time // it refused new work itself
	drained      bool      // it was draining by the verdict of its checkers

	ejected      bool
	byChecks     bool // the ejection follows from checks, not from traffic
	ejectedAt    time.Time
	ejectedUntil time.Time
	ejections    int // recent ones; each doubles the length of the next
	warming      bool
	started      time.Time // begin of the slow start; zero when there is none
	share        float64   // of the full weight
}

func (h *health) answered(now time.Time) {
	h.lastAnswer = now
	h.timeouts = 0
}

// startSlowly begins a slow start.
func (e *server) startSlowly(now time.Time) {
	e.health.started = now
	e.health.share = initialShare
}

// usable reports whether the backend server may get new work, apart from its load.
func (e *server) usable(now time.Time, tried []netip.AddrPort) bool {
	if e.Leaving || e.health.ejected || now.Before(e.health.closedUntil) {
		return false
	}
	return !slices.Contains(tried, e.Address)
}

// timedOut takes over a time-out of real traffic.
func (v *service) timedOut(now time.Time, e *server) {
	e.health.timeouts++
	needed := e.losses.needed(v.config.Health.FailureThreshold)
	if e.health.ejections > 0 && !e.health.started.IsZero() {
		needed -= max(0, v.config.Health.FailureThreshold-2) // a backend server that has just come back fails again
	}
	if e.health.timeouts >= needed {
		v.eject(now, e, false)
	}
}

// checked joins a health check with observed traffic: a failed check does not count against a backend server that
// answers.
func (v *service) checked(now time.Time, e *server, state HealthState) {
	h := &e.health
	switch state {
	case HealthLive, HealthWarming:
		h.failedChecks = 0
		h.passedChecks++
		if h.warming && state == HealthLive {
			h.warming = false
		} else if state == HealthWarming && !h.warming {
			h.warming = true
			e.startSlowly(now)
		}
		if h.ejected && h.byChecks && h.passedChecks >= v.config.Health.FailureThreshold &&
			now.Sub(h.ejectedAt) >= max(checkedEjection, h.ejectedUntil.Sub(h.ejectedAt)/2) {
			v.readmit(now, e)
		}
	default:
		h.passedChecks = 0
		h.failedChecks++
		e.polls = 0 // its utilization is unknown from here on
		answers := !h.lastAnswer.IsZero() && now.Sub(h.lastAnswer) < answerLifetime
		switch {
		case h.failedChecks < v.config.Health.FailureThreshold || answers:
		case v.checksFailBroadly():
			v.readmitChecked(now)
		default:
			v.eject(now, e, true)
		}
	}
}

// judged takes over a verdict. It is joined with observed traffic like the checks that it sums up. A backend server that
// is draining gets no new work until the verdict is not repeated for a while; this spares it the refusals, so traffic in
// progress does not outweigh it.
func (v *service) judged(now time.Time, e *server, state HealthState) {
	switch h := &e.health; state {
	case HealthDraining:
		if now.Before(h.closedUntil) || v.closed(now) < len(v.servers)/ejectionShare {
			h.closedUntil = maxTime(h.closedUntil, now.Add(closedTime))
			h.drained = true
		}
	case HealthLive, HealthWarming:
		if h.drained {
			h.drained = false
			e.startSlowly(now)
		}
		h.passedChecks = max(h.passedChecks, v.config.Health.FailureThreshold-1)
		v.checked(now, e, state)
	default:
		h.failedChecks = max(h.failedChecks, v.config.Health.FailureThreshold-1)
		v.checked(now, e, state)
	}
}

// closed returns the number of backend servers that refuse new work or are ejected. It bounds what wrong verdicts can
// close.
func (v *service) closed(now time.Time) int {
	n := 0
	for _, e := range v.servers {
		if e.health.ejected || now.Before(e.health.closedUntil) {
			n++
		}
	}
	return n
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checksFailBroadly reports whether checks fail for more than half of the backend servers. Then the fault is more likely
// in the checks or on the way than in the backend servers, and only traffic decides.
func (v *service) checksFailBroadly() bool {
	failed := 0
	for _, e := range v.servers {
		if e.health.failedChecks >= v.config.Health.FailureThreshold {
			failed++
		}
	}
	return 2*failed > len(v.servers)
}

// readmitChecked ends all ejections that follow from checks. The checks still count as failed: otherwise those that are
// readmitted would no longer show that checks fail broadly, and the next ones would be ejected.
func (v *service) readmitChecked(now time.Time) {
	for _, e := range v.servers {
		if e.health.ejected && e.health.byChecks {
			failed := e.health.failedChecks
			v.readmit(now, e)
			e.health.failedChecks = failed
		}
	}
}

// eject takes a backend server out of use, unless a third of the service's backend servers are out already.
func (v *service) eject(now time.Time, e *server, byChecks bool) {
	h := &e.health
	if h.ejected {
		return
	}
	out := 0
	for _, o := range v.servers {
		if o.health.ejected {
			out++
		}
	}
	if out >= len(v.servers)/ejectionShare {
		return
	}
	length := v.config.Health.BaseEjectionTime << min(h.ejections, 10)
	h.ejected, h.byChecks = true, byChecks
	h.ejectedAt, h.ejectedUntil = now, now.Add(min(length, v.config.Health.MaximumEjectionTime))
	h.ejections = min(h.ejections+1, 10)
}

// readmit ends an ejection with a slow start.
func (v *service) readmit(now time.Time, e *server) {
	e.health.ejected = false
	e.health.timeouts, e.health.failedChecks = 0, 0
	e.health.ejectedAt = now // from here on the calm time counts
	e.startSlowly(now)
}

// reviewHealth ends ejections, advances slow starts and forgets old ejections.
func (v *service) reviewHealth(now time.Time) {
	for _, e := range v.servers {
		h := &e.health
		switch {
		case h.ejected && !now.Before(h.ejectedUntil):
			v.readmit(now, e)
		case !h.ejected && h.ejections > 0 && now.Sub(h.ejectedAt) >= calmTime:
			h.ejections--
			h.ejectedAt = now
		}
		if h.warming {
			h.started = now
		}
		if h.started.IsZero() {
			h.share = 1
			continue
		}
		progress := 1.0
		if slow := v.config.Health.SlowStart; slow > 0 {
			progress = float64(now.Sub(h.started)) / float64(slow)
		}
		h.share = min(1, initialShare+(1-initialShare)*max(0, progress))
		if h.share >= 1 {
			h.started = time.Time{}
		}
	}
}
