package admitter

import (
	"math"
	"net/netip"
	"time"
)

// The daemons of a zone sample the same backend servers. One of many has too few samples to tell an overload from a few slow responses, so
// daemons whose signal exceeds enterSignal report it to others, which pool the samples. A report counts as its samples, not as a decision.

const (
	// ReportInterval is the shortest time between two reports of a daemon about a service.
	ReportInterval = 200 * time.Millisecond
	// ReportRecipients is the largest number of members that get a report.
	ReportRecipients = 8
	// minReportSamples is the number of samples since the signal exceeded enterSignal without which a daemon sends no report. On calm load
	// two samples in a row from the tail of the work times exceed it.
	minReportSamples = 3
	// reportTTL is how long a report counts: a daemon that still sees long delays has sent another one by then.
	reportTTL = 400 * time.Millisecond
	// maxReportSamples bounds the weight of one daemon in the pool, so that a daemon whose own link or processor is slow has no more than
	// the others.
	maxReportSamples = 4
	// maxReports bounds the number of reports that are kept.
	maxReports = 32
	// silentShare is the delay, as a share of the target latency, at which a member counts that sends no report: one sample of a delay
	// below exitSignal.
	silentShare = exitSignal / 2
	// maxReportDelay bounds the delay in a report.
	maxReportDelay = 4 * time.Second
	// poolSignal is the mean of a pool at which an overload begins. Backend servers that are 5 times slower without any queue reach 0.3; the
	// mean of many daemons deviates less by chance than that of one, so it may be lower than enterSignal.
	poolSignal = 0.4
	// minReporters is the number of daemons with long delays, including this one, that a pool needs to begin an overload.
	minReporters = 3
)

// Report is what one daemon has seen of a service within the last sampleSpan or so.
type Report struct {
	Share   float64       // mean delay as a share of the target latency
	Delay   time.Duration // mean delay
	Samples int
	Age     time.Duration
}

// peerReport is the newest report of a peer.
type peerReport struct {
	from    netip.AddrPort
	share   float64
	delay   time.Duration
	samples float64
	at      time.Time // when its samples were taken
}

// pool is the state of pooled samples.
type pool struct {
	peers      int // other daemons in the zone
	reports    []peerReport
	reportedAt time.Time
	delay      time.Duration // mean of the own samples and of those of the reports
}

// SetPeers sets the number of other daemons that share the clients of the zone.
func (a *Admitter) SetPeers(n int) { a.pool.peers = n }

// TakeReport returns the report that peers should get, false if the signal is low or if the last report is too recent.
func (a *Admitter) TakeReport(now time.Time) (Report, bool) {
	age := now.Sub(a.lastSample)
	if a.signal < enterSignal || !a.overloaded && a.samples < minReportSamples || age >= reportTTL || now.Sub(a.pool.reportedAt) < ReportInterval {
		return Report{}, false
	}
	a.pool.reportedAt = now
	return Report{Share: a.signal, Delay: a.delay, Samples: int(math.Round(a.recentSamples(now))), Age: max(age, 0)}, true
}

// AddReport adds the report of a peer to the pool.
func (a *Admitter) AddReport(now time.Time, from netip.AddrPort, r Report) {
	if r.Samples < 1 || !(r.Share > 0) || r.Age < 0 || r.Age >= reportTTL {
		return
	}
	added := peerReport{from, min(r.Share, 1), min(r.Delay, maxReportDelay), float64(min(r.Samples, maxReportSamples)), now.Add(-r.Age)}
	oldest := 0
	for i := range a.pool.reports {
		known := &a.pool.reports[i]
		if known.from == from {
			if known.at.Before(added.at) {
				*known = added
			}
			a.beginByPool(now)
			return
		}
		if known.at.Before(a.pool.reports[oldest].at) {
			oldest = i
		}
	}
	if len(a.pool.reports) < maxReports {
		a.pool.reports = append(a.pool.reports, added)
	} else {
		a.pool.reports[oldest] = added
	}
	a.beginByPool(now)
}

// recentSamples returns the number of own samples, of which older ones count less.
func (a *Admitter) recentSamples(now time.Time) float64 {
	if a.lastSample.IsZero() {
		return 0
	}
	return min(a.recent*math.Exp(-max(now.Sub(a.lastSample), 0).Seconds()/sampleSpan.Seconds()), maxReportSamples)
}

// beginByPool begins an overload if the mean of the own samples and those of the reports is long enough. Members that send no report count
// with a short delay: only those with long delays send one.
func (a *Admitter) beginByPool(now time.Time) {
	if a.overloaded || a.pool.peers == 0 {
		return
	}
	own := a.recentSamples(now)
	sum, samples, reporters, received := own*a.signal, own, 0, 0
	if a.signal >= exitSignal && own >= 1 {
		reporters++
	}
	for i := range a.pool.reports {
		if r := &a.pool.reports[i]; now.Sub(r.at) < reportTTL {
			sum += r.samples * r.share
			samples += r.samples
			received++
		}
	}
	reporters += received
	if reporters < min(minReporters, a.pool.peers+1) || samples < minSamples {
		return
	}
	silent := float64(max(min(a.pool.peers, ReportRecipients)-received, 0))
	mean := (sum + silent*silentShare) / (samples + silent)
	if mean < poolSignal {
		return
	}
	a.signal = max(a.signal, mean)
	var target time.Duration
	for i := range a.classes {
		target = max(target, a.classes[i].TargetLatency)
	}
	a.delay = max(a.delay, time.Duration(mean*float64(target)))
	a.lastSample = now
	a.begin(now)
}

// poolDelay updates the mean delay of the own samples and of those of the reports.
func (a *Admitter) poolDelay(now time.Time) {
	if len(a.pool.reports) == 0 {
		return
	}
	own := max(a.recentSamples(now), 1)
	sum, samples := own*float64(a.delay), own
	for i := range a.pool.reports {
		if r := &a.pool.reports[i]; now.Sub(r.at) < reportTTL {
			sum += r.samples * float64(r.delay)
			samples += r.samples
		}
	}
	a.pool.delay = time.Duration(sum / samples)
}

// meanDelay returns the mean delay of the pool, or that of the own samples without any reports.
func (a *Admitter) meanDelay() time.Duration {
	if len(a.pool.reports) == 0 {
		return a.delay
	}
	return a.pool.delay
}
