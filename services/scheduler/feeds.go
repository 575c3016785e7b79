package scheduler

import (
	"math"
	"math/bits"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

const (
	// sampleBits is the size of a sample's bitmap. Linear counting with 2,048 bits has a standard error of less than one
	// feed at 36 feeds and of 2% at 2,000 feeds.
	sampleBits  = 2048
	sampleWords = sampleBits / 64
	// sampleWindow is the time that one bitmap covers. A feed sends about 4 packets a second, so one of 7 balancers misses a
	// feed in two windows with a probability of 0.3%.
	sampleWindow = 5 * time.Second
	// sampleWarmUp is the time after which a sample is complete enough for a comparison with reports.
	sampleWarmUp = 2 * sampleWindow
	// feedReportLifetime is the age up to which a reported number of feeds is preferred to the sample.
	feedReportLifetime = 3 * time.Second
	// feedTrustRatio is the factor by which the ratio of reported to sampled feeds may differ from its median.
	feedTrustRatio = 1.5
	// feedRatioOffset is added to both numbers of that ratio, as a ratio of small numbers varies too much.
	feedRatioOffset = 4
	// initialSampleScale is the scale until reports show the real one.
	initialSampleScale = 1
	// sampledOpenShare is the smallest fraction of the sampled feeds that a true report can have: the others may have closed
	// within the two windows, 10 s.
	sampledOpenShare = 0.6
	// zoneFeedTolerance is the number of feeds by which the least loaded backend server of the own availability zone may
	// exceed the least loaded one of the other zones before feeds go to other zones.
	zoneFeedTolerance = 1
)

// samplingWindows numbers the sampling windows of a service.
type samplingWindows struct {
	current   int64
	startedAt time.Time
}

// advance sets the current window.
func (w *samplingWindows) advance(now time.Time) {
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	w.current = int64(now.Sub(w.startedAt) / sampleWindow)
}

// feedSample estimates how many distinct feeds sent packets in the current and the previous window, by linear counting. Its
// size does not depend on the number of feeds.
type feedSample struct {
	window                    int64
	firstWindow               int64 // window of the first packet
	currentBits, previousBits [sampleWords]uint64
	bitsSet                   int // in either bitmap
}

// advance makes window the current one and drops bitmaps older than the window before it.
func (s *feedSample) advance(window int64) {
	if window == s.window {
		return
	}
	if window == s.window+1 {
		s.previousBits = s.currentBits
	} else {
		s.previousBits = [sampleWords]uint64{}
	}
	s.currentBits = [sampleWords]uint64{}
	s.window = window
	s.bitsSet = 0
	for _, w := range s.previousBits {
		s.bitsSet += bits.OnesCount64(w)
	}
}

// add marks a feed as seen in the current window.
func (s *feedSample) add(flowID uint64) {
	bit := ranker.Mix(flowID+1) % sampleBits
	word, mask := bit/64, uint64(1)<<(bit%64)
	if (s.currentBits[word]|s.previousBits[word])&mask == 0 {
		s.bitsSet++
	}
	s.currentBits[word] |= mask
}

// estimate returns the estimated number of distinct feeds.
func (s *feedSample) estimate() float64 {
	if s.bitsSet == 0 {
		return 0
	}
	clearBits := max(1, sampleBits-s.bitsSet)
	return -sampleBits * math.Log(float64(clearBits)/sampleBits)
}

// recordFeedPacket adds a packet of an established feed to the sample.
func (b *backend) recordFeedPacket(window int64, flowID uint64) {
	if b.feedSample == nil {
		b.feedSample = &feedSample{window: window, firstWindow: window}
	}
	b.feedSample.advance(window)
	b.feedSample.add(flowID)
}

// feedCount is a backend server's number of feeds by this balancer's own events and load reports, without the sample.
type feedCount struct {
	openedHere       float64 // opened by this balancer and not closed to its knowledge
	adjustedReport   float64 // reported feeds, with those opened and closed by this balancer since
	reportedAt       time.Time
	reportDistrusted bool
}

func (f *feedCount) recordOpened() {
	f.openedHere++
	f.adjustedReport++
}

func (f *feedCount) recordClosed() {
	f.openedHere = max(0, f.openedHere-1)
	f.adjustedReport = max(0, f.adjustedReport-1)
}

func (f *feedCount) recordReport(now time.Time, feeds int) {
	f.adjustedReport, f.reportedAt = float64(feeds), now
}

// hasFreshReport reports whether the last report is recent enough to be preferred to the sample.
func (f *feedCount) hasFreshReport(now time.Time) bool {
	return !f.reportedAt.IsZero() && now.Sub(f.reportedAt) <= feedReportLifetime
}

// feedSampling relates the samples of a service's feeds to load reports: with many balancers, each sees only part of the
// feeds.
type feedSampling struct {
	sampleScale float64 // open feeds for each sampled feed; 0 when unknown
	meanFeeds   float64 // assumed for backend servers without a sample or report
	complete    bool    // the samples cover sampleWarmUp
}

// openFeeds estimates a backend server's open feeds.
func (s *service) openFeeds(now time.Time, b *backend) float64 {
	hasSample := b.feedSample != nil && s.feedSampling.sampleScale > 0
	switch {
	case b.feeds.hasFreshReport(now) && !b.feeds.reportDistrusted:
		return b.feeds.adjustedReport
	case hasSample:
		return b.feedSample.estimate() * s.feedSampling.sampleScale
	case !b.feeds.reportedAt.IsZero() && !b.feeds.reportDistrusted:
		return b.feeds.adjustedReport
	}
	return max(s.feedSampling.meanFeeds, b.feeds.openedHere)
}

// updateFeedSampling recomputes the scale of the samples, which reports are distrusted, and the mean number of feeds.
func (s *service) updateFeedSampling(now time.Time) {
	s.windows.advance(now)
	ratios := s.scratch[:0]
	for _, b := range s.servers {
		if b.feedSample == nil {
			continue
		}
		b.feedSample.advance(s.windows.current)
		if b.feeds.hasFreshReport(now) {
			ratios = append(ratios, b.feedRatio())
		}
	}
	s.feedSampling.complete = s.windows.current >= int64(sampleWarmUp/sampleWindow)
	s.feedSampling.sampleScale = median(ratios, max(s.feedSampling.sampleScale, initialSampleScale))
	knownServers, sum := 0, 0.0
	for _, b := range s.servers {
		b.feeds.reportDistrusted = false
		if s.feedSampling.complete && len(ratios) >= 3 && b.feedSample != nil && b.feeds.hasFreshReport(now) {
			relativeRatio := b.feedRatio() / s.feedSampling.sampleScale
			b.feeds.reportDistrusted = relativeRatio > feedTrustRatio || relativeRatio < 1/feedTrustRatio
		}
		if b.feedSample != nil && b.feeds.adjustedReport+feedRatioOffset < b.feedSample.estimate()*sampledOpenShare {
			b.feeds.reportDistrusted = true // the sample shows more feeds than the report
		}
		if b.feedSample != nil || !b.feeds.reportedAt.IsZero() {
			knownServers++
			sum += s.openFeeds(now, b)
		}
	}
	if knownServers > 0 {
		s.feedSampling.meanFeeds = sum / float64(knownServers)
	}
}

// feedRatio returns the ratio of reported to sampled feeds.
func (b *backend) feedRatio() float64 {
	return (b.feeds.adjustedReport + feedRatioOffset) / (b.feedSample.estimate() + feedRatioOffset)
}

// placeFeed places a feed. The packets of a feed reach every balancer, so it matters little which balancer opens it and in
// which availability zone: the own zone is preferred only while its least loaded backend server has at most
// zoneFeedTolerance more feeds than the least loaded one of the other zones.
func (s *service) placeFeed(now time.Time, w *Work) (netip.AddrPort, error) {
	s.localCandidates, s.remoteCandidates = s.localCandidates[:0], s.remoteCandidates[:0]
	anyUsable := false
	leastLocal, leastRemote := math.MaxFloat64, math.MaxFloat64
	for _, b := range s.servers {
		if !b.isUsable(now, w.TriedServers) {
			continue
		}
		anyUsable = true
		openFeeds := s.openFeeds(now, b)
		candidate := Candidate{
			Address: b.Address, Hash: b.addressHash, Slots: b.Connections, Weight: b.Weight * b.health.weightFactor,
			RelativeServiceTime: 1, OwnInFlight: b.feeds.openedHere + float64(b.openingFeeds),
			OthersInFlight: max(0, openFeeds-b.feeds.openedHere),
		}
		if candidate.OwnInFlight+candidate.OthersInFlight+1 > float64(b.Connections) {
			continue
		}
		relativeLoad := (candidate.OwnInFlight + candidate.OthersInFlight) / candidate.Weight
		if b.inOwnZone {
			s.localCandidates = append(s.localCandidates, candidate)
			leastLocal = min(leastLocal, relativeLoad)
		} else {
			s.remoteCandidates = append(s.remoteCandidates, candidate)
			leastRemote = min(leastRemote, relativeLoad)
		}
	}
	candidates := s.localCandidates
	if leastLocal > leastRemote+zoneFeedTolerance {
		// All candidates of the own availability zone have more feeds than the least loaded remote one.
		candidates = s.remoteCandidates
	}
	if len(candidates) == 0 {
		if anyUsable {
			return netip.AddrPort{}, ErrShed
		}
		return netip.AddrPort{}, ErrNoBackendServer
	}
	return s.pick(candidates, w), nil
}
