package main

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metrics collects the results of one run without the warm-up: those of calls made in the measured part, between from and to.
type metrics struct {
	from, to           time.Duration
	latency            *hdrhistogram.Histogram      // microseconds
	offeredCalls       int                          // calls made by callers
	goodCalls          int                          // calls answered before their deadline
	shedCalls          int                          // calls refused by a balancer that sent them to no backend server
	failedCalls        int                          // calls that failed after they were sent to a backend server
	sends              int                          // attempts sent to backend servers
	timeouts           int                          // attempts without a reply in time
	crossZoneSends     int                          // attempts sent to another availability zone
	sendsPerSecond     []int                        // sends in each second of the measured part
	crossZonePerSecond []int                        // crossZoneSends in each second of the measured part
	groupOffered       []int                        // offeredCalls of each caller group
	groupGood          []int                        // goodCalls of each caller group
	busyTime           map[*backendServer][]float64 // seconds of work, summed over slots, in each second of the run
}

func newMetrics(from, to time.Duration, servers []*backendServer, groups int) *metrics {
	m := &metrics{
		from: from, to: to, latency: hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3),
		groupOffered: make([]int, groups), groupGood: make([]int, groups), busyTime: make(map[*backendServer][]float64),
	}
	m.sendsPerSecond = make([]int, int((to-from)/time.Second)+1)
	m.crossZonePerSecond = make([]int, len(m.sendsPerSecond))
	for _, s := range servers {
		m.busyTime[s] = make([]float64, int(to/time.Second)+1)
	}
	return m
}

// isMeasured reports whether c was made in the measured part of the run.
func (m *metrics) isMeasured(c *call) bool { return c.createdAt >= m.from && c.createdAt < m.to }

func (m *metrics) recordOffered(c *call) {
	if m.isMeasured(c) {
		m.offeredCalls++
		m.groupOffered[c.group]++
	}
}

func (m *metrics) recordSend(a *attempt, now time.Duration) {
	if !m.isMeasured(a.call) {
		return
	}
	m.sends++
	i := int((now - m.from) / time.Second)
	if i >= len(m.sendsPerSecond) {
		return
	}
	m.sendsPerSecond[i]++
	if a.balancer.zone != a.server.zone {
		m.crossZoneSends++
		m.crossZonePerSecond[i]++
	}
}

func (m *metrics) recordRefused(c *call) {
	if !m.isMeasured(c) {
		return
	}
	if c.attempts == 0 {
		m.shedCalls++
	} else {
		m.failedCalls++
	}
}

func (m *metrics) recordTimeout(c *call) {
	if m.isMeasured(c) {
		m.timeouts++
	}
}

func (m *metrics) recordFailure(c *call) {
	if m.isMeasured(c) {
		m.failedCalls++
	}
}

func (m *metrics) recordAnswer(c *call, now time.Duration) {
	if !m.isMeasured(c) {
		return
	}
	if now > c.deadline {
		m.failedCalls++
		return
	}
	m.goodCalls++
	m.groupGood[c.group]++
	_ = m.latency.RecordValue(int64((now - c.createdAt) / time.Microsecond))
}

// recordBusy distributes the time during which a slot was busy over the seconds of the run. It is the time that the work took
// at the speed of its backend server, so that equal busy times mean equal utilization of slow and fast backend servers.
func (m *metrics) recordBusy(s *backendServer, start, end time.Duration) {
	seconds := m.busyTime[s]
	for start < end {
		i := int(start / time.Second)
		if i >= len(seconds) {
			return
		}
		until := min(end, time.Duration(i+1)*time.Second)
		seconds[i] += (until - start).Seconds()
		start = until
	}
}

// imbalance computes max/mean and the coefficient of variation of work per backend server in each window, and returns the mean
// of both over the windows.
func (m *metrics) imbalance(servers []*backendServer, windowSeconds int) (maxToMean, variation float64) {
	windows := 0
	for second := int(m.from / time.Second); second+windowSeconds <= int(m.to/time.Second); second += windowSeconds {
		var work []float64
		for _, s := range servers {
			if s.draining {
				continue
			}
			sum := 0.0
			for _, busy := range m.busyTime[s][second : second+windowSeconds] {
				sum += busy
			}
			work = append(work, sum)
		}
		windowMaxToMean, windowVariation := spread(work)
		maxToMean += windowMaxToMean
		variation += windowVariation
		windows++
	}
	if windows == 0 {
		return math.NaN(), math.NaN()
	}
	return maxToMean / float64(windows), variation / float64(windows)
}

// spread returns max/mean and the coefficient of variation of values.
func spread(values []float64) (maxToMean, variation float64) {
	if len(values) == 0 {
		return math.NaN(), math.NaN()
	}
	sum, greatest := 0.0, 0.0
	for _, v := range values {
		sum += v
		greatest = max(greatest, v)
	}
	mean := sum / float64(len(values))
	if mean == 0 {
		return math.NaN(), math.NaN()
	}
	squares := 0.0
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	return greatest / mean, math.Sqrt(squares/float64(len(values))) / mean
}

// percentile returns a latency percentile in milliseconds; p is between 0 and 100.
func (m *metrics) percentile(p float64) float64 { return float64(m.latency.ValueAtQuantile(p)) / 1000 }

// goodput returns the calls answered before their deadline per second.
func (m *metrics) goodput() float64 { return float64(m.goodCalls) / (m.to - m.from).Seconds() }

// shedRate returns the share of offered calls that a balancer refused without sending them.
func (m *metrics) shedRate() float64 { return ratio(m.shedCalls, m.offeredCalls) }

// sendsPerCall returns the mean number of attempts of the calls that were not shed.
func (m *metrics) sendsPerCall() float64 { return ratio(m.sends, m.offeredCalls-m.shedCalls) }

// ratio returns a/b, NaN if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return math.NaN()
	}
	return float64(a) / float64(b)
}

// groupShareRange returns the least and the greatest share of calls answered in time of any caller group, relative to the
// share over all groups.
func (m *metrics) groupShareRange() (least, greatest float64) {
	least = math.Inf(1)
	for i := range m.groupGood {
		share := ratio(m.groupGood[i], m.groupOffered[i]) / ratio(m.goodCalls, m.offeredCalls)
		least, greatest = min(least, share), max(greatest, share)
	}
	return least, greatest
}
