package scheduler

import (
	"math/rand/v2"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

// Policy chooses among the backend servers that may get a piece of work. Zone preference, limits and health are applied
// before: every candidate may be picked.
type Policy interface {
	// Pick returns the index of the chosen candidate. It must not keep c.
	Pick(c *Choice) int
}

// Choice is what a Policy chooses from.
type Choice struct {
	Candidates  []Candidate // never empty
	AffinityKey uint64      // the work's key
	Sequence    uint64      // grows by one with each choice of the service
	Random      *rand.Rand
	// TieTolerance is the difference in Load that is taken for noise.
	TieTolerance float64
}

// Candidate is a backend server that may get the work. For a feed the counts are feeds and Slots holds the connections.
type Candidate struct {
	Address             netip.AddrPort
	Hash                uint64  // of the address; the same in every balancer
	Slots               int     // at least 1
	Weight              float64 // from the settings, lowered during a slow start
	RelativeServiceTime float64 // service time relative to that of the service's median backend server
	OwnInFlight         float64 // work in progress that this balancer sent
	OthersInFlight      float64 // estimate of the work in progress that other balancers sent
	LoadCorrection      float64 // how much more work than its share it got lately, scaled to the unit of Load
}

// OwnLoad returns the load that a balancer knows from its own counts, with the new work.
func (c *Candidate) OwnLoad() float64 {
	return (c.OwnInFlight + 1) / (float64(c.Slots) * c.Weight)
}

// Load returns the estimated load from all balancers, with the new work, corrected for the server's speed.
func (c *Candidate) Load() float64 {
	return (c.OwnInFlight+c.OthersInFlight+1)*c.RelativeServiceTime/(float64(c.Slots)*c.Weight) + c.LoadCorrection
}

// ErrUnknownPolicy reports a policy name that ParsePolicy does not know.
var ErrUnknownPolicy = eris.New("unknown policy: use one of random, round-robin, two-choices, two-choices-reported, " +
	"least-loaded, rendezvous-bounded")

// IsErrUnknownPolicy reports whether err is an ErrUnknownPolicy.
func IsErrUnknownPolicy(err error) bool { return eris.Is(err, ErrUnknownPolicy) }

// DefaultPolicy returns the policy that the measurements support (docs/adr/0002-placement-policy.md).
func DefaultPolicy() Policy { return LeastLoaded{} }

// ParsePolicy returns the policy with the name that the settings use. The empty name is the default policy.
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

// TwoChoices picks the one with less own work of two random candidates.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(c *Choice) int { return pickOfTwo(c, (*Candidate).OwnLoad) }

// TwoChoicesReported picks the less loaded of two random candidates by own counts and aged reported load.
type TwoChoicesReported struct{}

// Pick implements Policy.
func (TwoChoicesReported) Pick(c *Choice) int { return pickOfTwo(c, (*Candidate).Load) }

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

// LeastLoaded scans all candidates for the least load by own counts and aged reported load. Ties are broken at random,
// because balancers that break them alike would send to the same backend server at once.
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

// rendezvousBound is the highest load relative to the mean at which RendezvousBounded still sends a key to its first
// choice. 1.25 is the usual trade of affinity against balance for bounded-load hashing.
const rendezvousBound = 1.25

// RendezvousBounded sends equal keys to the same candidate while its load is within 1.25 of the mean, and otherwise to
// the key's next choice that is.
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

// hashAddress is FNV-1a over the address and the port.
func hashAddress(a netip.AddrPort) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, b := range a.Addr().As16() {
		h = (h ^ uint64(b)) * prime
	}
	h = (h ^ uint64(a.Port()>>8)) * prime
	return (h ^ uint64(a.Port()&0xff)) * prime
}
