package gatekeeper

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
)

// Owns reports whether a gate token names this process.
func (g *Gatekeeper) Owns(t sealer.Token) bool {
	return t.Target == g.config.Self && t.Incarnation == g.config.Incarnation
}

// IsUnused reports whether a gate token names this process and its flow id has not been used.
func (g *Gatekeeper) IsUnused(t sealer.Token) bool { return g.Owns(t) && g.entries[t.Flow] == nil }

// IsDrained reports whether each gate token of this process has expired and no request is unresolved. A stopping process
// that is idle may exit: whatever still names it can only be told unknown.
func (g *Gatekeeper) IsDrained(now time.Time) bool {
	expired := g.lastIssued+g.config.TokenLifetime.Milliseconds() <= max(g.latest, now.UnixMilli())
	return g.unresolved == 0 && (expired || g.lastIssued == 0)
}

// EntryCount returns the number of used flow ids.
func (g *Gatekeeper) EntryCount() int { return len(g.entries) }

// OutstandingReservations returns the number of granted reservations that are valid and not used.
func (g *Gatekeeper) OutstandingReservations() int { return g.reservations.total }

// UnresolvedRequests returns the number of requests without an outcome.
func (g *Gatekeeper) UnresolvedRequests() int { return g.unresolved }
