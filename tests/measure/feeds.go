package main

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

const (
	feedCount          = 500                    // simultaneously open feeds
	feedPacketInterval = 250 * time.Millisecond // between two packets of a feed
	meanFeedLifetime   = 30 * time.Second       // a new feed is opened at once for each that is closed
	feedRampUp         = 10 * time.Second       // the first feeds are opened evenly over this time
	feedWarmUp         = 30 * time.Second       // time before the measured part
	feedMeasuredTime   = 30 * time.Second
	drainedTime        = 15 * time.Second // how long a drained backend server is out of the service
)

// feed is one feed of a caller.
type feed struct {
	id     uint64
	server *backendServer
	closed bool
}

// feedModel is a model with feeds.
type feedModel struct {
	*model
	lastFeedID uint64
	openFeeds  []*feed // in the order of opening, so that random choices repeat with the seed
}

// pickBalancer returns a random balancer, as the fabric delivers each packet to any of them.
func (m *model) pickBalancer() *balancer { return m.balancers[m.random.IntN(len(m.balancers))] }

// openFeed opens a feed through a random balancer and schedules its packets and its end. An attempt above 0 is a retry after a
// refusal.
func (m *feedModel) openFeed(attempt int) {
	b := m.pickBalancer()
	placer := b.placer
	w := scheduler.Work{Service: serviceName, Kind: scheduler.WorkFeed, AffinityKey: m.random.Uint64N(affinityKeys)}
	placeFunc := placer.Place
	if attempt > 0 {
		placeFunc = placer.Retry
	}
	target, err := placeFunc(m.clock(), w)
	if err != nil {
		m.schedule(100*time.Millisecond, func() { m.openFeed(attempt + 1) })
		return
	}
	s := m.serverByAddress[target]
	o := scheduler.Observation{Service: serviceName, BackendServer: target, WorkKind: scheduler.WorkFeed}
	m.lastFeedID++
	f := &feed{id: m.lastFeedID, server: s}
	observe := func(kind scheduler.ObservationKind) {
		o.Kind, o.FlowID, o.Load, o.HasLoad = kind, f.id, s.reportedLoad(), kind != scheduler.Sent
		placer.Observe(m.clock(), o)
	}
	observe(scheduler.Sent)
	s.inFlight++
	m.schedule(linkDelay(b.zone, s.zone), func() {
		s.inFlight--
		if s.draining {
			o.Cause = framer.CauseDraining
			m.schedule(linkDelay(b.zone, s.zone), func() {
				observe(scheduler.Refused)
				m.openFeed(attempt + 1)
			})
			return
		}
		s.openFeeds++
		m.openFeeds = append(m.openFeeds, f)
		m.schedule(linkDelay(b.zone, s.zone), func() { observe(scheduler.FeedOpened) })
		m.schedule(time.Duration(m.random.Int64N(int64(feedPacketInterval))), func() { m.sendFeedPackets(f) })
		m.schedule(time.Duration(m.random.ExpFloat64()*float64(meanFeedLifetime)), func() {
			if !f.closed {
				m.closeFeed(f)
				m.openFeed(0)
			}
		})
	})
}

// sendFeedPackets sends the packets of a feed through random balancers. The reply to each passes the same balancer and
// carries a load report.
func (m *feedModel) sendFeedPackets(f *feed) {
	if f.closed {
		return
	}
	b := m.pickBalancer()
	o := scheduler.Observation{
		Kind: scheduler.FeedPacketSeen, Service: serviceName, BackendServer: f.server.address, WorkKind: scheduler.WorkFeed, FlowID: f.id,
	}
	b.placer.Observe(m.clock(), o)
	m.schedule(2*linkDelay(b.zone, f.server.zone), func() {
		o.Kind, o.Load, o.HasLoad = scheduler.LoadReported, f.server.reportedLoad(), true
		b.placer.Observe(m.clock(), o)
	})
	m.schedule(feedPacketInterval, func() { m.sendFeedPackets(f) })
}

// closeFeed closes a feed. A random balancer receives the packet that closes it.
func (m *feedModel) closeFeed(f *feed) {
	f.closed = true
	f.server.openFeeds--
	m.openFeeds = slices.DeleteFunc(m.openFeeds, func(open *feed) bool { return open == f })
	m.pickBalancer().placer.Observe(m.clock(), scheduler.Observation{
		Kind: scheduler.FeedClosed, Service: serviceName, BackendServer: f.server.address, WorkKind: scheduler.WorkFeed, FlowID: f.id,
	})
}

