package scheduler

import "time"

const (
	// minimumStall is the shortest time without any event that counts as a pause of this process or of the network. Target latencies of
	// less than this are not in use.
	minimumStall = 200 * time.Millisecond
	// stallFactor is the number of mean times between events above which a time without events is a pause: with events at random
	// times, one in 3,000 is longer.
	stallFactor = 8
	// eventWeight is the weight of a sample in the mean time between events.
	eventWeight = 0.02
	// maximumGrace bounds the time after a pause in which priorities have no effect: that in which backend servers answer the requests of
	// the pause.
	maximumGrace = 500 * time.Millisecond
)

// stall detects pauses of this process or of the network. After one, answers are late and the requests of the pause arrive together,
// which looks like an overload although the load is low.
type stall struct {
	lastEvent  time.Time
	meanGap    time.Duration
	graceUntil time.Time
	inGrace    bool
}

// recordEvent records an event of a pool. What was observed in the time after a pause is forgotten at its end.
func (a *admission) recordEvent(now time.Time) {
	s := &a.stall
	gap := now.Sub(s.lastEvent)
	known := !s.lastEvent.IsZero() && s.meanGap > 0
	s.lastEvent = now
	if known && gap > max(minimumStall, stallFactor*s.meanGap) {
		s.inGrace, s.graceUntil = true, now.Add(min(gap, maximumGrace))
		return
	}
	s.meanGap += time.Duration(eventWeight * float64(min(gap, time.Second)-s.meanGap))
	if !s.inGrace || now.Before(s.graceUntil) {
		return
	}
	s.inGrace = false
	for _, sv := range a.pool {
		r := &sv.recent
		r.inFlight, r.others, r.reportedAt = 0, 0, time.Time{}
	}
	a.updateCongestion()
}
