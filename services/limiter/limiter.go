// Package limiter limits the new flows that the daemons of an availability zone open at a cold backend server, without a coordinator.
// A deterministic subset of the daemons, by rendezvous hashing over the members of the zone, may open flows there, each at most one in a
// window. It uses no sockets, goroutines, clock or randomness. A Limiter is not safe for concurrent use.
package limiter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

const (
	// window is the shortest time between two flows that one daemon opens at a cold backend server. The limit counts any span of one
	// second at the backend server, and the delay on the way there varies by less than 0.1 s.
	window = 1100 * time.Millisecond
	// margin is the number of flows per window that stay unused: when a member joins or leaves, one daemon that no longer belongs to the
	// subset may still open a flow.
	margin = 1
	// joinTime is how long after its start a daemon may not know all members of its zone: daemons that start together know each other
	// after 1 to 2.2 s.
	joinTime = 3 * time.Second
)

// Config holds the settings of a Limiter.
type Config struct {
	// Overage and Slack are the parameters of the limit: a cold backend server gets at most its rate times Overage, plus Slack, new flows
	// in any second.
	Overage, Slack float64
}

// Limiter decides which flows one daemon may open at cold backend servers.
type Limiter struct {
	c          Config
	started    time.Time // of the first call of SetMembers
	self       uint64    // hash of the own address
	others     []uint64  // hashes of the other members of the zone
	maxMembers int       // largest number of members known so far, with this daemon
	scratch    []uint64  // reused by SetMembers
	version    int       // of others
	servers    map[directory.ServerID]*server
}

// server is the state of a backend server at which this daemon has opened flows or may.
type server struct {
	lastOpening time.Time
	rank        int // of this daemon for the backend server
	version     int // of the members from which rank was computed
}

// New returns a Limiter for a daemon that knows no members.
func New(c Config) *Limiter {
	return &Limiter{c: c, maxMembers: 1, servers: map[directory.ServerID]*server{}}
}

// Renew returns a Limiter with the same settings that knows no members.
func (l *Limiter) Renew() *Limiter { return New(l.c) }

// SetMembers sets the members of the own availability zone that are in service. The list may contain this daemon.
func (l *Limiter) SetMembers(now time.Time, self netip.AddrPort, members []netip.AddrPort) {
	if l.started.IsZero() {
		l.started = now
	}
	l.scratch = l.scratch[:0]
	for _, m := range members {
		if m != self {
			l.scratch = append(l.scratch, ranker.Hash(m))
		}
	}
	own := ranker.Hash(self)
	if own == l.self && slices.Equal(l.others, l.scratch) {
		return
	}
	l.self, l.others, l.scratch = own, l.scratch, l.others
	l.maxMembers = max(l.maxMembers, len(l.others)+1)
	l.version++
}

// Bound returns the largest number of new flows in any second at a cold backend server whose service has the rate.
func (l *Limiter) Bound(rate float64) float64 { return rate*l.c.Overage + l.c.Slack }

// Admits reports whether this daemon may open a flow at the cold backend server. With lastResort there is no other backend server, and a
// daemon that knows no members takes itself for the only one of its zone.
func (l *Limiter) Admits(now time.Time, id directory.ServerID, rate float64, lastResort bool) bool {
	if !lastResort && (l.maxMembers == 1 || now.Sub(l.started) < joinTime) {
		return false
	}
	s := l.server(id)
	if !s.lastOpening.IsZero() && now.Sub(s.lastOpening) < window {
		return false
	}
	return s.rank < l.subsetSize(rate)
}

// RecordOpening records that this daemon opens a flow at the cold backend server.
func (l *Limiter) RecordOpening(now time.Time, id directory.ServerID) {
	l.server(id).lastOpening = now
}

// Forget drops the state of a backend server that no longer exists.
func (l *Limiter) Forget(id directory.ServerID) { delete(l.servers, id) }

// subsetSize returns how many of the members that this daemon knows may open flows at a cold backend server. A daemon that knows fewer
// members than before may be partitioned from the others, which have a subset of their own: it takes only its part of the limit.
func (l *Limiter) subsetSize(rate float64) int {
	size := max(int(l.Bound(rate))-margin, 1)
	return size * (len(l.others) + 1) / l.maxMembers
}

// server returns the state of a backend server with the present rank of this daemon.
func (l *Limiter) server(id directory.ServerID) *server {
	s := l.servers[id]
	if s == nil {
		s = &server{version: l.version - 1}
		l.servers[id] = s
	}
	if s.version != l.version {
		s.version, s.rank = l.version, 0
		key := ranker.Mix(uint64(id))
		own := ranker.PairScore(key, l.self)
		for _, m := range l.others {
			if ranker.PairScore(key, m) > own {
				s.rank++
			}
		}
	}
	return s
}
