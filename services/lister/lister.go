// Package lister keeps a daemon's view of the backend list, and its age. The view is replaced by full reads of the platform and
// updated by deltas from peers. It uses no sockets, goroutines or clock. A Lister is not safe for concurrent use.
package lister

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

// Delta is one step of the change from an older backend list to a newer one. A change of more than MaxDeltaEntries takes several
// steps.
type Delta struct {
	// Position is the position of the platform's store when the newer list was read.
	directory.Position
	// BaseDigest and Digest are the digests of the list before and after the step.
	BaseDigest, Digest uint64
	ChangedServers     []directory.BackendServer
	RemovedIDs         []directory.ServerID
	// HasMore is set when further steps follow: the list only equals that of the position after the last one.
	HasMore bool
}

// MaxDeltaEntries bounds the entries of a Delta, so that it fits a datagram of 1,100 bytes.
const MaxDeltaEntries = 20

// Outcome is the result of a replacement or a delta.
type Outcome uint8

// The outcomes.
const (
	Outdated     Outcome = iota // the list or delta is older than the view, which is unchanged
	Confirmed                   // the view already has this content
	Changed                     // the view has changed
	BaseMismatch                // the delta does not apply to the view: a full sync is needed
)

// warmUpTolerance is by how much the end of a warm-up must move for the entry to count as changed. An entry states the rest of the warm-up
// at its latest heartbeat, which was up to 1.2 s before the read.
const warmUpTolerance = 1500 * time.Millisecond

// Lister holds the view of the backend list and its age.
type Lister struct {
	// TracksWarmUp makes the Lister treat the start of a warm-up as a change of the entry. Otherwise RemainingWarmUp is only that of the
	// first read of an entry. It must be set before the first list.
	TracksWarmUp bool
	coldUntil    map[directory.ServerID]time.Time // ends of the warm-ups, if TracksWarmUp is set
	servers      map[directory.ServerID]directory.BackendServer
	position     directory.Position
	digest       uint64
	asOf         time.Time
	// appliedDigests are the digests after each applied step of a change that is not complete, empty otherwise.
	appliedDigests []uint64
}

// New returns a Lister without a list.
func New() *Lister {
	return &Lister{servers: map[directory.ServerID]directory.BackendServer{}, coldUntil: map[directory.ServerID]time.Time{}}
}

// HasList reports whether there is a list.
func (l *Lister) HasList() bool { return !l.asOf.IsZero() }

// AsOf returns the latest time at which the list is known to have been current, the zero time when there is no list.
func (l *Lister) AsOf() time.Time { return l.asOf }

// AddAge makes the list older by d, for which the clock stood still.
func (l *Lister) AddAge(d time.Duration) {
	if l.HasList() {
		l.asOf = l.asOf.Add(-d)
	}
}

// Position returns the position of the platform's store at which the list was read.
func (l *Lister) Position() directory.Position { return l.position }

// Digest identifies the content of the list.
func (l *Lister) Digest() uint64 { return l.digest }

