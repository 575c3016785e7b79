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
	feedCount    = 500
	feedInterval = 250 * time.Millisecond // between the packets of a feed, and between its readings
	feedLifetime = 30 * time.Second       // mean; a closed feed is replaced by a new one at once
	feedOpening  = 10 * time.Second       // during which the feeds are opened first
	feedSettled  = 30 * time.Second       // when measuring begins
	feedMeasured = 30 * time.Second
	feedAbsent   = 15 * time.Second // of a drained backend server
)

// feed is one feed of a caller.
type feed struct {
	id     uint64
	server *fakeServer
	closed bool
}

// feedModel adds feeds to the model.
type feedModel struct {
	*model
	next    uint64
	byIndex []*feed // the open feeds in order of opening, for choices that repeat with the seed
}

// pickBalancer returns the balancer to which the fabric delivers a packet.
func (m *model) pickBalancer() *fakeBalancer { return m.balancers[m.random.IntN(len(m.balancers))] }

// openFeed opens a feed and keeps it open until its lifetime ends.
func (f *feedModel) openFeed(attempt int) {
	b := f.pickBalancer()
	process := b.placer
	w := scheduler.Work{Service: serviceName, Kind: scheduler.WorkFeed, AffinityKey: f.random.Uint64N(keys)}
	choose := process.Place
	if attempt > 0 {
		choose = process.Retry
	}
	target, err := choose(f.clock(), w)
	if err != nil {
		f.after(100*time.Millisecond, func() { f.openFeed(attempt + 1) })
		return
	}
	s := f.byAddress[target]
	o := scheduler.Observation{Service: serviceName, BackendServer: target, WorkKind: scheduler.WorkFeed}
	f.next++
	d := &feed{id: f.next, server: s}
	report := func(kind scheduler.ObservationKind) {
		o.Kind, o.FlowID, o.Load, o.HasLoad = kind, d.id, s.load(), kind != scheduler.Sent
		process.Observe(f.clock(), o)
	}
	report(scheduler.Sent)
	s.inFlight++
	f.after(delay(b.zone, s.zone), func() {
		s.inFlight--
		if s.draining {
			o.Cause = framer.CauseDraining
			f.after(delay(b.zone, s.zone), func() {
				report(scheduler.Refused)
				f.openFeed(attempt + 1)
			})
			return
		}
		s.feeds++
		f.byIndex = append(f.byIndex, d)
		f.after(delay(b.zone, s.zone), func() { report(scheduler.FeedOpened) })
		f.after(time.Duration(f.random.Int64N(int64(feedInterval))), func() { f.keepalive(d) })
		f.after(time.Duration(f.random.ExpFloat64()*float64(feedLifetime)), func() {
			if !d.closed {
				f.closeFeed(d)
				f.openFeed(0)
			}
		})
	})
}

// keepalive sends the packets of a feed through random balancers. Each is followed by a reading through the same one.
func (f *feedModel) keepalive(d *feed) {
	if d.closed {
		return
	}
	b := f.pickBalancer()
	o := scheduler.Observation{
		Kind: scheduler.FeedPacketSeen, Service: serviceName, BackendServer: d.server.address, WorkKind: scheduler.WorkFeed, FlowID: d.id,
	}
	b.placer.Observe(f.clock(), o)
	f.after(2*delay(b.zone, d.server.zone), func() {
		o.Kind, o.Load, o.HasLoad = scheduler.LoadReported, d.server.load(), true
		b.placer.Observe(f.clock(), o)
	})
	f.after(feedInterval, func() { f.keepalive(d) })
}

func (f *feedModel) closeFeed(d *feed) {
	d.closed = true
	d.server.feeds--
	f.byIndex = slices.DeleteFunc(f.byIndex, func(x *feed) bool { return x == d })
	f.pickBalancer().placer.Observe(f.clock(), scheduler.Observation{
		Kind: scheduler.FeedClosed, Service: serviceName, BackendServer: d.server.address, WorkKind: scheduler.WorkFeed, FlowID: d.id,
	})
}

// moveAway moves the feeds of a draining backend server within 2 s.
func (f *feedModel) moveAway(s *fakeServer) {
	for _, d := range f.byIndex {
		if d.server != s {
			continue
		}
		f.after(time.Duration(f.random.Int64N(int64(2*time.Second))), func() {
			if !d.closed {
				f.openFeed(0)
				f.closeFeed(d)
			}
		})
	}
}

// feedSpread returns max/mean of open feeds per backend server, weighted by nothing: all have the same connections.
func (f *feedModel) feedSpread() float64 {
	var counts []float64
	for _, s := range f.servers {
		if !s.draining {
			counts = append(counts, float64(s.feeds))
		}
	}
	most, _ := spread(counts)
	return most
}

// feedResult holds the figures of one run with feeds.
type feedResult struct {
	mean, worst float64       // of max/mean, sampled every 100 ms
	balanced    time.Duration // until max/mean stays at most 1.10 and the first backend server has 0.9 of the mean; -1: always
}

// feedScenario names a variation and what happens when measuring begins.
type feedScenario struct {
	name  string
	begin func(*feedModel, *setup)
	vary  func(*model)
}

var feedScenarios = []feedScenario{
	{"alike", func(*feedModel, *setup) {}, nil},
	{"all balancers replaced", func(f *feedModel, u *setup) { f.replaceBalancers(u) }, nil},
	{"one reports no feeds", func(*feedModel, *setup) {}, lie(lieLow)},
	{"one drained, then back", func(f *feedModel, u *setup) {
		s := f.servers[0]
		s.draining = true
		f.announce()
		f.moveAway(s)
		f.after(feedAbsent, func() {
			s.draining = false
			f.announce()
		})
	}, nil},
}

// simulateFeeds runs one feed scenario. With drained, figures begin when the backend server is back.
func simulateFeeds(policy string, seed uint64, sc feedScenario) feedResult {
	u := usual(policy, 0, seed)
	u.prepare = sc.vary
	if policy == allKnowing {
		u.fresh = func(m *model, i int) placer { return &feedOracle{oracle{model: m, zone: m.balancers[i].zone}} }
	}
	m := build(&u)
	from := feedSettled
	back := sc.name == "one drained, then back"
	if back {
		from += feedAbsent
	}
	m.end = from + feedMeasured
	f := &feedModel{model: m}
	for i := range feedCount {
		f.after(feedOpening*time.Duration(i)/feedCount, func() { f.openFeed(0) })
	}
	f.after(feedSettled, func() { sc.begin(f, &u) })
	r := feedResult{balanced: -1}
	n := 0.0
	var sample func()
	sample = func() {
		x := f.feedSpread()
		n++
		r.mean += x
		r.worst = max(r.worst, x)
		if x > 1.10 || float64(f.servers[0].feeds) < 0.9*float64(len(f.byIndex))/float64(len(f.servers)) {
			r.balanced = f.now - from
		}
		f.after(100*time.Millisecond, sample)
	}
	f.after(from, sample)
	f.run()
	r.mean /= n
	return r
}

// feedOracle places feeds with exact knowledge of all open feeds.
type feedOracle struct{ oracle }

// Place implements placer.
func (o *feedOracle) Place(time.Time, scheduler.Work) (target netip.AddrPort, err error) {
	least := math.MaxInt
	for _, s := range o.model.servers {
		if n := s.feeds + s.inFlight; !s.draining && n < least {
			least, target = n, s.address
		}
	}
	return target, nil
}

// Retry implements placer.
func (o *feedOracle) Retry(now time.Time, w scheduler.Work) (netip.AddrPort, error) {
	return o.Place(now, w)
}