// moveFeeds replaces each feed on a draining backend server by a new one, at a random time within 2 s.
func (m *feedModel) moveFeeds(s *backendServer) {
	for _, f := range m.openFeeds {
		if f.server != s {
			continue
		}
		m.schedule(time.Duration(m.random.Int64N(int64(2*time.Second))), func() {
			if !f.closed {
				m.openFeed(0)
				m.closeFeed(f)
			}
		})
	}
}

// feedImbalance returns max/mean of open feeds per backend server. It needs no weights, because the limit of connections is
// the same on all of them.
func (m *feedModel) feedImbalance() float64 {
	var counts []float64
	for _, s := range m.servers {
		if !s.draining {
			counts = append(counts, float64(s.openFeeds))
		}
	}
	maxToMean, _ := spread(counts)
	return maxToMean
}

// feedResult holds the figures of one run with feeds. balancedAfter is the time from the start of measuring until max/mean stays
// at most 1.10 and the first backend server keeps at least 0.9 of the mean; -1 means that both hold all the time.
type feedResult struct {
	meanImbalance, worstImbalance float64 // of max/mean of open feeds, sampled every 100 ms
	balancedAfter                 time.Duration
}

// feedScenario is a named variation of a simulation with feeds. prepare runs before it and may be nil, onMeasureStart runs at
// the end of the warm-up.
type feedScenario struct {
	name           string
	onMeasureStart func(*feedModel, *runConfig)
	prepare        func(*model)
}

var feedScenarios = []feedScenario{
	{"alike", func(*feedModel, *runConfig) {}, nil},
	{"all balancers replaced", func(m *feedModel, cfg *runConfig) { m.replaceBalancers(cfg) }, nil},
	{"one reports no feeds", func(*feedModel, *runConfig) {}, overrideLoad(reportNoLoad)},
	{"one drained, then back", func(m *feedModel, cfg *runConfig) {
		s := m.servers[0]
		s.draining = true
		m.distributeBackendList()
		m.moveFeeds(s)
		m.schedule(drainedTime, func() {
			s.draining = false
			m.distributeBackendList()
		})
	}, nil},
}

// simulateFeeds runs one feed scenario without requests. In the scenario with a drained backend server, the measured part
// starts when that backend server is back in service.
func simulateFeeds(policy string, seed uint64, sc feedScenario) feedResult {
	cfg := defaultRunConfig(policy, 0, seed)
	cfg.prepare = sc.prepare
	if policy == oraclePolicy {
		cfg.makePlacer = func(m *model, i int) placer { return &feedOracle{oracle{model: m, zone: m.balancers[i].zone}} }
	}
	base := newModel(&cfg)
	measureStart := feedWarmUp
	drained := sc.name == "one drained, then back"
	if drained {
		measureStart += drainedTime
	}
	base.end = measureStart + feedMeasuredTime
	m := &feedModel{model: base}
	for i := range feedCount {
		m.schedule(feedRampUp*time.Duration(i)/feedCount, func() { m.openFeed(0) })
	}
	m.schedule(feedWarmUp, func() { sc.onMeasureStart(m, &cfg) })
	r := feedResult{balancedAfter: -1}
	samples := 0.0
	var sample func()
	sample = func() {
		imbalance := m.feedImbalance()
		samples++
		r.meanImbalance += imbalance
		r.worstImbalance = max(r.worstImbalance, imbalance)
		if imbalance > 1.10 || float64(m.servers[0].openFeeds) < 0.9*float64(len(m.openFeeds))/float64(len(m.servers)) {
			r.balancedAfter = m.now - measureStart
		}
		m.schedule(100*time.Millisecond, sample)
	}
	m.schedule(measureStart, sample)
	m.runEvents()
	r.meanImbalance /= samples
	return r
}

// feedOracle places feeds with exact knowledge of all open feeds.
type feedOracle struct{ oracle }

// Place implements placer.
func (o *feedOracle) Place(time.Time, scheduler.Work) (target netip.AddrPort, err error) {
	least := math.MaxInt
	for _, s := range o.model.servers {
		if n := s.openFeeds + s.inFlight; !s.draining && n < least {
			least, target = n, s.address
		}
	}
	return target, nil
}

// Retry implements placer.
func (o *feedOracle) Retry(now time.Time, w scheduler.Work) (netip.AddrPort, error) {
	return o.Place(now, w)
}
