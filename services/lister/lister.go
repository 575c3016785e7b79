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
	// Base and Digest are the digests of the older and of the newer list.
	Base, Digest uint64
	Changed      []directory.BackendServer
	Removed      []directory.ServerID
	// More is set when further steps to the list of the revision follow: the list is not right before the last one.
	More bool
}

// MaxStep bounds the entries of one Delta, which then fits a datagram of 1,100 bytes.
const MaxStep = 20

// Outcome tells what became of an offered list or delta.
type Outcome uint8

// The outcomes.
const (
	Outdated  Outcome = iota // it is older than the list held
	Confirmed                // the list held is still right
	Changed                  // the list held has changed
	Foreign                  // the delta is to a list that is not held: the whole list is needed
)

// Lister is a list of backend servers with its age.
type Lister struct {
	servers  map[directory.ServerID]directory.BackendServer
	revision uint64
	digest   uint64
	asOf     time.Time
	// taken are the digests after the steps of an unfinished change, empty when the list is whole.
	taken []uint64
}

// New returns a Lister without a list.
func New() *Lister { return &Lister{servers: map[directory.ServerID]directory.BackendServer{}} }

// Known reports whether there is a list.
func (l *Lister) Known() bool { return !l.asOf.IsZero() }

// AsOf returns a time at which the list was right, the zero time when there is none.
func (l *Lister) AsOf() time.Time { return l.asOf }

// Age makes the list older by d: the clock stood still meanwhile.
func (l *Lister) Age(d time.Duration) {
	if l.Known() {
		l.asOf = l.asOf.Add(-d)
	}
}

// Revision returns the platform's revision when the list was read.
func (l *Lister) Revision() uint64 { return l.revision }

// Digest identifies the content of the list.
func (l *Lister) Digest() uint64 { return l.digest }

// Listing returns the list, sorted by id.
func (l *Lister) Listing() *directory.BackendList {
	list := slices.SortedFunc(maps.Values(l.servers), func(a, b directory.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return &directory.BackendList{Revision: l.revision, Servers: list}
}

// Replace takes a whole list that was right at asOf, and returns the steps from the list before to it, at least one. Each
// step's Digest is the next one's Base.
func (l *Lister) Replace(asOf time.Time, listing *directory.BackendList) ([]Delta, Outcome) {
	if l.Known() && listing.Revision < l.revision {
		return nil, Outdated
	}
	d := Delta{Revision: listing.Revision, Base: l.digest}
	present := make(map[directory.ServerID]bool, len(listing.Servers))
	for _, b := range listing.Servers {
		present[b.ID] = true
		if known, ok := l.servers[b.ID]; !ok || !same(&known, &b) {
			d.Changed = append(d.Changed, b)
		}
	}
	for id := range l.servers {
		if !present[id] {
			d.Removed = append(d.Removed, id)
		}
	}
	slices.Sort(d.Removed)
	first := !l.Known()
	l.taken = nil
	steps := l.steps(&d)
	l.confirm(asOf, listing.Revision)
	if first || len(d.Changed)+len(d.Removed) > 0 {
		return steps, Changed
	}
	return steps, Confirmed
}

// steps carries out the change d in steps of at most MaxStep entries.
func (l *Lister) steps(d *Delta) []Delta {
	var steps []Delta
	step := Delta{Revision: d.Revision, Base: l.digest}
	end := func() {
		step.Digest = l.digest
		steps = append(steps, step)
		step = Delta{Revision: d.Revision, Base: l.digest}
	}
	for _, b := range d.Changed {
		l.put(b)
		if step.Changed = append(step.Changed, b); len(step.Changed) == MaxStep {
			end()
		}
	}
	for _, id := range d.Removed {
		l.remove(id)
		if step.Removed = append(step.Removed, id); len(step.Changed)+len(step.Removed) >= MaxStep {
			end()
		}
	}
	if len(step.Changed)+len(step.Removed) > 0 || len(steps) == 0 {
		end()
	}
	for i := range steps[:len(steps)-1] {
		steps[i].More = true
	}
	return steps
}

// Apply takes a delta to a list that was right at asOf.
func (l *Lister) Apply(asOf time.Time, d *Delta) Outcome {
	switch {
	case l.Known() && d.Revision < l.revision:
		return Outdated
	case l.Known() && d.Digest == l.digest:
		if !d.More {
			l.taken = nil
		}
		l.confirm(d.asOf(asOf), d.Revision)
		return Confirmed
	case l.Known() && d.Base != l.digest && d.Revision == l.revision && l.past(d):
		return Outdated
	case !l.Known() || d.Base != l.digest:
		return Foreign
	}
	before, digest := maps.Clone(l.servers), l.digest
	l.change(d)
	if l.digest != d.Digest {
		l.servers, l.digest = before, digest
		return Foreign
	}
	l.confirm(d.asOf(asOf), d.Revision)
	if d.More {
		l.taken = append(l.taken, d.Digest)
	} else {
		l.taken = nil
	}
	return Changed
}

// past reports whether a step of the revision held was taken before, maybe from another peer. While a change is unfinished, a step that
// was not taken has overtaken the one before it.
func (l *Lister) past(d *Delta) bool {
	return len(l.taken) == 0 || slices.Contains(l.taken, d.Digest)
}

// asOf returns the time at which the list was right after the step, the zero time when further steps follow.
func (d *Delta) asOf(t time.Time) time.Time {
	if d.More {
		return time.Time{}
	}
	return t
}

func (l *Lister) change(d *Delta) {
	for _, b := range d.Changed {
		l.put(b)
	}
	for _, id := range d.Removed {
		l.remove(id)
	}
}

// put adds or replaces an entry. The digest is the sum of those of the entries, so that a change costs only its own part.
func (l *Lister) put(b directory.BackendServer) {
	l.remove(b.ID)
	l.servers[b.ID] = b
	l.digest += digest(&b)
}

func (l *Lister) remove(id directory.ServerID) {
	if old, ok := l.servers[id]; ok {
		l.digest -= digest(&old)
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
func same(a, b *directory.BackendServer) bool {
	x, y := *a, *b
	x.Revision, x.RemainingWarmUp, y.Revision, y.RemainingWarmUp = 0, 0, 0, 0
	return x == y
}

// digest identifies an entry, but for what grows by itself.
func digest(s *directory.BackendServer) uint64 {
	b := make([]byte, 0, 96)
	b = binary.BigEndian.AppendUint64(b, uint64(s.ID))
	b = binary.BigEndian.AppendUint64(b, uint64(s.Incarnation))
	b = binary.BigEndian.AppendUint32(b, uint32(s.Slots))
	b = append(b, s.Service...)
	b = append(b, 0)
	b = append(b, s.AvailabilityZone...)
	b = append(b, 0)
	ip := s.Address.Addr().As16()
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, s.Address.Port())
	if s.Leaving {
		b = append(b, 1)
	}
	h := fnv.New64a()
	_, _ = h.Write(b) // never fails, as documented
	return ranker.Mix(h.Sum64())
}
