package steerer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

// referenceMaxAge is the largest age of the last answer of a reference: a few requests to one backend server at usual rates.
const referenceMaxAge = 2 * time.Second

// TakeEvidenceChanged reports whether evidence against a backend server was added or contradicted since the last call, so that
// TakeFindings should be called soon.
func (s *Steerer) TakeEvidenceChanged() bool {
	changed := s.evidenceChanged
	s.evidenceChanged = false
	return changed
}

// maxReferences is the number of references: with a quarter of the backend servers dead, all of them are in 2% of the cases.
const maxReferences = 3

// Reference names the backend server to probe, and others of its service by whose probes its outcome is judged.
type Reference struct {
	Service string
	Server  netip.AddrPort
	// Addresses are those of the backend servers that answered last, newest answer first.
	Addresses []netip.AddrPort
}

// Reference returns what is needed to probe a backend server. The outcome of its probe counts only if that of another backend server shows
// that probes are answered. Without one, under load or in a zone with a single backend server, an accepted probe still shows that the
// backend server is alive, and any other outcome shows nothing. It returns false if the backend server is unknown, or
// has left so long ago that no flow is kept there.
func (s *Steerer) Reference(now time.Time, id directory.ServerID) (Reference, bool) {
	b := s.servers[id]
	if b == nil || b.removedFor(now) > s.idleTimeout {
		return Reference{}, false
	}
	r := Reference{Service: b.Service, Server: b.Address}
	var others []*backendServer
	for _, other := range s.serversByService[b.Service] {
		if other != b && other.removedAt.IsZero() && now.Sub(other.lastRecentAnswer) <= referenceMaxAge && !other.isSuspectedByAny(now) {
			others = append(others, other)
		}
	}
	slices.SortFunc(others, func(a, b *backendServer) int { return b.lastRecentAnswer.Compare(a.lastRecentAnswer) })
	for _, other := range others[:min(maxReferences, len(others))] {
		r.Addresses = append(r.Addresses, other.Address)
	}
	return r, true
}
