// Package pacer decides when a daemon reads the platform itself. A daemon announces what it reads to its peers, and reads when
// its own view has become too old. The age at which it reads depends on its rank, so that a single daemon of the fleet reads
// while all of them are connected, and a daemon that receives nothing from its peers reads for itself. No leader election is
// needed.
package pacer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

// Timing of reads. The fractions are of Pacer.MaxAge.
const (
	// firstReadFraction is the age at which the daemon with the lowest rank reads. It leaves time to repeat a failed read.
	firstReadFraction = 0.45
	// firstMemberLimit is the age at which the first member of any availability zone reads at the latest, and otherMembersLimit
	// that of the other members. The difference keeps all daemons of a zone without contact to other zones from reading at once.
	// The remaining time is for the read itself, even a slow one.
	firstMemberLimit  = 0.62
	otherMembersLimit = 0.66
	// zoneDelay and memberDelay are added for each preceding zone and member of the zone. They leave time for a message to
	// another zone, and to a daemon of the own zone.
	zoneDelay   = 150 * time.Millisecond
	memberDelay = 100 * time.Millisecond
)

// Pacer schedules the reads of one view, such as the backend list.
type Pacer struct {
	// MaxAge is the age that the view must not exceed.
	MaxAge time.Duration
	// ReadDuration is how long a read takes. The next daemon in the order waits for the read of the previous one.
	ReadDuration time.Duration
}

// Rank is the place of a daemon in the order of reads: that of its availability zone, and its own among the members of the zone.
type Rank struct{ Zone, Member int }

// NextRead returns when a daemon of rank r reads a view that was current at asOf.
func (p Pacer) NextRead(asOf time.Time, r Rank) time.Time {
	delay := time.Duration(float64(p.MaxAge)*firstReadFraction) +
		time.Duration(r.Zone)*(zoneDelay+p.ReadDuration) + time.Duration(r.Member)*(memberDelay+p.ReadDuration)
	limit := firstMemberLimit
	if r.Member > 0 {
		limit = otherMembersLimit
	}
	return asOf.Add(min(delay, time.Duration(float64(p.MaxAge)*limit)))
}

// firstRetryDelay is the wait after the first failed read. A single lost or refused read is common and does not mean
// that the next one fails too.
const firstRetryDelay = 150 * time.Millisecond

// RetryDelay returns how long to wait after the given number of failed reads in a row of a view that was current at asOf. Two
// retries follow while MaxAge can still be met; after that the platform is considered down, and outageDelay limits the
// calls to it.
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

// RankZone returns the rank of an availability zone among all zones, in an order by hash that all daemons agree on.
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

// zoneScore returns the hash by which zones are ranked.
func zoneScore(zone string) uint64 {
	var sum uint64
	for _, c := range []byte(zone) {
		sum = ranker.Mix(sum + uint64(c))
	}
	return sum
}

// RankMember returns the rank of self among the members of its availability zone, by rendezvous hashing. The representatives of a
// zone have the lowest ranks, because they know daemons of other zones.
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
