package scheduler

import (
	"math/rand/v2"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

// Policy chooses among the backend servers that may get a piece of work. Zone preference, limits and health are applied
// before, so every candidate may be picked.
type Policy interface {
	// Pick returns the index of the chosen candidate. It must not keep c.
	Pick(c *Choice) int
}

// Choice holds the candidates of one placement and what a Policy may use to choose among them.
type Choice struct {
	Candidates  []Candidate // never empty
	AffinityKey uint64      // Work.AffinityKey
	Sequence    uint64      // increases by one with each choice for the service
	Random      *rand.Rand
	// TieTolerance is the difference in Load up to which candidates count as equal.
	TieTolerance float64
}

// Candidate is a backend server that may get the work. For a feed, the counts are feeds and Slots is the number of
// connections.
type Candidate struct {
	Address             netip.AddrPort
	Hash                uint64  // of the address; the same in every balancer
	Slots               int     // at least 1
	Weight              float64 // from the settings; for a feed, lowered during a slow start
	RelativeServiceTime float64 // service time divided by that of the service's median backend server
	OwnInFlight         float64 // requests or feeds in flight that this balancer sent
	OthersInFlight      float64 // estimate of those that other balancers sent
	LoadCorrection      float64 // added to Load; positive when it recently got more than its share of the requests
}

// OwnLoad returns the load from this balancer's own counts, including the new work.
func (c *Candidate) OwnLoad() float64 {
	return (c.OwnInFlight + 1) / (float64(c.Slots) * c.Weight)
}

// Load returns the estimated load from all balancers, including the new work, corrected for the backend server's speed.
func (c *Candidate) Load() float64 {
	return (c.OwnInFlight+c.OthersInFlight+1)*c.RelativeServiceTime/(float64(c.Slots)*c.Weight) + c.LoadCorrection
}

// ErrUnknownPolicy reports a policy name that ParsePolicy does not know.
var ErrUnknownPolicy = eris.New("unknown policy: use one of random, round-robin, two-choices, two-choices-reported, " +
	"least-loaded, rendezvous-bounded")

// IsErrUnknownPolicy reports whether err is an ErrUnknownPolicy.
func IsErrUnknownPolicy(err error) bool { return eris.Is(err, ErrUnknownPolicy) }

// DefaultPolicy returns the default policy. docs/adr/0002-placement-policy.md has the measurements behind it.
func DefaultPolicy() Policy { return LeastLoaded{} }

// ParsePolicy returns the policy with a name from the settings. The empty name is the default policy.
func ParsePolicy(name string) (Policy, error) {
	switch name {
	case "":
		return DefaultPolicy(), nil
	case "random":
		return Random{}, nil
	case "round-robin":
		return RoundRobin{}, nil
	case "two-choices":
		return TwoChoices{}, nil
	case "two-choices-reported":
		return TwoChoicesReported{}, nil
	case "least-loaded":
		return LeastLoaded{}, nil
	case "rendezvous-bounded":
		return RendezvousBounded{}, nil
	}
	return nil, eris.Wrapf(ErrUnknownPolicy, "policy %q", name)
}

// Random picks any candidate with the same probability.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(c *Choice) int { return c.Random.IntN(len(c.Candidates)) }

// RoundRobin picks the candidates in turn.
type RoundRobin struct{}

// Pick implements Policy.
func (RoundRobin) Pick(c *Choice) int { return int(c.Sequence % uint64(len(c.Candidates))) }

// TwoChoices picks, of two random candidates, the one with the lower load by own counts.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(c *Choice) int { return pickOfTwo(c, (*Candidate).OwnLoad) }

// TwoChoicesReported picks, of two random candidates, the one with the lower load by own counts and decayed load reports.
type TwoChoicesReported struct{}

// Pick implements Policy.
func (TwoChoicesReported) Pick(c *Choice) int { return pickOfTwo(c, (*Candidate).Load) }

// pickOfTwo returns the index of the candidate with the lower load of two random ones.
func pickOfTwo(c *Choice, load func(*Candidate) float64) int {
	n := len(c.Candidates)
	i := c.Random.IntN(n)
	if n == 1 {
		return i
	}
	j := (i + 1 + c.Random.IntN(n-1)) % n
	if load(&c.Candidates[j]) < load(&c.Candidates[i]) {
		return j
	}
	return i
}

// LeastLoaded picks the candidate with the lowest load by own counts and decayed load reports. Ties are broken at random,
// because balancers that break ties by the same rule would all send to the same backend server.
type LeastLoaded struct{}

// Pick implements Policy.
func (LeastLoaded) Pick(c *Choice) int {
	least := c.Candidates[0].Load()
	for i := 1; i < len(c.Candidates); i++ {
		least = min(least, c.Candidates[i].Load())
	}
	best, ties := 0, 0
	for i := range c.Candidates {
		if c.Candidates[i].Load() > least+c.TieTolerance {
			continue
		}
		ties++
		if c.Random.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

// rendezvousBound is the highest load, relative to the mean, at which RendezvousBounded still sends a key to its first
// choice. 1.25 is the usual trade-off between affinity and balance in bounded-load hashing.
const rendezvousBound = 1.25

// RendezvousBounded picks candidates by rendezvous hashing with bounded loads: the candidate with the highest score for
// the key among those whose load is at most 1.25 times the mean.
type RendezvousBounded struct{}

// Pick implements Policy.
func (RendezvousBounded) Pick(c *Choice) int {
	var mean float64
	for i := range c.Candidates {
		mean += c.Candidates[i].Load()
	}
	mean /= float64(len(c.Candidates))
	best, first := -1, -1
	var bestScore, firstScore uint64
	for i := range c.Candidates {
		score := ranker.Mix(c.Candidates[i].Hash ^ c.AffinityKey)
		if first < 0 || score > firstScore {
			first, firstScore = i, score
		}
		if c.Candidates[i].Load() <= rendezvousBound*mean && (best < 0 || score > bestScore) {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return first
	}
	return best
}

// hashAddress returns the FNV-1a hash of the address and the port.
func hashAddress(a netip.AddrPort) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, b := range a.Addr().As16() {
		h = (h ^ uint64(b)) * prime
	}
	h = (h ^ uint64(a.Port()>>8)) * prime
	return (h ^ uint64(a.Port()&0xff)) * prime
}
