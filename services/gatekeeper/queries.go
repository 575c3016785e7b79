package gatekeeper

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
)

// Owns reports whether this process issued the gate token.
func (g *Gatekeeper) Owns(t sealer.Token) bool {
	return t.Target == g.config.Self && t.Incarnation == g.config.Incarnation
}

// IsUnused reports whether this process issued the gate token and the flow id of the token has not been used.
func (g *Gatekeeper) IsUnused(t sealer.Token) bool { return g.Owns(t) && g.entries[t.FlowID] == nil }

// IsDrained reports whether all gate tokens of this process have expired and no request is unresolved. A stopping process
// that is drained may exit: a datagram that arrives later could only be answered with an unknown outcome.
func (g *Gatekeeper) IsDrained(now time.Time) bool {
	expired := g.lastIssuedAt+g.config.TokenLifetime.Milliseconds() <= max(g.latestTime, now.UnixMilli())
	return g.unresolvedCount == 0 && (expired || g.lastIssuedAt == 0)
}

// EntryCount returns the number of used flow ids.
func (g *Gatekeeper) EntryCount() int { return len(g.entries) }

// OutstandingReservations returns the number of granted reservations that are valid and unused.
func (g *Gatekeeper) OutstandingReservations() int { return g.reservations.total }

// UnresolvedRequests returns the number of requests without a final outcome.
func (g *Gatekeeper) UnresolvedRequests() int { return g.unresolvedCount }
