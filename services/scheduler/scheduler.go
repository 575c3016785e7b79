// Package scheduler decides which backend server gets a new request or feed. It combines a placement policy with
// estimates of the load that other balancers put on the same backend servers, concurrency limits, load shedding that is
// fair between caller groups, a retry budget, outlier ejection and slow start.
//
// The package has no clock, sockets or goroutines: the caller passes the time, every event and the random source. A
// Scheduler is not safe for concurrent use.
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
	ErrShed            = eris.New("every usable backend server is at its limit: retry later")
	ErrOverloaded      = eris.New("the capacity is needed for requests of a higher priority: retry later")
	ErrNoBackendServer = eris.New("no backend server can take the work: check the service's backend servers and their state")
	ErrRetryBudget     = eris.New("the retry budget is used up: report the failure to the caller")
	ErrExpired         = eris.New("the deadline has passed or cannot be met: use a later deadline")
)

// IsErrShed reports whether err is an ErrShed.
func IsErrShed(err error) bool { return eris.Is(err, ErrShed) }

// IsErrOverloaded reports whether err is an ErrOverloaded.
func IsErrOverloaded(err error) bool { return eris.Is(err, ErrOverloaded) }

// IsErrNoBackendServer reports whether err is an ErrNoBackendServer.
func IsErrNoBackendServer(err error) bool { return eris.Is(err, ErrNoBackendServer) }

// IsErrRetryBudget reports whether err is an ErrRetryBudget.
func IsErrRetryBudget(err error) bool { return eris.Is(err, ErrRetryBudget) }

// IsErrExpired reports whether err is an ErrExpired.
func IsErrExpired(err error) bool { return eris.Is(err, ErrExpired) }

// WorkKind is the kind of a piece of work.
type WorkKind uint8

// The kinds of work.
const (
	// WorkFeed is a feed. It is long-lived and counts against a backend server's connections.
	WorkFeed WorkKind = 1
	// WorkRequest is an idempotent request. It counts against a backend server's slots.
	WorkRequest WorkKind = 2
	// WorkAtMostOnce is a non-idempotent request. It counts against a backend server's slots.
	WorkAtMostOnce WorkKind = 3
)

// BackendServer is a backend server of a service as the settings and the VM list describe it.
type BackendServer struct {
	Address          netip.AddrPort
	AvailabilityZone string
	Group            string
	Slots            int     // requests that it runs at the same time
	Connections      int     // largest number of open feeds
	Leaving          bool    // gets no new work
	Evacuated        bool    // gets no new work, because its availability zone is evacuated
	Weight           float64 // 0 means 1
}

// Work is a request or feed that has to be placed.
type Work struct {
	Service      string
	Kind         WorkKind
	CallerGroup  string
	TriedServers []netip.AddrPort // backend servers that got the work before and must not get it again
	Deadline     time.Time        // the zero time means none
	AffinityKey  uint64           // hashed by RendezvousBounded; other policies ignore it
	Waited       bool             // Place was called for it before and returned ErrShed
}

// Config configures a Scheduler.
type Config struct {
	AvailabilityZone string
	// ZoneDelays holds the one-way delays to other availability zones; DefaultZoneDelay applies to those not listed.
	ZoneDelays map[string]time.Duration
	Policy     Policy // nil means the default policy
	Limits     Limits
	Health     Health
	Random     *rand.Rand

	admission Admission // of one service, see Configure
}

// DefaultZoneDelay is the assumed one-way delay to an availability zone that Config.ZoneDelays does not list.
const DefaultZoneDelay = 4 * time.Millisecond

// Scheduler places new work on backend servers.
type Scheduler struct {
	config   Config
	services map[string]*service
	// admissionOutdated is set when backend servers or tunables have changed since the last updateAdmission.
	admissionOutdated bool
}