// BackendList returns the list, sorted by id.
func (l *Lister) BackendList() *directory.BackendList {
	list := slices.SortedFunc(maps.Values(l.servers), func(a, b directory.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return &directory.BackendList{Position: l.position, Servers: list}
}

// BackendListAt returns the list like BackendList. If TracksWarmUp is set, RemainingWarmUp of its entries is that at the time t.
func (l *Lister) BackendListAt(t time.Time) *directory.BackendList {
	list := l.BackendList()
	if l.TracksWarmUp {
		for i := range list.Servers {
			list.Servers[i].RemainingWarmUp = max(l.coldUntil[list.Servers[i].ID].Sub(t), 0)
		}
	}
	return list
}

// startsWarmUp reports whether an entry that was read at asOf states a warm-up that the view does not know.
func (l *Lister) startsWarmUp(asOf time.Time, server *directory.BackendServer) bool {
	if !l.TracksWarmUp || server.RemainingWarmUp <= 0 {
		return false
	}
	known := l.coldUntil[server.ID]
	if known.Before(asOf) {
		known = asOf
	}
	return asOf.Add(server.RemainingWarmUp).Sub(known) > warmUpTolerance
}

// adoptWarmUps takes the warm-ups over that the entries of a delta state, and reports whether there are any. The digest does not cover
// them, so that daemons of earlier versions have the same one.
func (l *Lister) adoptWarmUps(asOf time.Time, d *Delta) bool {
	adopted := false
	for i := range d.ChangedServers {
		if s := &d.ChangedServers[i]; l.startsWarmUp(asOf, s) {
			l.coldUntil[s.ID] = asOf.Add(s.RemainingWarmUp)
			adopted = true
		}
	}
	return adopted
}

// Replace sets the view to a full list that was current at asOf. It returns the steps from the previous list to it, at least one.
// The Digest of each step is the BaseDigest of the next one.
func (l *Lister) Replace(asOf time.Time, list *directory.BackendList) ([]Delta, Outcome) {
	if l.HasList() && list.Position.IsBefore(l.position) {
		return nil, Outdated
	}
	change := Delta{Position: list.Position, BaseDigest: l.digest}
	listed := make(map[directory.ServerID]bool, len(list.Servers))
	for _, server := range list.Servers {
		listed[server.ID] = true
		if known, ok := l.servers[server.ID]; !ok || !sameContent(&known, &server) || l.startsWarmUp(asOf, &server) {
			change.ChangedServers = append(change.ChangedServers, server)
		}
	}
	for id := range l.servers {
		if !listed[id] {
			change.RemovedIDs = append(change.RemovedIDs, id)
		}
	}
	slices.Sort(change.RemovedIDs)
	initial := !l.HasList()
	l.appliedDigests = nil
	steps := l.applyInSteps(asOf, &change)
	l.confirm(asOf, list.Position)
	if initial || len(change.ChangedServers)+len(change.RemovedIDs) > 0 {
		return steps, Changed
	}
	return steps, Confirmed
}

// applyInSteps applies a change in steps of at most MaxDeltaEntries entries, and returns them.
func (l *Lister) applyInSteps(asOf time.Time, change *Delta) []Delta {
	var steps []Delta
	step := Delta{Position: change.Position, BaseDigest: l.digest}
	finishStep := func() {
		step.Digest = l.digest
		steps = append(steps, step)
		step = Delta{Position: change.Position, BaseDigest: l.digest}
	}
	for _, server := range change.ChangedServers {
		l.put(asOf, server)
		if step.ChangedServers = append(step.ChangedServers, server); len(step.ChangedServers) == MaxDeltaEntries {
			finishStep()
		}
	}
	for _, id := range change.RemovedIDs {
		l.remove(id)
		if step.RemovedIDs = append(step.RemovedIDs, id); len(step.ChangedServers)+len(step.RemovedIDs) >= MaxDeltaEntries {
			finishStep()
		}
	}
	if len(step.ChangedServers)+len(step.RemovedIDs) > 0 || len(steps) == 0 {
		finishStep()
	}
	for i := range steps[:len(steps)-1] {
		steps[i].HasMore = true
	}
	return steps
}

// Apply applies a delta to a list that was current at asOf.
func (l *Lister) Apply(asOf time.Time, d *Delta) Outcome {
	switch {
	case l.HasList() && d.Position.IsBefore(l.position):
		return Outdated
	case l.HasList() && d.Digest == l.digest:
		if !d.HasMore {
			l.appliedDigests = nil
		}
		l.confirm(d.asOfAfter(asOf), d.Position)
		if l.adoptWarmUps(asOf, d) {
			return Changed
		}
		return Confirmed
	case l.HasList() && d.BaseDigest != l.digest && d.Position == l.position && l.alreadyApplied(d):
		return Outdated
	case !l.HasList() || d.BaseDigest != l.digest:
		return BaseMismatch
	}
	servers, digest := maps.Clone(l.servers), l.digest
	l.applyDelta(asOf, d)
	if l.digest != d.Digest {
		l.servers, l.digest = servers, digest
		return BaseMismatch
	}
	l.confirm(d.asOfAfter(asOf), d.Position)
	if d.HasMore {
		l.appliedDigests = append(l.appliedDigests, d.Digest)
	} else {
		l.appliedDigests = nil
	}
	return Changed
}

// ApplyChain applies consecutive steps whose first base is not the current list, and reports whether the list is that after the last step
// then. This is so if the current list was read between the base and the last step: what changed before is in it already, and what
// changed afterwards is in the steps. The digest of the last step shows whether it is. Otherwise the list is unchanged.
func (l *Lister) ApplyChain(asOf time.Time, steps []Delta) bool {
	if !l.HasList() || len(steps) == 0 || len(l.appliedDigests) > 0 {
		return false
	}
	last := &steps[len(steps)-1]
	if last.HasMore || last.Position.IsBefore(l.position) {
		return false
	}
	servers, coldUntil, digest := maps.Clone(l.servers), maps.Clone(l.coldUntil), l.digest
	for i := range steps {
		l.applyDelta(asOf, &steps[i])
	}
	if l.digest != last.Digest {
		l.servers, l.coldUntil, l.digest = servers, coldUntil, digest
		return false
	}
	l.confirm(asOf, last.Position)
	return true
}

// alreadyApplied reports whether a step to the position of the view was applied before, maybe from another peer. If no change is
// in progress, all steps to that position were. While one is, a step that was not applied has overtaken the one before it.
func (l *Lister) alreadyApplied(d *Delta) bool {
	return len(l.appliedDigests) == 0 || slices.Contains(l.appliedDigests, d.Digest)
}

// asOfAfter returns the time at which the list was current after the step, the zero time when further steps follow.
func (d *Delta) asOfAfter(asOf time.Time) time.Time {
	if d.HasMore {
		return time.Time{}
	}
	return asOf
}

// applyDelta changes the entries that the delta names.
func (l *Lister) applyDelta(asOf time.Time, d *Delta) {
	for _, server := range d.ChangedServers {
		l.put(asOf, server)
	}
	for _, id := range d.RemovedIDs {
		l.remove(id)
	}
}

// put adds or replaces an entry. The digest of the list is the sum of those of its entries, so that a change only costs its own
// entries.
func (l *Lister) put(asOf time.Time, server directory.BackendServer) {
	l.remove(server.ID)
	if l.TracksWarmUp && server.RemainingWarmUp > 0 {
		l.coldUntil[server.ID] = asOf.Add(server.RemainingWarmUp)
	}
	l.servers[server.ID] = server
	l.digest += entryDigest(&server)
}

// remove deletes an entry, if there is one.
func (l *Lister) remove(id directory.ServerID) {
	if old, ok := l.servers[id]; ok {
		l.digest -= entryDigest(&old)
		delete(l.servers, id)
		delete(l.coldUntil, id)
	}
}

// confirm records that the list was current at asOf, at the position of the platform's store.
func (l *Lister) confirm(asOf time.Time, position directory.Position) {
	if asOf.After(l.asOf) {
		l.asOf = asOf
	}
	l.position = directory.Later(l.position, position)
}

// sameContent reports whether two entries are equal apart from Revision and RemainingWarmUp, which change with each heartbeat.
func sameContent(a, b *directory.BackendServer) bool {
	x, y := *a, *b
	x.Revision, x.RemainingWarmUp, y.Revision, y.RemainingWarmUp = 0, 0, 0, 0
	return x == y
}

// entryDigest returns the digest of an entry without Revision and RemainingWarmUp, which change with each heartbeat.
func entryDigest(server *directory.BackendServer) uint64 {
	encoded := make([]byte, 0, 96)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(server.ID))
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(server.Incarnation))
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(server.Slots))
	encoded = append(encoded, server.Service...)
	encoded = append(encoded, 0)
	encoded = append(encoded, server.AvailabilityZone...)
	encoded = append(encoded, 0)
	ip := server.Address.Addr().As16()
	encoded = append(encoded, ip[:]...)
	encoded = binary.BigEndian.AppendUint16(encoded, server.Address.Port())
	if server.Leaving {
		encoded = append(encoded, 1)
	}
	h := fnv.New64a()
	_, _ = h.Write(encoded) // hash.Hash documents that it never returns an error
	return ranker.Mix(h.Sum64())
}
