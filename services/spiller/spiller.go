// Package spiller decides which share of the new flows of an availability zone goes to another zone, because requests are expected to take
// less time there by more than a margin. The load it handles: a daemon of a large zone sees 2 to 20 responses a second and must tell a zone
// that is slow or full from the tail of the work times, without moving flows back and forth. The package uses no sockets, goroutines, clock
// or global randomness. A Spiller is not safe for concurrent use.
package spiller

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// homeTTL is how long a response of the home zone counts. It bounds the time until flows return after a recovery.
	homeTTL = 2 * time.Second
	// otherTTL is the same for other zones, of which this daemon sees few responses.
	otherTTL = 5 * time.Second
	// minSamples is the number of responses from which on the time in a zone is known. Fewer may be those of the tail.
	minSamples = 4
	// maxSamples is the number of responses kept for a zone.
	maxSamples = 16
	// maxExcess bounds the time of a response beyond the reference, as a multiple of the reference. A response in the tail, at 7 times the
	// work, must not outweigh the others.
	maxExcess = 6
	// rejectionFactor is the share of the reference below which a response is a rejection: a full backend server answers 503 without any
	// work. It counts as a request of the longest time, and is no sample of the reference.
	rejectionFactor = 0.25
	// classSamples is the number of response times whose median is the reference of a class, which is known from minClassSamples on.
	classSamples    = 32
	minClassSamples = 8
	// referenceRise is the largest rise of a reference in a second, as a share. A fault of 10 s raises it by a fifth.
	referenceRise = 0.02
	// stepInterval is the time between two changes of the share. Flows of one step answer within it.
	stepInterval = 250 * time.Millisecond
	// stepUp is added to the share while another zone is faster. The full share is reached within 1.5 s.
	stepUp = 0.15
	// stepDown is the factor by which the share falls once the home zone is as fast, and agingDown while its speed is unknown.
	stepDown, agingDown = 0.5, 0.85
	// trialShare bounds the share while no response of another zone is known, which then counts as the mean.
	trialShare = 0.4
	// maxShare keeps some flows in the home zone, so that its recovery shows.
	maxShare = 0.8
	// minShare is the share below which none is left.
	minShare = 0.02
	// unreachableOpenings is the number of unanswered openings in a row after which a zone gets no flows for unreachableTTL: one or two
	// packets may be lost.
	unreachableOpenings = 3
	unreachableTTL      = 5 * time.Second
	// maxDoublings bounds the time without flows to such a zone to 40 s. It doubles with each further unanswered opening.
	maxDoublings = 3
)

// Config holds the settings of a Spiller.
type Config struct {
	// Margin is by how much a request must be expected to take less time in another zone. It stands for the cost of traffic between zones.
	Margin time.Duration
}

// Zone is another zone with backend servers of a service that accept new flows.
type Zone struct {
	Name string
	// ExtraRoundTrip is how much longer a round trip to this zone takes than one in the home zone, 0 if unknown.
	ExtraRoundTrip time.Duration
}

// Spiller decides for one daemon.
type Spiller struct {
	config      Config
	classes     map[string]*class
	services    map[string]*service
	unreachable map[string]*openings
}

// New returns a Spiller without samples.
func New(c Config) *Spiller {
	return &Spiller{config: c, classes: map[string]*class{}, services: map[string]*service{}, unreachable: map[string]*openings{}}
}

// openings counts the unanswered openings of a zone since the last answered one.
type openings struct {
	unanswered int
	lastAt     time.Time
}

// service is the state of a service.
type service struct {
	home      samples
	away      samples // of all other zones
	others    map[string]*samples
	share     float64
	steppedAt time.Time
}

// class holds the newest response times of what has similar work, and their reference.
type class struct {
	times     [classSamples]time.Duration
	count     int
	reference time.Duration // 0 if unknown
	updatedAt time.Time
}

// add adds a response time. The reference follows the median down at once and up slowly, so that a fault of most backend servers does not
// become the reference.
func (c *class) add(now time.Time, d time.Duration) {
	c.times[c.count%classSamples] = d
	c.count++
	n := min(c.count, classSamples)
	if n < minClassSamples {
		return
	}
	sorted := c.times
	slices.Sort(sorted[:n])
	median := sorted[(n-1)/2]
	if c.reference > 0 && c.count > classSamples {
		limit := float64(c.reference) * (1 + referenceRise*now.Sub(c.updatedAt).Seconds())
		median = min(median, time.Duration(limit))
	}
	c.reference, c.updatedAt = median, now
}

// sample is the time of a response beyond the reference of its class.
type sample struct {
	excess time.Duration
	at     time.Time
}

// samples holds the newest samples of a zone.
type samples struct {
	ring  [maxSamples]sample
	count int
}

func (s *samples) add(now time.Time, excess time.Duration) {
	s.ring[s.count%maxSamples] = sample{excess, now}
	s.count++
}

// mean returns the mean of the samples within the TTL except the largest one, which may be that of a request in the tail. It is unknown if
// they are fewer than minSamples.
func (s *samples) mean(now time.Time, ttl time.Duration) (mean time.Duration, known bool) {
	n, sum, largest := 0, time.Duration(0), time.Duration(math.MinInt64)
	for _, x := range s.ring[:min(s.count, maxSamples)] {
		if now.Sub(x.at) < ttl {
			n++
			sum += x.excess
			largest = max(largest, x.excess)
		}
	}
	if n < minSamples {
		return 0, false
	}
	return (sum - largest) / time.Duration(n-1), true
}

