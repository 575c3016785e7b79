package scheduler

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// ObservationKind tells what was observed.
type ObservationKind uint8

// The kinds of observations. Every Sent is followed by exactly one of Answered, Refused, TimedOut, Canceled and, for a
// feed, FeedOpened.
const (
	Sent           ObservationKind = 1  // work was sent to a backend server
	Answered       ObservationKind = 2  // a request was answered; Latency
	Refused        ObservationKind = 3  // the backend server refused the work; Cause
	TimedOut       ObservationKind = 4  // no reply in time
	Canceled       ObservationKind = 5  // the caller no longer waits
	FeedOpened     ObservationKind = 6  // the backend server accepted a feed; Flow
	FeedPacketSeen ObservationKind = 7  // a packet of an established feed passed; Flow
	FeedClosed     ObservationKind = 8  // a feed ended; Flow
	LoadReported   ObservationKind = 9  // a load report without other news; Load
	HealthChecked  ObservationKind = 10 // one health check; Health
	HealthCombined ObservationKind = 11 // what several checkers agree on; Health
)

// HealthState is the result of a health check.
type HealthState uint8

// The results of health checks. HealthFailed stands for a failed check as well.
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

// Observation is one event of a backend server. A reply's load may accompany any kind, or be observed as LoadReported
// at the same time: HasLoad tells whether Load is set. The load of a health check is only used for averages, because it
// may be old.
type Observation struct {
	Kind          ObservationKind
	Service       string
	BackendServer netip.AddrPort
	WorkKind      WorkKind
	Flow          uint64
	Latency       time.Duration // since the send, of an answer or a time-out
	Cause         framer.Cause
	Load          Load
	HasLoad       bool
	Health        HealthState
}

// Observe takes over an event. Events of unknown services and backend servers are ignored.
func (s *Scheduler) Observe(now time.Time, o Observation) {
	v := s.services[o.Service]
	if v == nil {
		return
	}
	e := v.find(o.BackendServer)
	if e == nil {
		return
	}
	switch o.Kind {
	case Sent:
		v.sent(now, e, o.WorkKind)
	case Answered:
		e.resolve(now, WorkRequest)
		e.compare(o.Latency, v.typical)
		e.answered(o.Latency)
		e.losses.share.add(0)
		e.health.answered(now)
	case Refused:
		e.resolve(now, o.WorkKind)
		v.refused(now, e, o.Cause)
	case TimedOut:
		e.resolve(now, o.WorkKind)
		e.losses.timedOut(o.WorkKind, o.Latency)
		v.timedOut(now, e)
	case Canceled:
		e.resolve(now, o.WorkKind)
	case FeedOpened:
		e.resolve(now, WorkFeed)
		e.losses.share.add(0)
		e.feeds.opened()
		e.health.answered(now)
	case FeedPacketSeen:
		v.sampled.advance(now)
		e.seen(v.sampled.index, o.Flow)
	case FeedClosed:
		e.feeds.closed()
	case HealthChecked:
		v.checked(now, e, o.Health)
	case HealthCombined:
		v.judged(now, e, o.Health)
	}
	if o.HasLoad && (o.Kind == HealthChecked || o.Kind == HealthCombined) {
		e.polled(now, o.Load, v.spill)
	} else if o.HasLoad || o.Kind == LoadReported {
		e.report(now, o.Load)
		if e.local {
			v.bounded.reported(e)
		}
		e.feeds.report(now, o.Load.Feeds)
	}
}

func (v *service) sent(now time.Time, e *server, kind WorkKind) {
	e.lastEvent = now
	if kind == WorkFeed {
		e.opening++
		return
	}
	e.lastSent = now
	e.probe()
	e.expect(e.held() + e.othersReported(now, v.typical))
	e.own++
	e.recent++
}

// resolve removes work from the own counts.
func (e *server) resolve(now time.Time, kind WorkKind) {
	e.lastEvent = now
	if kind == WorkFeed {
		e.opening = max(0, e.opening-1)
		return
	}
	e.own = max(0, e.own-1)
	e.corrected(now)
}

// refused takes over a refusal. A refusal for overload shows that the estimate was too low.
func (v *service) refused(now time.Time, e *server, cause framer.Cause) {
	switch cause {
	case framer.CauseDraining, framer.CauseWrongService:
		e.health.closedUntil = now.Add(closedTime)
	case framer.CauseShed:
		e.others = max(e.others, float64(2*e.Slots))
		e.reported = now
	}
}
