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
	// sampleWindow is how long one bitmap collects. A feed sends about 4 packets a second, so one of 7 balancers misses a
	// feed in two windows with a probability of 0.3%.
	sampleWindow = 5 * time.Second
	// sampleWarm is the time after which a sample is compared with reports.
	sampleWarm = 2 * sampleWindow
	// feedReportLifetime is how long a reported number of feeds is preferred to the sample.
	feedReportLifetime = 3 * time.Second
	// feedTrustRatio is how far reported feeds relative to the sample may be from the median of that ratio.
	feedTrustRatio = 1.5
	// feedRatioFloor keeps the ratio of two small numbers of feeds meaningful.
	feedRatioFloor = 4
	// minimumScale is used before any report has shown the real scale.
	minimumScale = 1
	// seenShare is the part of the sampled feeds that must be open at least: others may have closed in the last 10 s.
	seenShare = 0.6
	// feedTolerance is the number of feeds by which the own availability zone's least loaded backend server may exceed
	// the least loaded one of the service before the own availability zone counts as saturated.
	feedTolerance = 1
)

// window counts the sampling windows of a service.
type window struct {
	index   int64
	started time.Time
}

// advance moves to the window of now.
func (w *window) advance(now time.Time) {
	if w.started.IsZero() {
		w.started = now
	}
	w.index = int64(now.Sub(w.started) / sampleWindow)
}

// sample estimates how many different feeds were seen in the current and the previous window. Its size is fixed.
type sample struct {
	index    int64
	first    int64 // window of the first packet
	now, old [sampleWords]uint64
	set      int // bits set in either bitmap
}

// advance drops the bitmaps that are older than the window before index.
func (s *sample) advance(index int64) {
	if index == s.index {
		return
	}
	if index == s.index+1 {
		s.old = s.now
	} else {
		s.old = [sampleWords]uint64{}
	}
	s.now = [sampleWords]uint64{}
	s.index = index
	s.set = 0
	for _, w := range s.old {
		s.set += bits.OnesCount64(w)
	}
}

func (s *sample) add(flow uint64) {
	bit := ranker.Mix(flow+1) % sampleBits
	word, mask := bit/64, uint64(1)<<(bit%64)
	if (s.now[word]|s.old[word])&mask == 0 {
		s.set++
	}
	s.now[word] |= mask
}

// count returns the estimated number of different feeds.
func (s *sample) count() float64 {
	if s.set == 0 {
		return 0
	}
	free := max(1, sampleBits-s.set)
	return -sampleBits * math.Log(float64(free)/sampleBits)
}

// seen counts a packet of an established feed.
func (e *server) seen(index int64, flow uint64) {
	if e.samples == nil {
		e.samples = &sample{index: index, first: index}
	}
	e.samples.advance(index)
	e.samples.add(flow)
}

// feedCount holds what a balancer knows of a backend server's feeds without the sample.
type feedCount struct {
	own        float64 // opened here and not seen closing
	base       float64 // reported feeds, with what happened here since
	reported   time.Time
	distrusted bool
}

func (f *feedCount) opened() {
	f.own++
	f.base++
}

func (f *feedCount) closed() {
	f.own = max(0, f.own-1)
	f.base = max(0, f.base-1)
}

func (f *feedCount) report(now time.Time, feeds int) {
	f.base, f.reported = float64(feeds), now
}

// fresh reports whether the last report may be used.
func (f *feedCount) fresh(now time.Time) bool {
	return !f.reported.IsZero() && now.Sub(f.reported) <= feedReportLifetime
}

// feedScale relates samples to reports in one service: with many balancers a balancer sees only part of the feeds.
type feedScale struct {
	scale float64 // feeds for each sampled feed; 0 when unknown
	mean  float64 // for backend servers of which nothing is known
	warm  bool    // the sample is old enough for comparisons
}

// openFeeds estimates a backend server's open feeds.
func (v *service) openFeeds(now time.Time, e *server) float64 {
	sampled := e.samples != nil && v.feeds.scale > 0
	switch {
	case e.feeds.fresh(now) && !e.feeds.distrusted:
		return e.feeds.base
	case sampled:
		return e.samples.count() * v.feeds.scale
	case !e.feeds.reported.IsZero() && !e.feeds.distrusted:
		return e.feeds.base
	}
	return max(v.feeds.mean, e.feeds.own)
}

// reviewFeeds recomputes the scale of the samples, whether reports fit them, and the mean number of feeds.
func (v *service) reviewFeeds(now time.Time) {
	v.sampled.advance(now)
	ratios := v.scratch[:0]
	for _, e := range v.servers {
		if e.samples == nil {
			continue
		}
		e.samples.advance(v.sampled.index)
		if e.feeds.fresh(now) {
			ratios = append(ratios, e.feedRatio())
		}
	}
	v.feeds.warm = v.sampled.index >= int64(sampleWarm/sampleWindow)
	v.feeds.scale = median(ratios, max(v.feeds.scale, minimumScale))
	known, sum := 0, 0.0
	for _, e := range v.servers {
		e.feeds.distrusted = false
		if v.feeds.warm && len(ratios) >= 3 && e.samples != nil && e.feeds.fresh(now) {
			r := e.feedRatio() / v.feeds.scale
			e.feeds.distrusted = r > feedTrustRatio || r < 1/feedTrustRatio
		}
		if e.samples != nil && e.feeds.base+feedRatioFloor < e.samples.count()*seenShare {
			e.feeds.distrusted = true // more feeds were seen than it reports
		}
		if e.samples != nil || !e.feeds.reported.IsZero() {
			known++
			sum += v.openFeeds(now, e)
		}
	}
	if known > 0 {
		v.feeds.mean = sum / float64(known)
	}
}

func (e *server) feedRatio() float64 {
	return (e.feeds.base + feedRatioFloor) / (e.samples.count() + feedRatioFloor)
}

// placeFeed places a feed. The packets of a feed reach every balancer, so the availability zone of the balancer that
// opens it matters little: the own availability zone is used only while its least loaded backend server has about as
// few feeds as the least loaded one of the service.
func (v *service) placeFeed(now time.Time, w *Work) (netip.AddrPort, error) {
	v.local, v.remote = v.local[:0], v.remote[:0]
	usable := false
	leastLocal, leastRemote := math.MaxFloat64, math.MaxFloat64
	for _, e := range v.servers {
		if !e.usable(now, w.TriedServers) {
			continue
		}
		usable = true
		open := v.openFeeds(now, e)
		c := Candidate{
			Address: e.Address, Hash: e.hash, Slots: e.Connections, Weight: e.Weight * e.health.share, RelativeServiceTime: 1,
			OwnInFlight: e.feeds.own + float64(e.opening), OthersInFlight: max(0, open-e.feeds.own),
		}
		if c.OwnInFlight+c.OthersInFlight+1 > float64(e.Connections) {
			continue
		}
		relative := (c.OwnInFlight + c.OthersInFlight) / c.Weight
		if e.local {
			v.local = append(v.local, c)
			leastLocal = min(leastLocal, relative)
		} else {
			v.remote = append(v.remote, c)
			leastRemote = min(leastRemote, relative)
		}
	}
	candidates := v.local
	if leastLocal > leastRemote+feedTolerance {
		// The remote candidates alone: the own availability zone's backend servers have more feeds than the best of them.
		candidates = v.remote
	}
	if len(candidates) == 0 {
		if usable {
			return netip.AddrPort{}, ErrShed
		}
		return netip.AddrPort{}, ErrNoBackendServer
	}
	return v.pick(candidates, w), nil
}
