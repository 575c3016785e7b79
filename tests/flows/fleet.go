package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the scenario. Zones are numbered from 0; the last one is partitioned from the others and from the platform for a
// while.
const (
	zones          = 3
	balancerCount  = 7
	serverCount    = 14 // one more is added
	packetInterval = 250 * time.Millisecond
	timeStep       = 10 * time.Millisecond
	maxViewDelay   = 2 * time.Second // upper bound of the time until a balancer receives a new view
	silenceTimeout = 10 * time.Second

	openDuration        = 5 * time.Second // all flows are opened within this time
	drainAt             = 8 * time.Second
	firstReplacementAt  = 14 * time.Second // of the first balancer
	replacementInterval = 3 * time.Second
	replacementOverlap  = time.Second // from the start of a new balancer to the graceful shutdown of the old one
	exitDelay           = 3 * time.Second
	partitionAt         = 20 * time.Second
	addServerAt         = 22 * time.Second // during the partition
	partitionEndAt      = 26 * time.Second
	endAt               = 45 * time.Second

	drainedServer = 0           // number of the backend server that is drained
	addedServer   = serverCount // number of the backend server that is added
)

// version is one revision of the settings and of the VM list.
type version struct {
	at        time.Duration
	accepting [serverCount + 1]bool // by number: backend servers that accept new flows
	draining  [serverCount + 1]bool
	balancers []int // the serving ones
}

// balancer is one balancer process.
type balancer struct {
	id, zone                int
	startAt, stopAt, exitAt time.Duration
	versionArrivals         []time.Duration // by version
	versionIndex            int             // the version in force on this balancer
}

// isServing reports whether the fabric sends callers' packets to the balancer.
func (b *balancer) isServing(now time.Duration) bool { return now >= b.startAt && now < b.stopAt }

// isAlive reports whether the process runs.
func (b *balancer) isAlive(now time.Duration) bool { return now >= b.startAt && now < b.exitAt }

// timeline holds all balancers and versions of a run.
type timeline struct {
	balancers []*balancer
	versions  []version
}

func zoneOfServer(s int) int { return s % zones }

// isPartitioned reports whether the last zone is cut off.
func isPartitioned(now time.Duration) bool { return now >= partitionAt && now < partitionEndAt }

// areConnected reports whether two zones can reach each other.
func areConnected(now time.Duration, a, b int) bool {
	return !isPartitioned(now) || (a == zones-1) == (b == zones-1)
}

// newTimeline draws a timeline. All options run through the same one.
func newTimeline(random *rand.Rand) *timeline {
	t := &timeline{}
	never := endAt + time.Hour
	for i := range balancerCount {
		t.balancers = append(t.balancers, &balancer{id: i, zone: i % zones, startAt: -time.Hour, stopAt: never, exitAt: never})
	}
	changes := []time.Duration{-time.Hour, drainAt, addServerAt}
	for i := range balancerCount {
		startAt := firstReplacementAt + time.Duration(i)*replacementInterval
		old := t.balancers[i]
		old.stopAt, old.exitAt = startAt+replacementOverlap, startAt+replacementOverlap+exitDelay
		t.balancers = append(t.balancers, &balancer{id: balancerCount + i, zone: old.zone, startAt: startAt, stopAt: never, exitAt: never})
		changes = append(changes, startAt, old.stopAt)
	}
	slices.Sort(changes)
	for _, at := range changes {
		t.versions = append(t.versions, t.versionAt(at))
	}
	for _, b := range t.balancers {
		t.drawArrivals(b, random)
	}
	return t
}

// versionAt returns the revision that the platform has at a time.
func (t *timeline) versionAt(at time.Duration) version {
	v := version{at: at}
	for s := range v.accepting {
		v.draining[s] = s == drainedServer && at >= drainAt
		v.accepting[s] = (s != addedServer || at >= addServerAt) && !v.draining[s]
	}
	for _, b := range t.balancers {
		if b.isServing(at) {
			v.balancers = append(v.balancers, b.id)
		}
	}
	return v
}

// drawArrivals draws when each version reaches a balancer. The partitioned zone receives no versions until the partition ends; a
// balancer that starts there takes the version that its zone has.
func (t *timeline) drawArrivals(b *balancer, random *rand.Rand) {
	for _, v := range t.versions {
		at := v.at + time.Duration(random.Int64N(int64(maxViewDelay)))
		if b.zone == zones-1 && isPartitioned(at) {
			at = partitionEndAt + time.Duration(random.Int64N(int64(maxViewDelay)))
		}
		if at < b.startAt && v.at <= b.startAt {
			at = b.startAt
		}
		// A starting balancer asks the platform or its peers before it serves.
		if v.at <= b.startAt && (b.zone != zones-1 || !isPartitioned(v.at) && !isPartitioned(b.startAt)) {
			at = b.startAt
		}
		b.versionArrivals = append(b.versionArrivals, at)
	}
	b.versionIndex = 0
}

// newestVersion returns the index of the newest version that has reached the balancer.
func (b *balancer) newestVersion(now time.Duration) int {
	newest := 0
	for v, at := range b.versionArrivals {
		if at <= now {
			newest = v
		}
	}
	return newest
}
