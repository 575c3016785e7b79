// Package scheduler decides which backend server gets new work. It joins a placement policy with estimates of the load
// that other balancers put on the same backend servers, concurrency limits, load shedding that is fair between caller
// groups, a retry budget, health and slow start.
//
// The package is pure decision code: the caller passes the time, every event and the random source. A Scheduler is not
// safe for concurrent use.
package scheduler

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of Place and Retry.
var (
	ErrShed            = eris.New("every usable backend server is at its limit: send the work again later")
	ErrNoBackendServer = eris.New("no backend server can take the work: check the service's backend servers and their state")
	ErrRetryBudget     = eris.New("the retry budget is used up: report the failure to the caller")
	ErrExpired         = eris.New("the deadline has passed or cannot be met: use a later deadline")
)

// IsErrShed reports whether err is an ErrShed.
func IsErrShed(err error) bool { return eris.Is(err, ErrShed) }

// IsErrNoBackendServer reports whether err is an ErrNoBackendServer.
func IsErrNoBackendServer(err error) bool { return eris.Is(err, ErrNoBackendServer) }

// IsErrRetryBudget reports whether err is an ErrRetryBudget.
func IsErrRetryBudget(err error) bool { return eris.Is(err, ErrRetryBudget) }

// IsErrExpired reports whether err is an ErrExpired.
func IsErrExpired(err error) bool { return eris.Is(err, ErrExpired) }

// WorkKind tells the kinds of work apart.
type WorkKind uint8

// The kinds of work.
const (
	// WorkFeed is a feed: long-lived, counted against a backend server's connections.
	WorkFeed WorkKind = 1
	// WorkRequest is an idempotent request, counted against a backend server's slots.
	WorkRequest WorkKind = 2
	// WorkAtMostOnce is a non-idempotent request, counted against a backend server's slots.
	WorkAtMostOnce WorkKind = 3
)

// BackendServer is a backend server of a service as the settings and the VM list describe it.
type BackendServer struct {
	Address          netip.AddrPort
	AvailabilityZone string
	Group            string
	Slots            int
	Connections      int
	Leaving          bool
	Weight           float64 // 0 means 1
}

// Work is one piece of new work.
type Work struct {
	Service      string
	Kind         WorkKind
	CallerGroup  string
	TriedServers []netip.AddrPort // backend servers that must not get the work again
	Deadline     time.Time        // the zero time means none
	AffinityKey  uint64           // what RendezvousBounded hashes; other policies ignore it
}

// Config holds what New needs.
type Config struct {
	AvailabilityZone string
	// ZoneDelays holds the one-way delays to other availability zones; DefaultZoneDelay applies to those not listed.
	ZoneDelays map[string]time.Duration
	Policy     Policy // nil means the default policy
	Limits     Limits
	Health     Health
	Random     *rand.Rand
}

// DefaultZoneDelay is the one-way delay that is assumed to an availability zone that Config.ZoneDelays does not list.
const DefaultZoneDelay = 4 * time.Millisecond

// Scheduler places new work on backend servers.
type Scheduler struct {
	config   Config
	services map[string]*service
}

// service holds the state of one service.
type service struct {
	config       *Config
	servers      []*server     // by address
	own          []*server     // those in the own availability zone
	others       []*server     // those in other availability zones
	zones        [][]*server   // by availability zone
	nearest      time.Duration // least one-way delay to another availability zone
	local        []Candidate
	remote       []Candidate
	scratch      []float64
	choice       Choice // kept here because a policy's argument would otherwise be allocated for each placement
	turn         uint64
	medianOthers float64       // work of other balancers on the median backend server of the own availability zone
	typical      time.Duration // median service time of the backend servers
	reviewed     time.Time     // when review last ran
	starved      *server       // gets probes, because it got far less than its share
	probes       float64       // share of requests that it gets as probes
	part         float64       // weight of corrections: nearly 0 when this is one of many balancers of its availability zone
	spill        float64       // share of requests that go to other availability zones
	feeds        feedScale
	groups       groups
	budget       retryBudget
	sampled      window
	bounded      bounded
}

// New returns a scheduler that knows no backend servers yet.
func New(c Config) *Scheduler {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return &Scheduler{
		config: *c.with(Tunables{c.Policy, c.Limits, c.Health}), services: make(map[string]*service),
	}
}

// Tunables are the settings that may differ between services. Zero values mean the defaults.
type Tunables struct {
	Policy Policy
	Limits Limits
	Health Health
}

// Configure replaces the policy, limits and health settings of a known service and keeps its state. It is ignored for
// an unknown service: SetBackendServers comes first. Zero values mean the defaults, but for RetryBudget, where 0 allows no
// retries, and SlowStart, where 0 gives a backend server its full share at once.
func (s *Scheduler) Configure(service string, t Tunables) {
	if v := s.services[service]; v != nil {
		v.config = s.config.with(t)
		v.config.Limits.RetryBudget, v.config.Health.SlowStart = t.Limits.RetryBudget, t.Health.SlowStart
	}
}

// SetZoneDelays replaces the one-way delays to other availability zones. They take effect with the next
// SetBackendServers.
func (s *Scheduler) SetZoneDelays(delays map[string]time.Duration) {
	s.config.ZoneDelays = delays
	for _, v := range s.services {
		v.config.ZoneDelays = delays
	}
}

