// Package tagger makes the 32-bit flow tags of direct-return forwarding. A tag names a backend server, so that any daemon
// that knows the backend servers can forward any packet of a flow without state. The tag of a backend server depends on
// nothing but its id: daemons agree on it without talking to each other, and it survives all of them.
//
// Two ids may have the same hash. The lower id then keeps the hash as its tag and the others get the next hash of their
// chain that is free, in the order of their ids. Daemons with the same backend servers assign the same tags. A daemon that
// lacks one of the colliding ids may assign another tag to the others; with 150 backend servers two collide in 1 of 400,000
// deployments.
package tagger

import (
	"slices"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

// None is never the tag of a backend server: callers send it before they know one.
const None uint32 = 0

// Table maps tags to ids and back. It is immutable.
type Table struct {
	ids  map[uint32]uint64
	tags map[uint64]uint32
}

// New returns the table of the ids. Duplicates count once.
func New(ids []uint64) *Table { return build(ids, Hash) }

// Hash returns the tag that the id has when it collides with no other; attempt is 0 for the first hash of its chain.
func Hash(id uint64, attempt int) uint32 {
	return uint32(ranker.Mix(id + uint64(attempt)*0x9e3779b97f4a7c15))
}

func build(ids []uint64, hash func(id uint64, attempt int) uint32) *Table {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	t := &Table{ids: make(map[uint32]uint64, len(sorted)), tags: make(map[uint64]uint32, len(sorted))}
	// First hashes go first: an id that collides with nothing keeps its tag whatever happens to the others.
	var colliding []uint64
	for _, id := range sorted {
		if !t.claim(id, hash(id, 0)) {
			colliding = append(colliding, id)
		}
	}
	for _, id := range colliding {
		for attempt := 1; !t.claim(id, hash(id, attempt)); attempt++ {
		}
	}
	return t
}

func (t *Table) claim(id uint64, tag uint32) bool {
	if _, taken := t.ids[tag]; taken || tag == None {
		return false
	}
	t.ids[tag], t.tags[id] = id, tag
	return true
}

// Open returns the id that the tag names, and whether it names one.
func (t *Table) Open(tag uint32) (uint64, bool) {
	id, ok := t.ids[tag]
	return id, ok
}

// Seal returns the tag of an id of the table, None for others.
func (t *Table) Seal(id uint64) uint32 { return t.tags[id] }
