// Package lister keeps the list of backend servers of one daemon: what the platform was read to hold, what peers have read
// since, and how old that is. It uses no sockets, goroutines or clock. A Lister is not safe for concurrent use.
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

// Delta is the difference between two lists.
type Delta struct {
	// Revision is the platform's revision when the newer list was read.
	Revision uint64
	// BaseDigest and Digest are the digests of the older and of the newer list.
	BaseDigest, Digest uint64
	ChangedServers     []directory.BackendServer
	RemovedIDs         []directory.ServerID
	// HasMore is set when further steps to the list of the revision follow: the list is not right before the last one.
	HasMore bool
}

// MaxDeltaEntries bounds the entries of one Delta, which then fits a datagram of 1,100 bytes.
const MaxDeltaEntries = 20

// Outcome tells what became of an offered list or delta.
type Outcome uint8

// The outcomes.
const (
	Outdated     Outcome = iota // it is older than the list held
	Confirmed                   // the list held is still right
	Changed                     // the list held has changed
	BaseMismatch                // the delta is to a list that is not held: the whole list is needed
)

// Lister is a list of backend servers with its age.
type Lister struct {
	servers  map[directory.ServerID]directory.BackendServer
	revision uint64
	digest   uint64
	asOf     time.Time
	// taken are the digests after the steps of an unfinished change, empty when the list is whole.
	appliedDigests []uint64
}

// New returns a Lister without a list.
func New() *Lister { return &Lister{servers: map[directory.ServerID]directory.BackendServer{}} }

// HasList reports whether there is a list.
func (l *Lister) HasList() bool { return !l.asOf.IsZero() }

// AsOf returns a time at which the list was right, the zero time when there is none.
func (l *Lister) AsOf() time.Time { return l.asOf }

// AddAge makes the list older by d: the clock stood still meanwhile.
func (l *Lister) AddAge(d time.Duration) {
	if l.HasList() {
		l.asOf = l.asOf.Add(-d)
	}
}

// Revision returns the platform's revision when the list was read.
func (l *Lister) Revision() uint64 { return l.revision }

// Digest identifies the content of the list.
func (l *Lister) Digest() uint64 { return l.digest }

// BackendList returns the list, sorted by id.
func (l *Lister) BackendList() *directory.Listing {
	list := slices.SortedFunc(maps.Values(l.servers), func(a, b directory.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return &directory.Listing{Revision: l.revision, Servers: list}
}

// Replace takes a whole list that was right at asOf, and returns the steps from the list before to it, at least one. Each
// step's Digest is the next one's Base.
func (l *Lister) Replace(asOf time.Time, listing *directory.Listing) ([]Delta, Outcome) {
	if l.HasList() && listing.Revision < l.revision {
		return nil, Outdated
	}
	change := Delta{Revision: listing.Revision, BaseDigest: l.digest}
	listed := make(map[directory.ServerID]bool, len(listing.Servers))
	for _, server := range listing.Servers {
		listed[server.ID] = true
		if known, ok := l.servers[server.ID]; !ok || !sameContent(&known, &server) {
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
	steps := l.applyInSteps(&change)
	l.confirm(asOf, listing.Revision)
	if initial || len(change.ChangedServers)+len(change.RemovedIDs) > 0 {
		return steps, Changed
	}
	return steps, Confirmed
}

// steps carries out the change d in steps of at most MaxStep entries.
func (l *Lister) applyInSteps(change *Delta) []Delta {
	var steps []Delta
	step := Delta{Revision: change.Revision, BaseDigest: l.digest}
	finishStep := func() {
		step.Digest = l.digest
		steps = append(steps, step)
		step = Delta{Revision: change.Revision, BaseDigest: l.digest}
	}
	for _, server := range change.ChangedServers {
		l.put(server)
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

// Apply takes a delta to a list that was right at asOf.
func (l *Lister) Apply(asOf time.Time, d *Delta) Outcome {
	switch {
	case l.HasList() && d.Revision < l.revision:
		return Outdated
	case l.HasList() && d.Digest == l.digest:
		if !d.HasMore {
			l.appliedDigests = nil
		}
		l.confirm(d.asOfAfter(asOf), d.Revision)
		return Confirmed
	case l.HasList() && d.BaseDigest != l.digest && d.Revision == l.revision && l.alreadyApplied(d):
		return Outdated
	case !l.HasList() || d.BaseDigest != l.digest:
		return BaseMismatch
	}
	servers, digest := maps.Clone(l.servers), l.digest
	l.applyDelta(d)
	if l.digest != d.Digest {
		l.servers, l.digest = servers, digest
		return BaseMismatch
	}
	l.confirm(d.asOfAfter(asOf), d.Revision)
	if d.HasMore {
		l.appliedDigests = append(l.appliedDigests, d.Digest)
	} else {
		l.appliedDigests = nil
	}
	return Changed
}

// past reports whether a step of the revision held was taken before, maybe from another peer. While a change is unfinished, a step that
// was not taken has overtaken the one before it.
func (l *Lister) alreadyApplied(d *Delta) bool {
	return len(l.appliedDigests) == 0 || slices.Contains(l.appliedDigests, d.Digest)
}

// asOf returns the time at which the list was right after the step, the zero time when further steps follow.
func (d *Delta) asOfAfter(asOf time.Time) time.Time {
	if d.HasMore {
		return time.Time{}
	}
	return asOf
}

func (l *Lister) applyDelta(d *Delta) {
	for _, server := range d.ChangedServers {
		l.put(server)
	}
	for _, id := range d.RemovedIDs {
		l.remove(id)
	}
}

// put adds or replaces an entry. The digest is the sum of those of the entries, so that a change costs only its own part.
func (l *Lister) put(server directory.BackendServer) {
	l.remove(server.ID)
	l.servers[server.ID] = server
	l.digest += entryDigest(&server)
}

func (l *Lister) remove(id directory.ServerID) {
	if old, ok := l.servers[id]; ok {
		l.digest -= entryDigest(&old)
		delete(l.servers, id)
	}
}

func (l *Lister) confirm(asOf time.Time, revision uint64) {
	if asOf.After(l.asOf) {
		l.asOf = asOf
	}
	l.revision = max(l.revision, revision)
}

// same reports whether two entries say the same but for what grows by itself.
func sameContent(a, b *directory.BackendServer) bool {
	x, y := *a, *b
	x.Revision, x.WarmUp, y.Revision, y.WarmUp = 0, 0, 0, 0
	return x == y
}

// digest identifies an entry, but for what grows by itself.
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
	_, _ = h.Write(encoded) // never fails, as documented
	return ranker.Mix(h.Sum64())
}