// service is the scheduling state of one service.
type service struct {
	config               *Config
	servers              []*backend    // sorted by address
	localServers         []*backend    // in the own availability zone, see setZones
	remoteServers        []*backend    // in other availability zones
	ownZoneEvacuated     bool          // all backend servers of the own availability zone are evacuated
	serversByZone        [][]*backend  // one list for each availability zone
	nearestZoneDelay     time.Duration // shortest one-way delay to another availability zone
	localCandidates      []Candidate
	remoteCandidates     []Candidate
	scratch              []float64     // buffer for medians, reused to avoid allocations
	choice               Choice        // reused, because the policy's argument would otherwise be allocated for each placement
	sequence             uint64        // number of placements, for Choice.Sequence
	medianOthersInFlight float64       // requests of other balancers on the median backend server of the own availability zone
	medianServiceTime    time.Duration // median service time of the backend servers
	refreshedAt          time.Time     // when refresh last ran
	starvedServer        *backend      // gets probe requests because it got far less than its share; nil when there is none
	probeFraction        float64       // fraction of requests that starvedServer gets as probes
	correctionWeight     float64       // weight of load corrections, nearly 0 when the availability zone has many balancers
	spillRate            float64       // fraction of requests that go to other availability zones
	feedSampling         feedSampling
	callerGroups         callerGroups
	admission            *admission // shared by the services of a pool; nil unless priorities differ
	classes              [2]int     // classes of the admission for idempotent and for other requests
	recent               recentLoad // kept while there is an admission
	preferred            []*backend // localServers by preference, see localCandidateServers; nil until it is needed
	hasFloor             bool       // the current request is one of floorShare
	retryBudget          retryBudget
	windows              samplingWindows
	scanSubset           scanSubset
}

// New returns a scheduler without backend servers.
func New(c Config) *Scheduler {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return &Scheduler{
		config: *c.withTunables(Tunables{Policy: c.Policy, Limits: c.Limits, Health: c.Health}), services: make(map[string]*service),
	}
}

// Tunables are the settings that may differ between services. Zero values mean the defaults.
type Tunables struct {
	Policy Policy
	Limits Limits
	Health Health
	// Admission takes effect only where services with different priorities share VMs.
	Admission Admission
}

// Configure replaces the policy, limits and health settings of a known service and keeps its state. It is ignored for
// an unknown service: call SetBackendServers first. Zero values mean the defaults, except for RetryBudget, where 0 allows
// no retries, and SlowStart, where 0 gives a backend server its full weight at once.
func (s *Scheduler) Configure(service string, t Tunables) {
	if sv := s.services[service]; sv != nil {
		sv.config = s.config.withTunables(t)
		sv.config.Limits.RetryBudget, sv.config.Health.SlowStart = t.Limits.RetryBudget, t.Health.SlowStart
		s.admissionOutdated = true
	}
}

// SetZoneDelays replaces the one-way delays to other availability zones. They take effect with the next
// SetBackendServers.
func (s *Scheduler) SetZoneDelays(delays map[string]time.Duration) {
	s.config.ZoneDelays = delays
	for _, sv := range s.services {
		sv.config.ZoneDelays = delays
	}
}

// withTunables returns a copy of the configuration with other tunables and their defaults.
func (c *Config) withTunables(t Tunables) *Config {
	copied := *c
	copied.Policy, copied.Limits, copied.Health = t.Policy, t.Limits.withDefaults(), t.Health.withDefaults()
	copied.admission = t.Admission
	if copied.Policy == nil {
		copied.Policy = DefaultPolicy()
	}
	return &copied
}

// SetBackendServers replaces the list of a service's backend servers. A backend server that stays in the list keeps its
// state. One that is added to a known service, or that is no longer leaving or evacuated, gets a slow start. An empty list removes the
// service.
func (s *Scheduler) SetBackendServers(now time.Time, name string, list []BackendServer) {
	s.admissionOutdated = true
	if len(list) == 0 {
		delete(s.services, name)
		return
	}
	sv, known := s.services[name]
	if !known {
		sv = &service{config: &s.config, medianServiceTime: initialServiceTime, retryBudget: newRetryBudget()}
		s.services[name] = sv
	}
	servers := make([]*backend, 0, len(list))
	for _, listed := range list {
		b := sv.find(listed.Address)
		switch {
		case b == nil:
			b = newBackend(&s.config, listed)
			if known {
				b.beginSlowStart(now)
			}
		case (b.Leaving || b.Evacuated) && !listed.Leaving && !listed.Evacuated:
			b.beginSlowStart(now)
		}
		if listed.Evacuated {
			b.health.ejected = false // so that it does not count towards the limit on ejections
		}
		b.configure(&s.config, listed)
		servers = append(servers, b)
	}
	slices.SortFunc(servers, func(a, b *backend) int { return a.Address.Compare(b.Address) })
	sv.servers = slices.CompactFunc(servers, func(a, b *backend) bool { return a.Address == b.Address })
	sv.setZones()
	sv.serversByZone = groupByZone(sv.servers)
	sv.scanSubset = scanSubset{selected: make([]*backend, 0, subsetReporters+subsetRotation)}
	sv.starvedServer = nil
	sv.localCandidates = make([]Candidate, 0, len(servers))
	sv.remoteCandidates = make([]Candidate, 0, len(servers))
	sv.scratch = make([]float64, 0, len(servers))
	sv.refreshedAt = time.Time{}
}

