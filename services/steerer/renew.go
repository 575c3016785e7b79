package steerer

import "maps"

// Renew returns a Steerer with the settings of s that knows no configuration, no backend list and no flow. It replaces one whose state may be
// inconsistent: packets of established flows find their backend servers by their tags. With keepRemoved it keeps the routes and backend
// servers that were removed lately, because packets of their flows still arrive.
func (s *Steerer) Renew(keepRemoved bool) *Steerer {
	c := s.config
	if c.ColdLimiter != nil {
		c.ColdLimiter = c.ColdLimiter.Renew()
	}
	renewed := New(c)
	if !keepRemoved {
		return renewed
	}
	renewed.removedRoutes, renewed.departed = maps.Clone(s.removedRoutes), maps.Clone(s.departed)
	for id, b := range s.servers {
		if !b.removedAt.IsZero() {
			kept := &backendServer{BackendServer: b.BackendServer, probed: &renewed.probed, removedAt: b.removedAt, coldUntil: b.coldUntil}
			kept.health = health{ignoreObservations: c.IgnoreObservations, lastAnswer: b.lastAnswer}
			renewed.servers[id] = kept
		}
	}
	renewed.resetSpeeds()
	return renewed
}
