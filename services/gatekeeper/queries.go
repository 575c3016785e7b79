package gatekeeper

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
)

// Holds reports whether a gate token names this process.
func (g *Gatekeeper) Holds(t sealer.Token) bool {
	return t.Target == g.config.Self && t.Incarnation == g.config.Incarnation
}

// Unused reports whether a gate token names this process and its flow id has not been used.
func (g *Gatekeeper) Unused(t sealer.Token) bool { return g.Holds(t) && g.entries[t.FlowID] == nil }

// Idle reports whether each gate token of this process has expired and no request is unresolved. A stopping process
// that is idle may exit: whatever still names it can only be told unknown.
func (g *Gatekeeper) Idle(now time.Time) bool {
	expired := g.lastIssued+g.config.TokenLifetime.Milliseconds() <= max(g.latest, now.UnixMilli())
	return g.unresolved == 0 && (expired || g.lastIssued == 0)
}

// Entries returns the number of used flow ids.
func (g *Gatekeeper) Entries() int { return len(g.entries) }

// Outstanding returns the number of granted reservations that are valid and not used.
func (g *Gatekeeper) Outstanding() int { return g.reservations.total }

// Unresolved returns the number of requests without an outcome.
func (g *Gatekeeper) Unresolved() int { return g.unresolved }