// setZones divides the backend servers into those of the own availability zone, which get requests first, and those of other
// zones. While the own zone is evacuated, those of all other zones take its place, so that requests go to them by load.
func (s *service) setZones() {
	s.localServers, s.remoteServers, s.preferred, s.nearestZoneDelay = nil, nil, nil, math.MaxInt64/2
	for _, b := range s.servers {
		if b.inOwnZone {
			s.localServers = append(s.localServers, b)
		} else {
			s.remoteServers = append(s.remoteServers, b)
			s.nearestZoneDelay = min(s.nearestZoneDelay, b.zoneDelay)
		}
	}
	inUse := func(b *backend) bool { return !b.Evacuated }
	s.ownZoneEvacuated = len(s.localServers) > 0 && !slices.ContainsFunc(s.localServers, inUse)
	if s.ownZoneEvacuated {
		s.localServers, s.remoteServers, s.nearestZoneDelay = s.remoteServers, nil, math.MaxInt64/2
	}
}

// groupByZone groups backend servers by availability zone, in the order in which the zones first occur.
func groupByZone(servers []*backend) (zones [][]*backend) {
	index := make(map[string]int)
	for _, b := range servers {
		i, ok := index[b.AvailabilityZone]
		if !ok {
			i = len(zones)
			index[b.AvailabilityZone] = i
			zones = append(zones, nil)
		}
		zones[i] = append(zones[i], b)
	}
	return zones
}

// find returns the backend server at an address, or nil.
func (s *service) find(address netip.AddrPort) *backend {
	i, ok := slices.BinarySearchFunc(s.servers, address, func(b *backend, a netip.AddrPort) int {
		return b.Address.Compare(a)
	})
	if !ok {
		return nil
	}
	return s.servers[i]
}

// Place returns the backend server that gets the work, or ErrShed, ErrOverloaded, ErrNoBackendServer or ErrExpired. The caller must
// report the send and its outcome with Observe.
func (s *Scheduler) Place(now time.Time, w Work) (netip.AddrPort, error) {
	sv := s.currentService(w.Service)
	if sv == nil {
		return netip.AddrPort{}, ErrNoBackendServer
	}
	if !sv.admits(now, &w) {
		return netip.AddrPort{}, ErrOverloaded
	}
	address, err := sv.place(now, &w)
	if err == nil {
		sv.retryBudget.deposit(sv.config.Limits.RetryBudget)
	}
	return address, err
}

// currentService returns a service with the admission control of the current backend servers and tunables, or nil.
func (s *Scheduler) currentService(name string) *service {
	if s.admissionOutdated {
		s.updateAdmission()
	}
	return s.services[name]
}

// Retry is Place for work that was sent before. It takes from the retry budget, which each first attempt refills.
func (s *Scheduler) Retry(now time.Time, w Work) (netip.AddrPort, error) {
	sv := s.currentService(w.Service)
	if sv == nil {
		return netip.AddrPort{}, ErrNoBackendServer
	}
	if !sv.retryBudget.hasToken() {
		return netip.AddrPort{}, ErrRetryBudget
	}
	address, err := sv.place(now, &w)
	if err == nil {
		sv.retryBudget.withdraw()
	}
	return address, err
}

func (s *service) place(now time.Time, w *Work) (netip.AddrPort, error) {
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return netip.AddrPort{}, ErrExpired
	}
	s.refresh(now)
	if w.Kind == WorkFeed {
		return s.placeFeed(now, w)
	}
	return s.placeRequest(now, w)
}

// tieTolerance is the difference in Load of requests that counts as noise. While nearly all backend servers are idle,
// loads differ only by the long-term averages of other balancers' requests, and without a tolerance one balancer keeps
// preferring the backend servers whose average is lowest by chance. Feeds are counted exactly and need no tolerance.
const tieTolerance = 0.1

// pick lets the policy choose among candidates.
func (s *service) pick(candidates []Candidate, w *Work) netip.AddrPort {
	s.sequence++
	s.choice = Choice{Candidates: candidates, AffinityKey: w.AffinityKey, Sequence: s.sequence, Random: s.config.Random}
	if w.Kind != WorkFeed {
		s.choice.TieTolerance = tieTolerance
	}
	return candidates[s.config.Policy.Pick(&s.choice)].Address
}

// median returns the median of values, which it sorts, or fallback when there are none.
func median[T cmp.Ordered](values []T, fallback T) T {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// lowerMedian returns the lower of the two middle values of an even number of values, and 0 for none. With two backend
// servers, the higher value may come from one that wrongly reports that it is always full: it gets too few requests for
// its answers to disprove the reports soon. A backend server that wrongly reports that it is idle is detected sooner,
// because each request contradicts its reports.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