// ObserveHome adds a response time of a backend server of the home zone. A backend server that is known to be slow is not typical of those
// that get new flows.
func (s *Spiller) ObserveHome(now time.Time, className, serviceName string, responseTime time.Duration, typical bool) {
	c := s.classes[className]
	if c == nil {
		c = &class{}
		s.classes[className] = c
	}
	if !c.isRejection(responseTime) {
		c.add(now, responseTime)
	}
	if c.reference > 0 && typical {
		s.service(serviceName).home.add(now, c.excess(responseTime))
	}
}

// ObserveOther adds a response time of a backend server of another zone.
func (s *Spiller) ObserveOther(now time.Time, className, serviceName, zone string, responseTime time.Duration) {
	c := s.classes[className]
	if c == nil || c.reference == 0 {
		return
	}
	others := s.service(serviceName).others
	if others[zone] == nil {
		others[zone] = &samples{}
	}
	others[zone].add(now, c.excess(responseTime))
	s.service(serviceName).away.add(now, c.excess(responseTime))
}

func (c *class) excess(d time.Duration) time.Duration {
	if c.isRejection(d) {
		return maxExcess * c.reference
	}
	return min(d-c.reference, maxExcess*c.reference)
}

// isRejection reports whether a response is that of a full backend server.
func (c *class) isRejection(d time.Duration) bool {
	return float64(d) < rejectionFactor*float64(c.reference)
}

func (s *Spiller) service(name string) *service {
	if s.services[name] == nil {
		s.services[name] = &service{others: map[string]*samples{}}
	}
	return s.services[name]
}

// RecordOpening records whether an opening packet to another zone was answered.
func (s *Spiller) RecordOpening(now time.Time, zone string, answered bool) {
	o := s.unreachable[zone]
	switch {
	case answered && o != nil:
		o.unanswered = 0
	case !answered && o == nil:
		s.unreachable[zone] = &openings{1, now}
	case !answered:
		o.unanswered, o.lastAt = o.unanswered+1, now
	}
}

func (s *Spiller) isReachable(now time.Time, zone string) bool {
	o := s.unreachable[zone]
	return o == nil || o.unanswered < unreachableOpenings || now.Sub(o.lastAt) >= unreachableTTL<<min(o.unanswered-unreachableOpenings, maxDoublings)
}

// IsDue reports whether Choose has anything to decide. It saves callers the list of zones on calm load.
func (s *Spiller) IsDue(now time.Time, serviceName string) bool {
	v := s.services[serviceName]
	return v != nil && (v.share > 0 || now.Sub(v.steppedAt) >= stepInterval)
}

// Choose returns the zone for a new flow of a service; the result is false if it stays at home. Zones that are partitioned, evacuated or
// without backend servers must not be passed.
func (s *Spiller) Choose(now time.Time, serviceName string, zones []Zone, random *rand.Rand) (string, bool) {
	v := s.services[serviceName]
	if v == nil {
		return "", false
	}
	home, homeKnown := v.home.mean(now, homeTTL)
	chosen, count, best, bestKnown := "", 0, time.Duration(0), false
	for _, z := range zones {
		if !s.isReachable(now, z.Name) {
			continue
		}
		excess, known := v.otherExcess(now, z)
		if count == 0 || excess < best {
			best, bestKnown = excess, known
		}
		if homeKnown && home-excess < s.config.Margin/2 {
			continue
		}
		count++
		if count == 1 || v.share > 0 && random.IntN(count) == 0 { // no random numbers are drawn on calm load
			chosen = z.Name
		}
	}
	if now.Sub(v.steppedAt) >= stepInterval {
		v.steppedAt = now
		v.step(homeKnown, home-best-s.config.Margin, s.config.Margin/2, bestKnown, chosen != "")
	}
	if chosen == "" || v.share == 0 || random.Float64() >= v.share {
		return "", false
	}
	return chosen, true
}

// otherExcess returns the time expected in another zone beyond that in the home zone without wait. A response time there contains one
// longer round trip, the handshake another one. A zone of which too few responses are known counts as the mean of the other zones, and if
// that is unknown as the reference.
func (v *service) otherExcess(now time.Time, z Zone) (excess time.Duration, known bool) {
	if o := v.others[z.Name]; o != nil {
		if mean, ok := o.mean(now, otherTTL); ok {
			return mean + z.ExtraRoundTrip, true
		}
	}
	if mean, ok := v.away.mean(now, otherTTL); ok {
		return mean + z.ExtraRoundTrip, true
	}
	return 2 * z.ExtraRoundTrip, false
}

// step changes the share by the gain, the expected time that a flow saves beyond the margin. Within the band below 0 the share stays, so
// that it does not swing around the balance.
func (v *service) step(homeKnown bool, gain, band time.Duration, otherKnown, reachable bool) {
	switch {
	case !homeKnown:
		v.share *= agingDown
	case !reachable || gain < -band:
		v.share *= stepDown
	case gain > 0:
		limit := maxShare
		if !otherKnown {
			limit = max(trialShare, v.share)
		}
		v.share = min(v.share+stepUp, limit)
	}
	if v.share < minShare {
		v.share = 0
	}
}
