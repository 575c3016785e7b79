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
	firstReadFraction = 0.45
	// limit is the age at which the first daemon of any zone reads, and limitOthers that of all others: a zone that hears nothing of the
	// rest does not read as a whole. The rest of the bound is for the call, also a slow one.
	firstMemberLimit  = 0.62
	otherMembersLimit = 0.66
	// zoneStep and memberStep are the delays of each further availability zone and daemon: they leave time for a
	// message across zones, and to a daemon of the own zone.
	zoneDelay   = 150 * time.Millisecond
	memberDelay = 100 * time.Millisecond
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
	delay := time.Duration(float64(p.MaxAge)*firstReadFraction) + time.Duration(r.Zone)*(zoneDelay+p.ReadDuration) + time.Duration(r.Member)*(memberDelay+p.ReadDuration)
	limit := firstMemberLimit
	if r.Member > 0 {
		limit = otherMembersLimit
	}
	return asOf.Add(min(delay, time.Duration(float64(p.MaxAge)*limit)))
}

// retryFirst is the wait after the first failed read: one lost answer or refusal is common, and tells nothing of the next.
const firstRetryDelay = 150 * time.Millisecond

// RetryDelay returns how long to wait after so many failed reads in a row of a belief that was right at asOf. Two reads follow while the
// bound can still be met; then the platform is away, and slow spares it calls.
func (p Pacer) RetryDelay(now, asOf time.Time, failures int, outageDelay time.Duration) time.Duration {
	remaining := asOf.Add(p.MaxAge).Sub(now)
	switch {
	case failures <= 1:
		return min(firstRetryDelay, outageDelay)
	case failures == 2 && remaining > 0:
		return min(max(remaining/2, firstRetryDelay), outageDelay)
	}
	return outageDelay
}

// RankZone returns the place of the availability zone among all.
func RankZone(zone string, zones []string) int {
	ranked := slices.Clone(zones)
	slices.SortFunc(ranked, func(a, b string) int {
		x, y := zoneScore(a), zoneScore(b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return max(slices.Index(ranked, zone), 0)
}

func zoneScore(zone string) uint64 {
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
