// Package evacuator keeps a daemon's view of the evacuated availability zones, its position in the platform's store and its age. The
// view is replaced by full reads of the store and by those of peers, and updated by the changes that a watch reports. It uses no sockets,
// goroutines or clock. An Evacuator is not safe for concurrent use.
package evacuator

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

const (
	// restoreGrace is how long a zone stays evacuated that a restored store lacks. The copy may be older than the request, and the
	// operator needs some seconds to write it again.
	restoreGrace = 5 * time.Second
	// revocationMemory is how long the revocation of an evacuation is kept for peers that start later. Backend servers warm up
	// after a revocation, and their entries state it only after their next heartbeat and the next read of the backend list.
	revocationMemory = 5 * time.Second
)

// Outcome is the result of a replacement or a change.
type Outcome uint8

// The outcomes.
const (
	Outdated   Outcome = iota // the set or the changes are older than the view, which is unchanged
	Confirmed                 // the view already has this content
	Changed                   // the evacuated zones or the recent revocations have changed
	ReadNeeded                // the changes do not continue from the view: a full read is needed
)

// Snapshot is the view of a daemon in a form that is independent of its clock, as daemons send it to each other.
type Snapshot struct {
	directory.Evacuations
	Age time.Duration
	// Lost holds the zones that a restored store lacks and that stay evacuated, with the time that is left of restoreGrace.
	Lost map[string]time.Duration
	// Revoked holds the zones whose evacuation was revoked recently, with the time since then.
	Revoked map[string]time.Duration
}

// Evacuator holds the view of the evacuated zones.
type Evacuator struct {
	position  directory.Position
	zones     map[string]bool
	asOf      time.Time
	lostUntil map[string]time.Time // zones that the restored store lacks and that stay evacuated until then
	revokedAt map[string]time.Time // recent revocations, as far as this daemon knows
}

// New returns an Evacuator that knows no set.
func New() *Evacuator {
	return &Evacuator{zones: map[string]bool{}, lostUntil: map[string]time.Time{}, revokedAt: map[string]time.Time{}}
}

// IsKnown reports whether the set is known.
func (e *Evacuator) IsKnown() bool { return !e.asOf.IsZero() }

// AsOf returns the latest time at which the set is known to have been current, the zero time if it is unknown.
func (e *Evacuator) AsOf() time.Time { return e.asOf }

// AddAge makes the set older by d, for which the clock stood still.
func (e *Evacuator) AddAge(d time.Duration) {
	if e.IsKnown() {
		e.asOf = e.asOf.Add(-d)
	}
}

// Position returns the position of the platform's store up to which the set is known.
func (e *Evacuator) Position() directory.Position { return e.position }