// with returns a copy of the configuration with other tunables.
func (c *Config) with(t Tunables) *Config {
	d := *c
	d.Policy, d.Limits, d.Health = t.Policy, t.Limits.withDefaults(), t.Health.withDefaults()
	if d.Policy == nil {
		d.Policy = DefaultPolicy()
	}
	return &d
}

// SetBackendServers replaces the list of a service's backend servers. What is known of a backend server that stays in
// the list is kept. A backend server that is added to a known service, or that no longer leaves, gets a slow start. An
// empty list forgets the service.
func (s *Scheduler) SetBackendServers(now time.Time, name string, list []BackendServer) {
	if len(list) == 0 {
		delete(s.services, name)
		return
	}
	v, known := s.services[name]
	if !known {
		v = &service{config: &s.config, typical: initialServiceTime, budget: newRetryBudget()}
		s.services[name] = v
	}
	servers := make([]*server, 0, len(list))
	for _, b := range list {
		e := v.find(b.Address)
		switch {
		case e == nil:
			e = newServer(&s.config, b)
			if known {
				e.startSlowly(now)
			}
		case e.Leaving && !b.Leaving:
			e.startSlowly(now)
		}
		e.configure(&s.config, b)
		servers = append(servers, e)
	}
	slices.SortFunc(servers, func(a, b *server) int { return a.Address.Compare(b.Address) })
	v.servers = slices.CompactFunc(servers, func(a, b *server) bool { return a.Address == b.Address })
	v.own, v.others, v.nearest = nil, nil, math.MaxInt64/2
	for _, e := range v.servers {
		if e.local {
			v.own = append(v.own, e)
		} else {
			v.others = append(v.others, e)
			v.nearest = min(v.nearest, e.delay)
		}
	}
	v.zones = byZone(v.servers)
	v.bounded = bounded{list: make([]*server, 0, latestReports+turnServers)}
	v.starved = nil
	v.local = make([]Candidate, 0, len(servers))
	v.remote = make([]Candidate, 0, len(servers))
	v.scratch = make([]float64, 0, len(servers))
	v.reviewed = time.Time{}
}

// byZone groups backend servers by their availability zone, in order of their first one.
func byZone(servers []*server) (zones [][]*server) {
	index := make(map[string]int)
	for _, e := range servers {
		i, ok := index[e.AvailabilityZone]
		if !ok {
			i = len(zones)
			index[e.AvailabilityZone] = i
			zones = append(zones, nil)
		}
		zones[i] = append(zones[i], e)
	}
	return zones
}

// find returns the backend server at an address, or nil.
func (v *service) find(address netip.AddrPort) *server {
	i, ok := slices.BinarySearchFunc(v.servers, address, func(e *server, a netip.AddrPort) int {
		return e.Address.Compare(a)
	})
	if !ok {
		return nil
	}
	return v.servers[i]
}

// Place returns the backend server that gets the work: ErrShed, ErrNoBackendServer and ErrExpired tell why there is
// none. Observe must report what became of the work, first with Sent.
func (s *Scheduler) Place(now time.Time, w Work) (netip.AddrPort, error) {
	v := s.services[w.Service]
	if v == nil {
		return netip.AddrPort{}, ErrNoBackendServer
	}
	address, err := v.place(now, &w)
	if err == nil {
		v.budget.deposit(v.config.Limits.RetryBudget)
	}
	return address, err
}

// Retry is Place for work that was sent before. It charges the retry budget, which grows with each first try.
func (s *Scheduler) Retry(now time.Time, w Work) (netip.AddrPort, error) {
	v := s.services[w.Service]
	if v == nil {
		return netip.AddrPort{}, ErrNoBackendServer
	}
	if !v.budget.available() {
		return netip.AddrPort{}, ErrRetryBudget
	}
	address, err := v.place(now, &w)
	if err == nil {
		v.budget.withdraw()
	}
	return address, err
}

func (v *service) place(now time.Time, w *Work) (netip.AddrPort, error) {
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return netip.AddrPort{}, ErrExpired
	}
	v.review(now)
	if w.Kind == WorkFeed {
		return v.placeFeed(now, w)
	}
	return v.placeRequest(now, w)
}

// tieTolerance is the difference in Load of requests that is taken for noise. While nearly all backend servers are idle,
// loads differ only by the long averages of other balancers' work, and without a tolerance one balancer keeps preferring
// the backend servers whose average is lowest by chance. Feeds are counted and need none.
const tieTolerance = 0.1

// pick lets the policy choose among candidates.
func (v *service) pick(candidates []Candidate, w *Work) netip.AddrPort {
	v.turn++
	v.choice = Choice{Candidates: candidates, AffinityKey: w.AffinityKey, Sequence: v.turn, Random: v.config.Random}
	if w.Kind != WorkFeed {
		v.choice.TieTolerance = tieTolerance
	}
	return candidates[v.config.Policy.Pick(&v.choice)].Address
}

// median returns the median of values, which it sorts, or fallback when there are none.
func median[T cmp.Ordered](values []T, fallback T) T {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// lowerMedian returns the lower of the middle values. Of two, one may always say that it is full, and too few answers come from
// such a backend server to distrust it soon, while one that says that it is idle contradicts itself with each request.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
