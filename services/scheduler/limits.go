package scheduler

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// Limits configures concurrency limits, shedding and retries. Zero values mean the defaults.
type Limits struct {
	// SoftWait is the expected wait for a slot above which the caller group that uses most is shed.
	SoftWait time.Duration
	// HardWait is the expected wait for a slot above which all work is shed.
	HardWait time.Duration
	// RetryBudget is the number of retries allowed for each first try.
	RetryBudget float64
}

// Defaults of Limits.
const (
	DefaultSoftWait    = 20 * time.Millisecond
	DefaultHardWait    = 60 * time.Millisecond
	DefaultRetryBudget = 0.1
)

func (l Limits) withDefaults() Limits {
	if l.SoftWait <= 0 {
		l.SoftWait = DefaultSoftWait
	}
	if l.HardWait <= 0 {
		l.HardWait = max(DefaultHardWait, l.SoftWait)
	}
	if l.RetryBudget <= 0 {
		l.RetryBudget = DefaultRetryBudget
	}
	return l
}

// placeRequest places a request: in the own availability zone, unless the least expected wait there is longer than the
// wait in another one and the round trip to it, or the request is one of those that a saturated zone passes on. The
// other availability zones are looked at only then.
func (v *service) placeRequest(now time.Time, w *Work) (netip.AddrPort, error) {
	g := v.groups.of(w.CallerGroup)
	v.groups.offered[g]++
	limit := v.groups.limit(g, &v.config.Limits)
	if !w.Deadline.IsZero() {
		limit = min(limit, w.Deadline.Sub(now))
	}
	if e := v.starved; e != nil && e.own == 0 && v.config.Random.Float64() < v.probes && e.usable(now, w.TriedServers) {
		v.groups.placed[g]++
		return e.Address, nil
	}
	candidates, usable := v.choose(now, w, limit, true)
	if len(candidates) == 0 && usable {
		candidates, _ = v.choose(now, w, limit, false) // rather a cold backend server than none
	}
	switch {
	case len(candidates) > 0:
		v.groups.placed[g]++
		return v.pick(candidates, w), nil
	case usable:
		return netip.AddrPort{}, ErrShed
	}
	return netip.AddrPort{}, ErrNoBackendServer
}

// choose returns the candidates of the own availability zone or of the others, and whether any backend server is usable.
func (v *service) choose(now time.Time, w *Work, limit time.Duration, slowStart bool) ([]Candidate, bool) {
	var usable, usableRemote bool
	var least, leastRemote time.Duration
	v.local, least, usable = v.candidates(v.local[:0], now, v.bounded.of(v.own), w, limit, slowStart)
	if len(v.local) == 0 && len(v.own) > fullScan {
		v.local, least, usable = v.candidates(v.local[:0], now, v.own, w, limit, slowStart)
	}
	spills := v.spills()
	if !spills && len(v.local) > 0 && least <= 2*v.nearest {
		return v.local, usable
	}
	v.remote, leastRemote, usableRemote = v.candidates(v.remote[:0], now, v.others, w, limit, slowStart)
	if len(v.remote) > 0 && (spills || len(v.local) == 0 || leastRemote < least) {
		return v.remote, true
	}
	return v.local, usable || usableRemote
}

// candidates appends to list the backend servers whose expected wait is within the limit. It returns the least wait,
// with the round trip to another availability zone, and whether any backend server is usable. With slowStart, a backend
// server in a slow start is a candidate for its share of the requests only.
func (v *service) candidates(list []Candidate, now time.Time, servers []*server, w *Work, limit time.Duration,
	slowStart bool,
) ([]Candidate, time.Duration, bool) {
	usable, least := false, time.Duration(math.MaxInt64)
	for _, e := range servers {
		if !e.usable(now, w.TriedServers) {
			continue
		}
		usable = true
		if share := e.health.share; slowStart && share < 1 && v.config.Random.Float64() >= share {
			continue
		}
		c := v.candidate(now, e)
		if wait := e.wait(c.OwnInFlight+c.OthersInFlight, v.typical); wait <= limit {
			list = append(list, c)
			least = min(least, wait+2*e.delay)
		}
	}
	return list, least, usable
}

