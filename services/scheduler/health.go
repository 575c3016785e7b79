package scheduler

import (
	"net/netip"
	"slices"
	"time"
)

// Health configures outlier ejection and slow start. Zero values mean the defaults.
type Health struct {
	// FailureThreshold is the number of consecutive failed checks, or of timeouts without an answer between them, that
	// ejects a backend server.
	FailureThreshold int
	// BaseEjectionTime is the duration of the first ejection. It doubles with each further one, up to MaximumEjectionTime.
	BaseEjectionTime    time.Duration
	MaximumEjectionTime time.Duration
	// SlowStart is the time in which the weight of a new or recovered backend server grows to its full value.
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
	// ejectionLimitDivisor limits concurrent ejections to a third of a service's backend servers.
	ejectionLimitDivisor = 3
	// refusalBackoff is how long a backend server gets no new work after a refusal with cause draining or wrong-service.
	refusalBackoff = 2 * time.Second
	// answerValidity is how long after an answer failed health checks do not eject a backend server.
	answerValidity = 2 * time.Second
	// minimumCheckEjection is the shortest time after which passed checks end an ejection that failed checks began.
	minimumCheckEjection = 2 * time.Second
	// initialWeightFactor is the fraction of the weight in effect at the beginning of a slow start.
	initialWeightFactor = 0.1
	// ejectionDecayInterval is the time in use after which recentEjections decreases by one.
	ejectionDecayInterval = 60 * time.Second
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

// health is the health of one backend server.
type health struct {
	failedChecks int // consecutive
	passedChecks int // consecutive
	timeouts     int // since the last answer
	lastAnswer   time.Time
	backoffUntil time.Time // gets no new work until then, because it refused some or is draining
	draining     bool      // by the combined health checks

	ejected           bool
	ejectedByChecks   bool      // by failed checks, not by timeouts of traffic
	ejectionChangedAt time.Time // last ejection, readmission or decrease of recentEjections
	ejectedUntil      time.Time
	recentEjections   int       // each doubles the duration of the next ejection
	warming           bool      // reports that it is warming up; the slow start begins when that ends
	slowStartedAt     time.Time // zero when there is no slow start
	weightFactor      float64   // fraction of the weight in effect
}

// recordAnswer records an answer of real traffic.
func (h *health) recordAnswer(now time.Time) {
	h.lastAnswer = now
	h.timeouts = 0
}

// beginSlowStart lowers the weight to its initial value.
func (b *backend) beginSlowStart(now time.Time) {
	b.health.slowStartedAt = now
	b.health.weightFactor = initialWeightFactor
}

// isUsable reports whether the backend server, unless it was tried before, may get new work if its load allows it.
func (b *backend) isUsable(now time.Time, tried []netip.AddrPort) bool {
	if b.Leaving || b.Evacuated || b.health.ejected || now.Before(b.health.backoffUntil) {
		return false
	}
	return !slices.Contains(tried, b.Address)
}

// recordTimeout records a timeout of real traffic and ejects the backend server when the threshold is reached.
func (s *service) recordTimeout(now time.Time, b *backend) {
	b.health.timeouts++
	threshold := b.losses.failureThreshold(s.config.Health.FailureThreshold)
	if b.health.recentEjections > 0 && !b.health.slowStartedAt.IsZero() {
		threshold -= max(0, s.config.Health.FailureThreshold-2) // it was readmitted a short time ago: fewer timeouts eject it again
	}
	if b.health.timeouts >= threshold {
		s.eject(now, b, false)
	}
}

// recordHealthCheck records the result of one health check. Failed checks do not eject a backend server that answers real
// traffic.
func (s *service) recordHealthCheck(now time.Time, b *backend, state HealthState) {
	h := &b.health
	switch state {
	case HealthLive, HealthWarming:
		h.failedChecks = 0
		h.passedChecks++
		if h.warming && state == HealthLive {
			h.warming = false
		} else if state == HealthWarming && !h.warming {
			h.warming = true
			b.beginSlowStart(now)
		}
		if h.ejected && h.ejectedByChecks && h.passedChecks >= s.config.Health.FailureThreshold &&
			now.Sub(h.ejectionChangedAt) >= max(minimumCheckEjection, h.ejectedUntil.Sub(h.ejectionChangedAt)/2) {
			s.readmit(now, b)
		}
	default:
		h.passedChecks = 0
		h.failedChecks++
		b.healthCheckLoads = 0 // restarts the average of its utilization, which is unknown now
		recentlyAnswered := !h.lastAnswer.IsZero() && now.Sub(h.lastAnswer) < answerValidity
		switch {
		case h.failedChecks < s.config.Health.FailureThreshold || recentlyAnswered:
		case s.mostChecksFail():
			s.readmitEjectedByChecks(now)
		default:
			s.eject(now, b, true)
		}
	}
}

// recordCombinedHealth records the combined state of several checkers. As with a single check, failure does not eject a
// backend server that answers real traffic. A draining one gets no new work until its draining state has not been
// repeated for refusalBackoff. Its answers to work in flight do not change that, because it would refuse new work.
func (s *service) recordCombinedHealth(now time.Time, b *backend, state HealthState) {
	switch h := &b.health; state {
	case HealthDraining:
		if now.Before(h.backoffUntil) || b.Evacuated || s.unavailableServers(now) < s.serversInUse()/ejectionLimitDivisor {
			h.backoffUntil = maxTime(h.backoffUntil, now.Add(refusalBackoff))
			h.draining = true
		}
	case HealthLive, HealthWarming:
		if h.draining {
			h.draining = false
			b.beginSlowStart(now)
		}
		h.passedChecks = max(h.passedChecks, s.config.Health.FailureThreshold-1)
		s.recordHealthCheck(now, b, state)
	default:
		h.failedChecks = max(h.failedChecks, s.config.Health.FailureThreshold-1)
		s.recordHealthCheck(now, b, state)
	}
}

// unavailableServers returns the number of backend servers that are ejected or in backoff. It limits how many a wrong
// combined state can take out of use.
func (s *service) unavailableServers(now time.Time) int {
	n := 0
	for _, b := range s.servers {
		if !b.Evacuated && (b.health.ejected || now.Before(b.health.backoffUntil)) {
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

// mostChecksFail reports whether checks fail for more than half of the backend servers: the panic threshold. Then the
// fault is more likely in the checks or on the network than in the backend servers, and only traffic ejects.
func (s *service) mostChecksFail() bool {
	failed := 0
	for _, b := range s.servers {
		if !b.Evacuated && b.health.failedChecks >= s.config.Health.FailureThreshold {
			failed++
		}
	}
	return 2*failed > s.serversInUse()
}

// readmitEjectedByChecks ends all ejections by failed checks. It keeps failedChecks: otherwise the readmitted backend
// servers would no longer count in mostChecksFail, and the next ones would be ejected.
func (s *service) readmitEjectedByChecks(now time.Time) {
	for _, b := range s.servers {
		if b.health.ejected && b.health.ejectedByChecks {
			failedChecks := b.health.failedChecks
			s.readmit(now, b)
			b.health.failedChecks = failedChecks
		}
	}
}

// serversInUse returns the number of backend servers that are not evacuated. The limits on ejections count only these:
// otherwise an evacuated availability zone whose VMs are stopped would use up the limits, and failed backend servers of the
// other zones would stay in use.
func (s *service) serversInUse() int {
	n := 0
	for _, b := range s.servers {
		if !b.Evacuated {
			n++
		}
	}
	return n
}

// eject takes a backend server out of use, unless a third of the service's backend servers are ejected already. An evacuated
// one is not ejected, because it gets no work anyway; if it still fails when the evacuation ends, its next failure ejects it.
func (s *service) eject(now time.Time, b *backend, byChecks bool) {
	h := &b.health
	if h.ejected || b.Evacuated {
		return
	}
	ejected := 0
	for _, other := range s.servers {
		if other.health.ejected {
			ejected++
		}
	}
	if ejected >= s.serversInUse()/ejectionLimitDivisor {
		return
	}
	duration := s.config.Health.BaseEjectionTime << min(h.recentEjections, 10)
	h.ejected, h.ejectedByChecks = true, byChecks
	h.ejectionChangedAt, h.ejectedUntil = now, now.Add(min(duration, s.config.Health.MaximumEjectionTime))
	h.recentEjections = min(h.recentEjections+1, 10)
}

// readmit ends an ejection with a slow start.
func (s *service) readmit(now time.Time, b *backend) {
	b.health.ejected = false
	b.health.timeouts, b.health.failedChecks = 0, 0
	b.health.ejectionChangedAt = now // ejectionDecayInterval begins
	b.beginSlowStart(now)
}

// updateHealth ends ejections, advances slow starts and decreases recentEjections.
func (s *service) updateHealth(now time.Time) {
	for _, b := range s.servers {
		h := &b.health
		switch {
		case h.ejected && !now.Before(h.ejectedUntil):
			s.readmit(now, b)
		case !h.ejected && h.recentEjections > 0 && now.Sub(h.ejectionChangedAt) >= ejectionDecayInterval:
			h.recentEjections--
			h.ejectionChangedAt = now
		}
		if h.warming {
			h.slowStartedAt = now
		}
		if h.slowStartedAt.IsZero() {
			h.weightFactor = 1
			continue
		}
		progress := 1.0
		if slowStart := s.config.Health.SlowStart; slowStart > 0 {
			progress = float64(now.Sub(h.slowStartedAt)) / float64(slowStart)
		}
		h.weightFactor = min(1, initialWeightFactor+(1-initialWeightFactor)*max(0, progress))
		if h.weightFactor >= 1 {
			h.slowStartedAt = time.Time{}
		}
	}
}
