// Package pacer decides when a daemon reads the platform itself. What one daemon reads, its peers learn; each daemon reads
// when what it believes has become too old, and the order in which they do differs by rank. So one daemon of the fleet
// reads while all can talk, and any daemon that hears nothing reads for itself, without an election.
package pacer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

// Parts of the bound on the age of a belief.
const (
	// period is the age at which the first daemon reads, as a part of the bound: a lost read can be repeated in time.
	period = 0.45
	// limit is the age at which the first daemon of any zone reads, and limitOthers that of all others: a zone that hears nothing of the
	// rest does not read as a whole. The rest of the bound is for the call, also a slow one.
	limit       = 0.62
	limitOthers = 0.66
	// zoneStep and memberStep are the delays of each further availability zone and daemon: they leave time for a
	// message across zones, and to a daemon of the own zone.
	zoneStep   = 150 * time.Millisecond
	memberStep = 100 * time.Millisecond
)

// Pacer holds the bound on the age of one belief.
type Pacer struct {
	MaxAge time.Duration
	// ReadDuration is how long a read takes: the next daemon in the order waits for the answer to the one before.
	ReadDuration time.Duration
}

// Rank is a daemon's place in the order of reading.
type Rank struct{ Zone, Member int }

// NextRead returns when to read a belief that was right at asOf.
func (p Pacer) NextRead(asOf time.Time, r Rank) time.Time {
	wait := time.Duration(float64(p.MaxAge)*period) + time.Duration(r.Zone)*(zoneStep+p.ReadDuration) + time.Duration(r.Member)*(memberStep+p.ReadDuration)
	most := limit
	if r.Member > 0 {
		most = limitOthers
	}
	return asOf.Add(min(wait, time.Duration(float64(p.MaxAge)*most)))
}

// retryFirst is the wait after the first failed read: one lost answer or refusal is common, and tells nothing of the next.
const retryFirst = 150 * time.Millisecond

// RetryDelay returns how long to wait after so many failed reads in a row of a belief that was right at asOf. Two reads follow while the
// bound can still be met; then the platform is away, and slow spares it calls.
func (p Pacer) RetryDelay(now, asOf time.Time, failures int, slow time.Duration) time.Duration {
	left := asOf.Add(p.MaxAge).Sub(now)
	switch {
	case failures <= 1:
		return min(retryFirst, slow)
	case failures == 2 && left > 0:
		return min(max(left/2, retryFirst), slow)
	}
	return slow
}

// RankZone returns the place of the availability zone among all.
func RankZone(zone string, all []string) int {
	order := slices.Clone(all)
	slices.SortFunc(order, func(a, b string) int {
		x, y := score(a), score(b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return max(slices.Index(order, zone), 0)
}

func score(zone string) uint64 {
	var sum uint64
	for _, c := range []byte(zone) {
		sum = ranker.Mix(sum + uint64(c))
	}
	return sum
}

// RankMember returns the place of self among the members of its availability zone. Representatives of a zone have the
// lowest ranks, because they know daemons of other zones.
func RankMember(zone string, self netip.AddrPort, members []netip.AddrPort) int {
	rank := 0
	own := ranker.Score("representative "+zone, self)
	for _, m := range members {
		if m != self && ranker.Score("representative "+zone, m) > own {
			rank++
		}
	}
	return rank
}
