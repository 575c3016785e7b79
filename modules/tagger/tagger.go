// Package tagger makes the 32-bit flow tags of direct-return forwarding. A tag names a backend server and is bound to the
// service address that its flow was opened at, so that any daemon that knows the backend servers can forward any packet of
// a flow without state, also one that started after the service address was given to other backend servers. It depends on
// nothing but the id and the address: daemons agree on it without talking to each other, and it survives all of them.
//
// Two ids may have the same hash. The lower id then keeps it and the others get the next hash of their chain that is
// free, in the order of their ids. Daemons with the same backend servers assign the same hashes. A daemon that lacks one of
// the colliding ids may assign another one; with 150 backend servers two collide in 1 of 400,000 deployments.
//
// A tag is no secret. It keeps packets from other services, against mistakes and not against forgery: with 150 backend
// servers, a tag that was issued for another address names one of them in 1 of 29 million cases.
package tagger

import (
	"net/netip"
	"slices"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

// chainStep separates the hashes of an id's chain: an odd number with bits in all places.
const chainStep = 0x9e3779b97f4a7c15

// Table maps tags to ids and back. It is immutable.
type Table struct {
	ids    map[uint32]uint64
	hashes map[uint64]uint32
}

// New returns the table of the ids. Duplicates count once.
func New(ids []uint64) *Table { return build(ids, Hash) }

// Hash returns one hash of an id's chain; attempt is 0 for the first.
func Hash(id uint64, attempt int) uint32 { return uint32(ranker.Mix(id + uint64(attempt+1)*chainStep)) }

func build(ids []uint64, hash func(id uint64, attempt int) uint32) *Table {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	t := &Table{ids: make(map[uint32]uint64, len(sorted)), hashes: make(map[uint64]uint32, len(sorted))}
	// First hashes go first: an id that collides with nothing keeps its hash whatever happens to the others.
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

func (t *Table) claim(id uint64, hash uint32) bool {
	if _, taken := t.ids[hash]; taken {
		return false
	}
	t.ids[hash], t.hashes[id] = id, hash
	return true
}

// Lookup returns the id that a tag of a flow to the service address names, and whether it names one.
func (t *Table) Lookup(tag uint32, service netip.AddrPort) (uint64, bool) {
	id, ok := t.ids[tag^mask(service)]
	return id, ok
}

// Tag returns the tag for a flow to the service address at an id of the table, and whether it is in the table.
func (t *Table) Tag(id uint64, service netip.AddrPort) (uint32, bool) {
	hash, ok := t.hashes[id]
	return hash ^ mask(service), ok
}

// mask is the hash of a service address.
func mask(service netip.AddrPort) uint32 {
	ip := service.Addr().As16()
	sum := uint64(service.Port())
	for i := 0; i < len(ip); i += 8 {
		var word uint64
		for _, b := range ip[i : i+8] {
			word = word<<8 | uint64(b)
		}
		sum = ranker.Mix(sum ^ word)
	}
	return uint32(sum)
}
