// Package estimator estimates how slow each backend server is, from response times relative to the median of their class. A class is what
// has similar work, such as a route. The load it handles: a daemon of a large zone sees a response of each backend server every 3 to 15 s,
// too few to tell a slow server from the tail of the work times, so daemons exchange records of what they have seen. The package uses no
// sockets, goroutines, clock or global randomness. An Estimator is not safe for concurrent use.
package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

const (
	// DeviationFactor is the factor by which the response times of a slow backend server exceed the median. Below it, placement by the
	// number of flows compensates for the difference.
	DeviationFactor = 1.5
	// TTL is how long a record counts after its newest sample. Most faults that slow a backend server last longer.
	TTL = 5 * time.Second
	// DigestInterval is the shortest time between two digests of a daemon.
	DigestInterval = time.Second
	// MaxDigestRecords limits a digest to a message of 1,000 bytes, at 9 bytes for each record.
	MaxDigestRecords = 104
	// minSamples is the number of samples that an estimate needs. One or two slow responses may come from the tail of the work times.
	minSamples = 3
	// minOwnSamples is the number of own samples from which on a daemon reports a backend server whose estimate is at least DeviationFactor.
	// With fewer it must be singleFactor, which the usual spread of work times and short waits for a slot do not reach.
	minOwnSamples = 2
	singleFactor  = 3
	// maxOwnSamples is the number of own samples kept for a backend server.
	maxOwnSamples = 5
	// maxRecords bounds the records of other daemons for a backend server. It is more than an estimate needs.
	maxRecords = 16
	// classSamples is the number of response times of a class whose median is the reference: those of 2 to 13 s. The median is known
	// from minClassSamples on.
	classSamples    = 32
	minClassSamples = 8
	// refreshInterval is the longest time for which a computed estimate is used.
	refreshInterval = 100 * time.Millisecond
	// maxFactor bounds a factor in a digest.
	maxFactor = 64
)

// Server identifies a backend server in one of its incarnations.
type Server uint32

// ServerOf returns the identifier of an incarnation of a backend server. It is the same in all daemons. Two of 500 backend servers share
// an identifier with a probability of 1 in 34,000, and are then regarded as equally fast.
func ServerOf(id directory.ServerID, incarnation int64) Server {
	x := uint64(id) ^ uint64(incarnation)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return Server(x>>32 ^ x)
}

// Record is what one daemon has seen of a backend server within the TTL.
type Record struct {
	Server  Server
	Origin  uint16        // identifies the daemon
	Factor  float64       // lower quartile of the response times, divided by the median of their class
	Samples int           // number of response times, at most maxOwnSamples
	Age     time.Duration // of the newest one
}

// Config holds the settings of an Estimator.
type Config struct {
	// Origin identifies the daemon in its records. A random number suffices: if two daemons share it, the newer record counts.
	Origin uint16
}

// Estimator estimates the slowness of the backend servers that one daemon uses.
type Estimator struct {
	config      Config
	classes     map[string]*class
	servers     map[Server]*server
	refreshedAt time.Time
	slow        int       // number of servers that deviate
	digestAt    time.Time // of the newest digest
	scratch     []weighted
}

// New returns an Estimator without samples.
func New(c Config) *Estimator {
	return &Estimator{config: c, classes: map[string]*class{}, servers: map[Server]*server{}}
}

// class holds the newest response times of a class.
type class struct {
	times  [classSamples]time.Duration
	count  int // of all samples
	median time.Duration
}

// add adds a response time and updates the median.
func (c *class) add(d time.Duration) {
	c.times[c.count%classSamples] = d
	c.count++
	if n := min(c.count, classSamples); n >= minClassSamples {
		sorted := c.times
		slices.Sort(sorted[:n])
		c.median = sorted[(n-1)/2]
	}
}

// record is a record with the time of its newest sample.
type record struct {
	origin  uint16
	factor  float64
	samples int
	at      time.Time
	unsent  bool // it has changed since the last digest that contained it
}