// candidate describes the backend server to a policy that places a request.
func (v *service) candidate(now time.Time, e *server) Candidate {
	return Candidate{
		Address: e.Address, Hash: e.hash, Slots: e.Slots, Weight: e.Weight, RelativeServiceTime: e.slow,
		OwnInFlight: e.held(), OthersInFlight: v.othersAt(now, e), LoadCorrection: e.excess,
	}
}

const (
	// maximumGroups bounds the table of caller groups; further groups share one entry.
	maximumGroups = 64
	// groupMemory is the time constant with which offered and placed work of a caller group is forgotten.
	groupMemory = 5 * time.Second
	// peakMemory is the time constant of the highest amount of placed work, which stands for what can be placed.
	peakMemory = 30 * time.Second
	// shareTolerated is how far a group's offered work may exceed its share as sampling noise.
	shareTolerated = 1.1
	// shareSteepness is how fast the accepted wait grows with the distance to the share of a group that offers more.
	shareSteepness = 5
	// smallOffer is the part of the greatest offer up to which a group's offer is far less.
	smallOffer = 0.5
)

// groups holds the recent offered and placed work of each caller group. The amounts decay with groupMemory.
type groups struct {
	names   []string
	offered []float64
	placed  []float64
	decayed time.Time // until when the amounts are decayed
	peak    float64   // highest recent sum of placed
	level   float64   // greatest share of a group: groups that offer less get all that they offer
	most    float64   // greatest offer
	sorted  []float64 // offers, for review
}

// of returns the index of a caller group's entry. When the table is full, the entry with the least recent use is
// replaced if it is nearly idle, and otherwise the group shares the last entry.
func (g *groups) of(name string) int {
	for i, n := range g.names {
		if n == name {
			return i
		}
	}
	if len(g.names) < maximumGroups {
		g.names = append(g.names, name)
		g.offered = append(g.offered, 0)
		g.placed = append(g.placed, 0)
		return len(g.names) - 1
	}
	for i := range g.names {
		if g.offered[i] < 0.5 {
			g.names[i], g.offered[i], g.placed[i] = name, 0, 0
			return i
		}
	}
	return maximumGroups - 1
}

// review lets the amounts decay and computes the max-min fair level: the peak is dealt out so that groups that offer
// little get all of it and the others equal shares.
func (g *groups) review(now time.Time) {
	since := float64(max(0, now.Sub(g.decayed)))
	g.decayed = now
	keep, sum := math.Exp(-since/float64(groupMemory)), 0.0
	g.sorted = g.sorted[:0]
	for i := range g.names {
		g.offered[i] *= keep
		g.placed[i] *= keep
		sum += g.placed[i]
		g.sorted = append(g.sorted, g.offered[i])
	}
	g.peak = max(sum, g.peak*math.Exp(-since/float64(peakMemory)))
	slices.Sort(g.sorted)
	g.most = 0
	if n := len(g.sorted); n > 0 {
		g.most = g.sorted[n-1]
	}
	left := g.peak
	for i, offered := range g.sorted {
		g.level = left / float64(len(g.sorted)-i)
		if offered > g.level {
			break
		}
		left -= offered
	}
}

// limit returns the wait up to which a group's work is accepted. Work of a group that offers no more than its fair share
// is shed at HardWait only. A group that offers more is shed at SoftWait once it has its share, which leaves the room
// between the two limits to the others. The share rests on what this balancer could place; a balancer that other ones
// crowd out underestimates it, so groups that offer far less than the greatest one are let in up to the middle.
func (g *groups) limit(i int, l *Limits) time.Duration {
	if len(g.names) == 1 || g.level <= 0 {
		return l.SoftWait
	}
	if g.offered[i] <= shareTolerated*g.level {
		return l.HardWait
	}
	above := min(max(shareSteepness*(1-g.placed[i]/g.level), 0), 1)
	if g.offered[i] <= smallOffer*g.most {
		above = max(above, 0.5)
	}
	return l.SoftWait + time.Duration(above*float64(l.HardWait-l.SoftWait))
}

const (
	// initialRetries lets a service retry before it has seen many first tries.
	initialRetries = 5
	// maximumRetries bounds a burst of retries after a quiet time.
	maximumRetries = 20
)

// retryBudget is a token bucket that first tries fill.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: initialRetries} }

func (b *retryBudget) deposit(ratio float64) { b.tokens = min(b.tokens+ratio, maximumRetries) }
func (b *retryBudget) available() bool       { return b.tokens >= 1 }
func (b *retryBudget) withdraw()             { b.tokens-- }
