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
)

// Delta is the difference between two lists.
type Delta struct {
	// Revision is the platform's revision when the newer list was read.
	Revision uint64
	// Base and Digest are the digests of the older and of the newer list.
	Base, Digest uint64
	Changed      []directory.BackendServer
	Removed      []directory.ServerID
}

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
}

// New returns a Lister without a list.
func New() *Lister { return &Lister{servers: map[directory.ServerID]directory.BackendServer{}} }

// Known reports whether there is a list.
func (l *Lister) Known() bool { return !l.asOf.IsZero() }

// AsOf returns a time at which the list was right, the zero time when there is none.
func (l *Lister) AsOf() time.Time { return l.asOf }

// Revision returns the platform's revision when the list was read.
func (l *Lister) Revision() uint64 { return l.revision }

// Digest identifies the content of the list.
func (l *Lister) Digest() uint64 { return l.digest }

// Listing returns the list, sorted by id.
func (l *Lister) Listing() *directory.Listing {
	list := slices.SortedFunc(maps.Values(l.servers), func(a, b directory.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return &directory.Listing{Revision: l.revision, Servers: list}
}

// Replace takes a whole list that was right at asOf, and returns the difference to the list before.
func (l *Lister) Replace(asOf time.Time, listing *directory.Listing) (Delta, Outcome) {
	if l.Known() && listing.Revision < l.revision {
		return Delta{}, Outdated
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
	l.change(&d)
	l.confirm(asOf, listing.Revision)
	d.Digest = l.digest
	if first || len(d.Changed)+len(d.Removed) > 0 {
		return d, Changed
	}
	return d, Confirmed
}

// Apply takes a delta to a list that was right at asOf.
func (l *Lister) Apply(asOf time.Time, d *Delta) Outcome {
	switch {
	case l.Known() && d.Revision < l.revision:
		return Outdated
	case l.Known() && d.Digest == l.digest:
		l.confirm(asOf, d.Revision)
		return Confirmed
	case !l.Known() || d.Base != l.digest:
		return Foreign
	}
	before := maps.Clone(l.servers)
	l.change(d)
	if l.digest != d.Digest {
		l.servers = before
		l.digest = digest(l.servers)
		return Foreign
	}
	l.confirm(asOf, d.Revision)
	return Changed
}

func (l *Lister) change(d *Delta) {
	for _, b := range d.Changed {
		l.servers[b.ID] = b
	}
	for _, id := range d.Removed {
		delete(l.servers, id)
	}
	l.digest = digest(l.servers)
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
	x.Revision, x.WarmUp, y.Revision, y.WarmUp = 0, 0, 0, 0
	return x == y
}

// digest does not depend on the order of the entries.
func digest(servers map[directory.ServerID]directory.BackendServer) uint64 {
	var sum uint64
	var b []byte
	for _, s := range servers {
		b = binary.BigEndian.AppendUint64(b[:0], uint64(s.ID))
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
		sum += h.Sum64()
	}
	return sum
}