// ownSample is a sample of this daemon.
type ownSample struct {
	factor float64
	at     time.Time
}

// server holds the records of a backend server.
type server struct {
	own       [maxOwnSamples]ownSample
	ownCount  int
	ownUnsent bool
	peers     []record
	factor    float64 // estimate of the last refresh; 1 if unknown
}

// weighted is a factor with its number of samples.
type weighted struct {
	factor  float64
	samples int
}

// Observe adds the response time of a request of the class.
func (e *Estimator) Observe(now time.Time, className string, id Server, responseTime time.Duration) {
	c := e.classes[className]
	if c == nil {
		c = &class{}
		e.classes[className] = c
	}
	if c.median > 0 {
		s := e.server(id)
		s.own[s.ownCount%maxOwnSamples] = ownSample{float64(responseTime) / float64(c.median), now}
		s.ownCount++
		s.ownUnsent = true
	}
	c.add(responseTime)
}

func (e *Estimator) server(id Server) *server {
	s := e.servers[id]
	if s == nil {
		s = &server{factor: 1}
		e.servers[id] = s
	}
	return s
}

// ownRecord returns the record of this daemon; Samples is 0 if there is none.
func (e *Estimator) ownRecord(now time.Time, id Server, s *server) Record {
	r := Record{Server: id, Origin: e.config.Origin, Age: TTL}
	e.scratch = e.scratch[:0]
	for _, sample := range s.own[:min(s.ownCount, maxOwnSamples)] {
		if age := now.Sub(sample.at); age < TTL {
			e.scratch = append(e.scratch, weighted{sample.factor, 1})
			r.Age = min(r.Age, max(age, 0))
		}
	}
	sum := summarize(e.scratch)
	r.Factor, r.Samples = sum.low, sum.samples
	return r
}

// Merge adds the records of a digest. Of two records of the same daemon the newer one counts; records older than TTL are dropped.
func (e *Estimator) Merge(now time.Time, digest []Record) {
	for _, r := range digest {
		if r.Origin == e.config.Origin || r.Age < 0 || r.Age >= TTL || r.Samples <= 0 || !(r.Factor > 0) {
			continue
		}
		e.server(r.Server).merge(record{r.Origin, min(r.Factor, maxFactor), min(r.Samples, maxOwnSamples), now.Add(-r.Age), true})
	}
}

// recordResolution is the difference in age up to which two records of a daemon are the same one: ages are rounded in digests, and the
// transit times are unknown.
const recordResolution = 150 * time.Millisecond

func (s *server) merge(r record) {
	oldest := -1
	for i := range s.peers {
		p := &s.peers[i]
		if p.origin == r.origin {
			if r.at.Sub(p.at) > recordResolution || r.samples > p.samples && r.at.After(p.at.Add(-recordResolution)) {
				*p = r
			}
			return
		}
		if oldest < 0 || p.at.Before(s.peers[oldest].at) {
			oldest = i
		}
	}
	switch {
	case len(s.peers) < maxRecords:
		s.peers = append(s.peers, r)
	case r.at.After(s.peers[oldest].at):
		s.peers[oldest] = r
	}
}

// summary is what a list of factors says about a backend server.
type summary struct {
	low     float64 // lower quartile: nearly all responses of a slow backend server are slow, but only the tail of those of another one
	median  float64 // lower median
	samples int
}

// deviates reports whether the backend server is slow as far as the samples show, however few they are.
func (s summary) deviates() bool { return s.samples > 0 && s.low >= DeviationFactor }

func summarize(list []weighted) summary {
	slices.SortFunc(list, func(a, b weighted) int { return cmp.Compare(a.factor, b.factor) })
	var s summary
	for _, w := range list {
		s.samples += w.samples
	}
	seen := 0
	for _, w := range list {
		if 4*seen < s.samples {
			s.low = w.factor
		}
		if 2*seen < s.samples {
			s.median = w.factor
		}
		seen += w.samples
	}
	return s
}