// Zones returns the zones that must get no new flows, sorted.
func (e *Evacuator) Zones() []string {
	zones := slices.Collect(maps.Keys(e.zones))
	for zone := range e.lostUntil {
		if !e.zones[zone] {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// RevokedAt returns when this daemon learned of the recent revocations, by zone.
func (e *Evacuator) RevokedAt() map[string]time.Time { return maps.Clone(e.revokedAt) }

// Replace sets the view to a set that the store had at asOf. A set at an earlier position than that of the view is dropped.
func (e *Evacuator) Replace(now, asOf time.Time, set *directory.Evacuations) Outcome {
	return e.replace(now, asOf, set, nil, nil)
}

// Merge sets the view to that of a peer, which was sent transit ago.
func (e *Evacuator) Merge(now time.Time, transit time.Duration, s *Snapshot) Outcome {
	return e.replace(now, now.Add(-s.Age-transit), &s.Evacuations, shift(s.Lost, -transit), shift(s.Revoked, transit))
}

func (e *Evacuator) replace(now, asOf time.Time, set *directory.Evacuations, lost, revoked map[string]time.Duration) Outcome {
	expired := e.Expire(now)
	if e.IsKnown() && set.Position.IsBefore(e.position) {
		return orChanged(Outdated, expired)
	}
	before, revocations := e.Zones(), len(e.revokedAt)
	if !e.IsKnown() || e.position.IsBefore(set.Position) {
		e.adopt(now, set)
	}
	for zone, left := range lost {
		if !e.zones[zone] && left > 0 && !e.isRevoked(zone) {
			e.lostUntil[zone] = later(e.lostUntil[zone], now.Add(min(left, restoreGrace)))
		}
	}
	for zone, ago := range revoked {
		if !e.isEvacuated(zone) && ago >= 0 && ago < revocationMemory && !e.isRevoked(zone) {
			e.revokedAt[zone] = now.Add(-ago)
		}
	}
	changed := expired || !e.IsKnown()
	e.confirm(asOf, set.Position)
	if changed || len(e.revokedAt) != revocations || !slices.Equal(before, e.Zones()) {
		return Changed
	}
	return Confirmed
}

// adopt replaces the zones by those of a set at a later position.
func (e *Evacuator) adopt(now time.Time, set *directory.Evacuations) {
	restored := e.position.Era > 0 && set.Era > e.position.Era
	next := make(map[string]bool, len(set.Zones))
	for _, zone := range set.Zones {
		next[zone] = true
		delete(e.lostUntil, zone)
		delete(e.revokedAt, zone)
	}
	for zone := range e.zones {
		switch {
		case next[zone]:
		case restored:
			e.lostUntil[zone] = now.Add(restoreGrace)
		default:
			e.revokedAt[zone] = now
		}
	}
	e.zones = next
}

// Apply applies the changes that a watch reported after the position from, up to the position to. The watch was current at asOf.
func (e *Evacuator) Apply(now, asOf time.Time, from directory.Position, changes []directory.EvacuationChange, to directory.Position) Outcome {
	if !e.IsKnown() || to.Era > e.position.Era || to.Era == e.position.Era && e.position.IsBefore(from) {
		return ReadNeeded
	}
	expired := e.Expire(now)
	if to.IsBefore(e.position) {
		return orChanged(Outdated, expired)
	}
	outcome := orChanged(Confirmed, expired)
	for _, c := range changes {
		if c.Revision <= e.position.Revision {
			continue
		}
		before := e.isEvacuated(c.AvailabilityZone)
		delete(e.lostUntil, c.AvailabilityZone)
		if c.Evacuated {
			e.zones[c.AvailabilityZone] = true
			delete(e.revokedAt, c.AvailabilityZone)
		} else {
			delete(e.zones, c.AvailabilityZone)
			if before {
				e.revokedAt[c.AvailabilityZone] = now
			}
		}
		if before != c.Evacuated {
			outcome = Changed
		}
	}
	e.confirm(asOf, to)
	return outcome
}

// Confirm records that the set was current at asOf.
func (e *Evacuator) Confirm(asOf time.Time) { e.confirm(asOf, e.position) }

// Expire drops the zones whose restoreGrace is over and the revocations that are no longer recent. It reports whether the evacuated zones
// changed.
func (e *Evacuator) Expire(now time.Time) bool {
	changed := false
	for zone, until := range e.lostUntil {
		if !now.Before(until) {
			delete(e.lostUntil, zone)
			e.revokedAt[zone] = now
			changed = true
		}
	}
	for zone, at := range e.revokedAt {
		if now.Sub(at) >= revocationMemory {
			delete(e.revokedAt, zone)
		}
	}
	return changed
}

// NextExpiry returns when Expire has to be called next because a zone ceases to be evacuated, the zero time if none does.
func (e *Evacuator) NextExpiry() time.Time {
	var next time.Time
	for _, until := range e.lostUntil {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}

// Snapshot returns the view for peers.
func (e *Evacuator) Snapshot(now time.Time) *Snapshot {
	s := &Snapshot{Evacuations: directory.Evacuations{Position: e.position, Zones: slices.Sorted(maps.Keys(e.zones))}, Age: now.Sub(e.asOf)}
	for zone, until := range e.lostUntil {
		if left := until.Sub(now); left > 0 {
			s.Lost = put(s.Lost, zone, left)
		}
	}
	for zone, at := range e.revokedAt {
		if ago := now.Sub(at); ago < revocationMemory {
			s.Revoked = put(s.Revoked, zone, ago)
		}
	}
	return s
}

// orChanged returns the outcome, or Changed if the zones changed because a time was over.
func orChanged(o Outcome, expired bool) Outcome {
	if expired {
		return Changed
	}
	return o
}

// isEvacuated reports whether a zone must get no new flows.
func (e *Evacuator) isEvacuated(zone string) bool {
	return e.zones[zone] || !e.lostUntil[zone].IsZero()
}

// isRevoked reports whether the evacuation of a zone was revoked recently.
func (e *Evacuator) isRevoked(zone string) bool { return !e.revokedAt[zone].IsZero() }

// confirm records that the set was current at asOf, at the position of the platform's store.
func (e *Evacuator) confirm(asOf time.Time, position directory.Position) {
	e.asOf = later(e.asOf, asOf)
	e.position = directory.Later(e.position, position)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// shift adds d to all durations.
func shift(m map[string]time.Duration, d time.Duration) map[string]time.Duration {
	shifted := maps.Clone(m)
	for zone := range shifted {
		shifted[zone] += d
	}
	return shifted
}

func put(m map[string]time.Duration, zone string, d time.Duration) map[string]time.Duration {
	if m == nil {
		m = map[string]time.Duration{}
	}
	m[zone] = d
	return m
}
