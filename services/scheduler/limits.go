package scheduler

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// Limits configures load shedding and retries. Zero values mean the defaults.
type Limits struct {
	// SoftWait is the expected wait for a slot above which a caller group that has got its fair share is shed.
	SoftWait time.Duration
	// HardWait is the expected wait for a slot above which all requests are shed.
	HardWait time.Duration
	// RetryBudget is the number of retries allowed for each first attempt.
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

// placeRequest places a request in the own availability zone, unless the shortest expected wait there is longer than the
// wait in another zone plus the round trip to it, or the request is one of those that a saturated zone sends to other
// zones. Only in these cases are the backend servers of other zones compared.
func (s *service) placeRequest(now time.Time, w *Work) (netip.AddrPort, error) {
	group := s.callerGroups.findOrAdd(w.CallerGroup)
	if !w.Waited {
		s.callerGroups.offered[group]++
	}
	waitLimit := s.extendWaitLimit(s.callerGroups.waitLimit(group, &s.config.Limits))
	if !w.Deadline.IsZero() {
		waitLimit = min(waitLimit, w.Deadline.Sub(now))
	}
	if b := s.starvedServer; b != nil && b.ownRequests == 0 && s.config.Random.Float64() < s.probeFraction &&
		b.isUsable(now, w.TriedServers) {
		s.callerGroups.placed[group]++
		return b.Address, nil
	}
	candidates, usable := s.zoneCandidates(now, w, waitLimit, true)
	if len(candidates) == 0 && usable {
		candidates, _ = s.zoneCandidates(now, w, waitLimit, false) // a backend server in a slow start is better than none
	}
	switch {
	case len(candidates) > 0:
		s.callerGroups.placed[group]++
		return s.pick(candidates, w), nil
	case usable && s.admission.isActive():
		return netip.AddrPort{}, ErrOverloaded
	case usable:
		return netip.AddrPort{}, ErrShed
	}
	return netip.AddrPort{}, ErrNoBackendServer
}

// zoneCandidates returns the candidates of the own availability zone or of the others, and whether any backend server is
// usable.
func (s *service) zoneCandidates(now time.Time, w *Work, waitLimit time.Duration, applyWeightFactor bool) ([]Candidate, bool) {
	var localUsable, remoteUsable bool
	var leastLocalWait, leastRemoteWait time.Duration
	servers := s.localCandidateServers()
	s.localCandidates, leastLocalWait, localUsable = s.appendCandidates(
		s.localCandidates[:0], now, s.scanSubset.selectFrom(servers), w, waitLimit, applyWeightFactor)
	scanAll := len(s.localServers) > fullScanLimit
	if len(servers) < len(s.localServers) { // only the preferred ones
		scanAll = !localUsable || s.isOfHighestPriority()
	}
	if len(s.localCandidates) == 0 && scanAll {
		s.localCandidates, leastLocalWait, localUsable = s.appendCandidates(
			s.localCandidates[:0], now, s.localServers, w, waitLimit, applyWeightFactor)
	}
	spill := s.spills()
	if !spill && len(s.localCandidates) > 0 && leastLocalWait <= 2*s.nearestZoneDelay {
		return s.localCandidates, localUsable
	}
	s.remoteCandidates, leastRemoteWait, remoteUsable = s.appendCandidates(
		s.remoteCandidates[:0], now, s.remoteServers, w, waitLimit, applyWeightFactor)
	if len(s.remoteCandidates) > 0 && (spill || len(s.localCandidates) == 0 || leastRemoteWait < leastLocalWait) {
		return s.remoteCandidates, true
	}
	return s.localCandidates, localUsable || remoteUsable
}

// appendCandidates appends to list the backend servers whose expected wait is within waitLimit. It returns the shortest
// wait, including the round trip to another availability zone, and whether any backend server is usable. With
// applyWeightFactor, a backend server in a slow start is a candidate only for the fraction of requests given by its weight
// factor.
func (s *service) appendCandidates(list []Candidate, now time.Time, servers []*backend, w *Work, waitLimit time.Duration,
	applyWeightFactor bool,
) ([]Candidate, time.Duration, bool) {
	anyUsable, leastWait := false, time.Duration(math.MaxInt64)
	for _, b := range servers {
		if !b.isUsable(now, w.TriedServers) {
			continue
		}
		anyUsable = true
		if factor := b.health.weightFactor; applyWeightFactor && factor < 1 && s.config.Random.Float64() >= factor {
			continue
		}
		candidate := s.newCandidate(now, b)
		if wait := s.expectedWait(now, b, &candidate); wait <= waitLimit {
			list = append(list, candidate)
			leastWait = min(leastWait, wait+2*b.zoneDelay)
		}
	}
	return list, leastWait, anyUsable
}

// newCandidate describes a backend server to the policy that places a request.
func (s *service) newCandidate(now time.Time, b *backend) Candidate {
	return Candidate{
		Address: b.Address, Hash: b.addressHash, Slots: b.Slots, Weight: b.Weight, RelativeServiceTime: b.relativeServiceTime,
		OwnInFlight: b.ownInFlight(), OthersInFlight: s.othersOnVM(now, b), LoadCorrection: b.loadCorrection,
	}
}

const (
	// maximumCallerGroups bounds the table of caller groups. Further groups share the last entry.
	maximumCallerGroups = 64
	// groupDecayTime is the time constant with which the numbers of offered and placed requests of a caller group decay.
	groupDecayTime = 5 * time.Second
	// peakDecayTime is the time constant of the peak of placed requests, the estimate of the capacity.
	peakDecayTime = 30 * time.Second
	// fairShareTolerance is the factor by which a group's offered requests may exceed its fair share as sampling noise.
	fairShareTolerance = 1.1
	// waitLimitSlope is how fast the wait limit of a group that offers more than its fair share grows while the group got less
	// than that share.
	waitLimitSlope = 5
	// smallDemandFraction is the fraction of the largest group's offered requests up to which a group counts as small.
	smallDemandFraction = 0.5
)

// callerGroups holds the numbers of recently offered and placed requests of each caller group, for fair load shedding. They
// decay with groupDecayTime.
type callerGroups struct {
	names          []string
	offered        []float64
	placed         []float64
	decayedAt      time.Time // when offered and placed last decayed
	peakPlaced     float64   // highest recent sum of placed
	fairShare      float64   // max-min fair share: groups that offer less get all that they offer
	maximumOffered float64   // largest value of offered
	sortedOffers   []float64 // copy of offered, reused by update
}

// findOrAdd returns the index of a caller group's entry, which it adds for a new group. When the table is full, a new group
// replaces the first entry that is nearly idle, or shares the last entry when there is none.
func (g *callerGroups) findOrAdd(name string) int {
	for i, n := range g.names {
		if n == name {
			return i
		}
	}
	if len(g.names) < maximumCallerGroups {
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
	return maximumCallerGroups - 1
}

// update lets the numbers decay and computes the max-min fair share: of the peak, groups that offer less than their share
// get all that they offer, and the others equal shares of the rest.
func (g *callerGroups) update(now time.Time) {
	elapsed := float64(max(0, now.Sub(g.decayedAt)))
	g.decayedAt = now
	decay, placedSum := math.Exp(-elapsed/float64(groupDecayTime)), 0.0
	g.sortedOffers = g.sortedOffers[:0]
	for i := range g.names {
		g.offered[i] *= decay
		g.placed[i] *= decay
		placedSum += g.placed[i]
		g.sortedOffers = append(g.sortedOffers, g.offered[i])
	}
	g.peakPlaced = max(placedSum, g.peakPlaced*math.Exp(-elapsed/float64(peakDecayTime)))
	slices.Sort(g.sortedOffers)
	g.maximumOffered = 0
	if n := len(g.sortedOffers); n > 0 {
		g.maximumOffered = g.sortedOffers[n-1]
	}
	remaining := g.peakPlaced
	for i, offered := range g.sortedOffers {
		g.fairShare = remaining / float64(len(g.sortedOffers)-i)
		if offered > g.fairShare {
			break
		}
		remaining -= offered
	}
}

// waitLimit returns the expected wait up to which a group's requests are accepted. A group that offers no more than its
// fair share is shed only above HardWait. A group that offers more is shed above SoftWait once it has got its share, which
// leaves the waits between the two limits to the other groups. The share is computed from what this balancer could place.
// A balancer that places little because others use the backend servers underestimates it, so small groups are accepted up
// to the middle between the two limits.
func (g *callerGroups) waitLimit(i int, l *Limits) time.Duration {
	if len(g.names) == 1 || g.fairShare <= 0 {
		return l.SoftWait
	}
	if g.offered[i] <= fairShareTolerance*g.fairShare {
		return l.HardWait
	}
	fraction := min(max(waitLimitSlope*(1-g.placed[i]/g.fairShare), 0), 1)
	if g.offered[i] <= smallDemandFraction*g.maximumOffered {
		fraction = max(fraction, 0.5)
	}
	return l.SoftWait + time.Duration(fraction*float64(l.HardWait-l.SoftWait))
}

const (
	// initialRetries lets a service retry before it has had many first attempts.
	initialRetries = 5
	// maximumRetries bounds a burst of retries after a period with few.
	maximumRetries = 20
)

// retryBudget is a token bucket that first attempts refill.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: initialRetries} }

func (b *retryBudget) deposit(ratio float64) { b.tokens = min(b.tokens+ratio, maximumRetries) }
func (b *retryBudget) hasToken() bool        { return b.tokens >= 1 }
func (b *retryBudget) withdraw()             { b.tokens-- }
