package steerer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// maxDeparted bounds the backend servers that only other daemons have known.
const maxDeparted = 1 << 12

// A tag that several backend servers share was issued by a daemon that did not know all of them. This daemon resolves it only for flows that it has
// seen with the same tag while one backend server had it, and drops the other packets. The flows get another tag with their next packet,
// because clients return the newest tag that has passed through the backend server.

// resolve returns the backend server of a packet of an established flow, or nil and the reason.
func (s *Steerer) resolve(key flowKey, p *editor.Packet) (*backendServer, Cause) {
	if id, ok := s.tags.Lookup(p.Tag, p.Destination); ok {
		if target := s.servers[directory.ServerID(id)]; target != nil {
			return target, CauseNone
		}
		return nil, UnknownTag // only another daemon has known the backend server
	}
	if !s.tags.IsShared(p.Tag, p.Destination) {
		return nil, UnknownTag
	}
	if f := s.flows[key]; f != nil && slices.Contains(f.tags[:], p.Tag) {
		return f.server, CauseNone
	}
	return nil, AmbiguousTag
}

// renewTag returns the tag with which a packet of an established flow is forwarded: its own, or another one if several backend servers share
// that. f is nil if the flow is not tracked.
func (s *Steerer) renewTag(f *flow, p *editor.Packet, target *backendServer) uint32 {
	tag := p.Tag
	if s.tags.IsShared(tag, p.Destination) {
		if renewed, ok := s.tags.Tag(uint64(target.ID), p.Destination); ok {
			tag = renewed
		}
	}
	if f != nil {
		f.addTag(p.Tag)
		f.addTag(tag)
	}
	return tag
}

// addTag records a tag of the flow. The newest two matter: packets with the former one may still be on their way.
func (f *flow) addTag(tag uint32) {
	if !slices.Contains(f.tags[:], tag) {
		f.tags = [2]uint32{tag, f.tags[0]}
	}
}

// Departures returns the backend servers whose entries were removed within removedRetention, newest first.
func (s *Steerer) Departures(now time.Time) []directory.Departure {
	var list []directory.Departure
	for id, b := range s.servers {
		if !b.removedAt.IsZero() {
			list = append(list, directory.Departure{ID: id, Age: max(now.Sub(b.removedAt), 0)})
		}
	}
	for id, removedAt := range s.departed {
		list = append(list, directory.Departure{ID: id, Age: max(now.Sub(removedAt), 0)})
	}
	slices.SortFunc(list, func(a, b directory.Departure) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
	return list
}

// AddDepartures records backend servers whose entries were removed before this daemon has read its first list: it knows no addresses of them, but
// does not take their tags for those of others.
func (s *Steerer) AddDepartures(now time.Time, list []directory.Departure) {
	for _, d := range list {
		if s.servers[d.ID] == nil && d.Age <= removedRetention && len(s.departed) < maxDeparted {
			s.departed[d.ID] = now.Add(-d.Age)
		}
	}
	s.rebuildTags()
}

// sweepDepartures forgets backend servers that were removed long ago, and reports whether there were any.
func (s *Steerer) sweepDepartures(now time.Time) bool {
	before := len(s.departed)
	maps.DeleteFunc(s.departed, func(_ directory.ServerID, removedAt time.Time) bool { return now.Sub(removedAt) > removedRetention })
	return len(s.departed) < before
}

// rebuildTags updates the tags to the known backend servers.
func (s *Steerer) rebuildTags() {
	ids := make([]uint64, 0, len(s.servers)+len(s.departed))
	for id := range s.servers {
		ids = append(ids, uint64(id))
		delete(s.departed, id)
	}
	for id := range s.departed {
		ids = append(ids, uint64(id))
	}
	s.tags.Set(ids)
	clear(s.untagged)
	_, untagged := s.tags.Shared()
	for _, id := range untagged {
		s.untagged[directory.ServerID(id)] = true
	}
}

// SharedTags returns the ids of the backend servers that share a tag with another one, sorted.
func (s *Steerer) SharedTags() []directory.ServerID {
	shared, _ := s.tags.Shared()
	ids := make([]directory.ServerID, len(shared))
	for i, id := range shared {
		ids[i] = directory.ServerID(id)
	}
	return ids
}