// estimate summarizes all records of a backend server.
func (e *Estimator) estimate(now time.Time, id Server, s *server) summary {
	own := e.ownRecord(now, id, s)
	s.peers = slices.DeleteFunc(s.peers, func(r record) bool { return now.Sub(r.at) >= TTL })
	e.scratch = e.scratch[:0]
	if own.Samples > 0 {
		e.scratch = append(e.scratch, weighted{own.Factor, own.Samples})
	}
	for i := range s.peers {
		e.scratch = append(e.scratch, weighted{s.peers[i].factor, s.peers[i].samples})
	}
	return summarize(e.scratch)
}

// refresh computes the estimates if they are older than refreshInterval, and drops backend servers without records.
func (e *Estimator) refresh(now time.Time) {
	if now.Sub(e.refreshedAt) < refreshInterval {
		return
	}
	e.refreshedAt, e.slow = now, 0
	for id, s := range e.servers {
		sum := e.estimate(now, id, s)
		if sum.samples == 0 {
			delete(e.servers, id)
			continue
		}
		s.factor = 1
		if sum.samples >= minSamples && sum.deviates() {
			s.factor = min(sum.median, maxFactor)
			e.slow++
		}
	}
}

// Slowness returns by which factor the response times of a backend server exceed the median, 1 if they do so by less than DeviationFactor
// or if they are unknown.
func (e *Estimator) Slowness(now time.Time, id Server) float64 {
	e.refresh(now)
	if s := e.servers[id]; s != nil {
		return s.factor
	}
	return 1
}

// Slow returns the number of backend servers that deviate.
func (e *Estimator) Slow(now time.Time) int {
	e.refresh(now)
	return e.slow
}

// TakeDigest returns the records for other daemons, nil if there is nothing new or if the last digest is younger than DigestInterval. It
// contains the records, own ones and those of peers, of the backend servers that deviate and that have changed since they were last sent.
// Records of peers are forwarded once, and only if enough samples confirm them: a digest about a tail of the work times dies out.
func (e *Estimator) TakeDigest(now time.Time) []Record {
	if now.Sub(e.digestAt) < DigestInterval {
		return nil
	}
	var digest []Record
	for id, s := range e.servers {
		sum := e.estimate(now, id, s)
		if !sum.deviates() {
			continue
		}
		own := e.ownRecord(now, id, s)
		if s.ownUnsent && (sum.samples >= minSamples || own.Samples >= minOwnSamples || own.Factor >= singleFactor) && own.Samples > 0 {
			digest = append(digest, own)
		}
		if sum.samples < minSamples {
			continue
		}
		for _, r := range s.peers {
			if r.unsent {
				digest = append(digest, Record{id, r.origin, r.factor, r.samples, now.Sub(r.at)})
			}
		}
	}
	if len(digest) == 0 {
		return nil
	}
	e.digestAt = now
	slices.SortFunc(digest, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Origin, b.Origin))
	})
	digest = digest[:min(len(digest), MaxDigestRecords)]
	for _, r := range digest {
		e.servers[r.Server].markSent(r.Origin, e.config.Origin)
	}
	return digest
}

func (s *server) markSent(origin, own uint16) {
	if origin == own {
		s.ownUnsent = false
		return
	}
	for i := range s.peers {
		if s.peers[i].origin == origin {
			s.peers[i].unsent = false
		}
	}
}

// RoundFactor returns the factor as a digest carries it: in steps of an eighth of a power of two, between 1/64 and 64.
func RoundFactor(factor float64) int8 {
	return int8(math.Round(8 * math.Log2(min(max(factor, 1.0/maxFactor), maxFactor))))
}

// FactorOf returns the factor that RoundFactor has rounded.
func FactorOf(rounded int8) float64 { return math.Exp2(float64(rounded) / 8) }
