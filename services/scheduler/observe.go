package scheduler

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// ObservationKind is the kind of an observed event.
type ObservationKind uint8

// The kinds of observations, with the fields of Observation that they use. Each Sent is followed by exactly one of
// Answered, Refused, TimedOut, Canceled and, for a feed, FeedOpened.
const (
	Sent           ObservationKind = 1  // work was sent to a backend server
	Answered       ObservationKind = 2  // a request was answered; Latency
	Refused        ObservationKind = 3  // the backend server refused the work; Cause
	TimedOut       ObservationKind = 4  // no reply in time
	Canceled       ObservationKind = 5  // the caller no longer waits
	FeedOpened     ObservationKind = 6  // the backend server accepted a feed; FlowID
	FeedPacketSeen ObservationKind = 7  // a packet of an established feed passed; FlowID
	FeedClosed     ObservationKind = 8  // a feed ended; FlowID
	LoadReported   ObservationKind = 9  // a load report without another event; Load
	HealthChecked  ObservationKind = 10 // one health check; Health
	HealthCombined ObservationKind = 11 // the combined state of several checkers; Health
)

// HealthState is the state of a backend server in health checks.
type HealthState uint8

// The states in health checks. HealthFailed is also the result of a single failed check.
const (
	HealthLive     HealthState = 1
	HealthWarming  HealthState = 2
	HealthDraining HealthState = 3
	HealthFailed   HealthState = 4
)

// Load is the load that a backend server reports.
type Load struct {
	Running, Queued, Slots, Feeds int
}

// Observation is one event of a backend server. The load that a reply reports may be part of any kind, with HasLoad set, or
// be passed as LoadReported at the same time. The load of a health check only goes into averages, because it may be old.
type Observation struct {
	Kind          ObservationKind
	Service       string
	BackendServer netip.AddrPort
	WorkKind      WorkKind
	FlowID        uint64
	Latency       time.Duration // from the send to the answer or timeout
	Cause         framer.Cause
	Load          Load
	HasLoad       bool
	Health        HealthState
}

// Observe records an event. Events of unknown services and backend servers are ignored.
func (s *Scheduler) Observe(now time.Time, o Observation) {
	sv := s.services[o.Service]
	if sv == nil {
		return
	}
	b := sv.find(o.BackendServer)
	if b == nil {
		return
	}
	if sv.admission != nil {
		sv.admission.recordEvent(now)
	}
	switch o.Kind {
	case Sent:
		sv.recordSent(now, b, o.WorkKind)
	case Answered:
		b.resolve(now, WorkRequest)
		b.checkOverreporting(o.Latency, sv.medianServiceTime)
		b.recordLatency(o.Latency)
		b.losses.timeoutShare.add(0)
		b.health.recordAnswer(now)
		sv.recordDelay(now, b, o.WorkKind, o.Latency)
	case Refused:
		b.resolve(now, o.WorkKind)
		if o.Cause == framer.CauseShed {
			sv.recordOverdue(now, o.WorkKind)
		}
		sv.recordRefusal(now, b, o.Cause)
	case TimedOut:
		b.resolve(now, o.WorkKind)
		b.losses.recordTimeout(o.WorkKind, o.Latency)
		sv.recordTimeout(now, b)
		sv.recordOverdue(now, o.WorkKind)
	case Canceled:
		b.resolve(now, o.WorkKind)
	case FeedOpened:
		b.resolve(now, WorkFeed)
		b.losses.timeoutShare.add(0)
		b.feeds.recordOpened()
		b.health.recordAnswer(now)
	case FeedPacketSeen:
		sv.windows.advance(now)
		b.recordFeedPacket(sv.windows.current, o.FlowID)
	case FeedClosed:
		b.feeds.recordClosed()
	case HealthChecked:
		sv.recordHealthCheck(now, b, o.Health)
	case HealthCombined:
		sv.recordCombinedHealth(now, b, o.Health)
	}
	if o.HasLoad && (o.Kind == HealthChecked || o.Kind == HealthCombined) {
		b.recordHealthCheckLoad(now, o.Load, sv.spillRate)
	} else if o.HasLoad || o.Kind == LoadReported {
		b.recordLoadReport(now, o.Load)
		sv.recordRecentLoad(now, b)
		if b.inOwnZone != sv.ownZoneEvacuated && !b.Evacuated {
			sv.scanSubset.addReporter(b)
		}
		b.feeds.recordReport(now, o.Load.Feeds)
	}
}

// recordSent counts a send as in flight.
func (s *service) recordSent(now time.Time, b *backend, kind WorkKind) {
	b.lastTrafficEvent = now
	if kind == WorkFeed {
		b.openingFeeds++
		return
	}
	b.lastRequestSent = now
	b.rememberReportBeforeSend()
	b.recordExpectedLatency(b.ownInFlight() + b.othersFromReports(now, s.medianServiceTime))
	b.ownRequests++
	b.recentRequests++
}

// resolve removes work that has an outcome from the counts of work in flight.
func (b *backend) resolve(now time.Time, kind WorkKind) {
	b.lastTrafficEvent = now
	if kind == WorkFeed {
		b.openingFeeds = max(0, b.openingFeeds-1)
		return
	}
	b.ownRequests = max(0, b.ownRequests-1)
	b.adjustLastReport(now)
}

// recordRefusal records a refusal. A refusal for overload shows that the estimate of other balancers' requests was too low.
func (s *service) recordRefusal(now time.Time, b *backend, cause framer.Cause) {
	switch cause {
	case framer.CauseDraining, framer.CauseWrongService:
		b.health.backoffUntil = now.Add(refusalBackoff)
	case framer.CauseShed:
		b.othersAtReport = max(b.othersAtReport, float64(2*b.Slots))
		b.reportedAt = now
	}
}
