package scheduler

import (
	"math"
	"time"
)

const (
	// falseEjectionProbability is the accepted probability that packet loss alone causes as many timeouts in a row as eject
	// a backend server.
	falseEjectionProbability = 1e-6
	// maximumFailureThreshold bounds the timeouts in a row that eject a backend server when packets get lost.
	maximumFailureThreshold = 8
	// minimumLossSpan is the shortest time, in seconds, over which losses are averaged.
	minimumLossSpan = 1
	// maximumCountedWait bounds the wait that one timeout adds: a request that timed out later was most likely not lost, as
	// the backend server reported it as running for most of that time.
	maximumCountedWait = time.Second
	// lossDeviations is the number of standard deviations by which the number of lost requests may exceed its mean before a
	// load report below the own count counts as too low.
	lossDeviations = 2
)

// losses estimates how many sends to one backend server get lost, from timeouts.
type losses struct {
	timeoutShare     average // fraction of sends that timed out
	waitedSeconds    float64 // total time that timed-out requests were counted as in flight, decaying with requestDecayTime
	spanSeconds      float64 // time that waitedSeconds covers, decaying with requestDecayTime
	zoneTimeoutShare float64 // median timeoutShare in the availability zone
}

// recordTimeout adds a timeout.
func (l *losses) recordTimeout(kind WorkKind, waited time.Duration) {
	l.timeoutShare.add(1)
	if kind != WorkFeed {
		l.waitedSeconds += min(waited, maximumCountedWait).Seconds()
	}
}

// lostCount estimates how many requests counted as in flight were lost: the rate of losses times how long each is counted
// (Little's law).
func (l *losses) lostCount() float64 { return l.waitedSeconds / max(l.spanSeconds, minimumLossSpan) }

// ownInFlight estimates the requests of this balancer that are at the backend server: those in flight without lost ones.
func (b *backend) ownInFlight() float64 { return max(0, float64(b.ownRequests)-b.losses.lostCount()) }

// underreports reports whether a load report is further below the own count than lost requests explain.
func (b *backend) underreports(report *loadReport) bool {
	return report.total < report.ownInFlight-lossDeviations*math.Sqrt(b.losses.lostCount())
}

// updateLosses lets old losses decay and recomputes the median timeoutShare of each availability zone.
func (s *service) updateLosses(decay float64, elapsed time.Duration) {
	if elapsed < 0 || elapsed > requestDecayTime {
		elapsed = 0 // the first refresh, or one after a pause
	}
	for _, zone := range s.serversByZone {
		shares := s.scratch[:0]
		for _, b := range zone {
			b.losses.waitedSeconds *= decay
			b.losses.spanSeconds = b.losses.spanSeconds*decay + elapsed.Seconds()
			shares = append(shares, b.losses.timeoutShare.value)
		}
		zoneMedian := median(shares, 0)
		for _, b := range zone {
			b.losses.zoneTimeoutShare = zoneMedian
		}
	}
}

// failureThreshold returns the number of timeouts in a row that eject the backend server. It is above the configured one
// where sends to all backend servers of the availability zone get lost, as some timeouts in a row are then no evidence of
// a fault of this backend server.
func (l *losses) failureThreshold(configured int) int {
	if l.zoneTimeoutShare <= 0 || l.zoneTimeoutShare >= 1 {
		return configured
	}
	consecutive := math.Ceil(math.Log(falseEjectionProbability) / math.Log(l.zoneTimeoutShare))
	return max(configured, int(min(consecutive, maximumFailureThreshold)))
}
