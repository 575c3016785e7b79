// Package tagger computes the 32-bit flow tags of direct server return. A tag identifies the backend server of a flow and is
// bound to the service address at which the flow was opened. So any daemon that knows the backend servers can forward any
// packet of a flow without state, even a daemon that started after the service address was assigned to other backend servers.
// A tag is computed from the id of the backend server and the service address alone: daemons agree on it without
// communication, and it stays valid when all daemons restart.
//
// Two ids may have the same hash. Then the lower id keeps it, and each of the others, in ascending order, gets the first
// unused hash of its sequence of further hashes. Daemons with the same backend servers assign the same hashes. A daemon that
// does not know one of the colliding ids may assign another hash; with 150 backend servers, two collide in 1 of 400,000
// deployments.
//
// A tag is not secret. It protects other services from misdirected packets, but not from forged ones: with 150 backend servers,
// a tag that was issued for another service address identifies one of them in 1 of 29 million cases.
package tagger

import (
	"net/netip"
	"slices"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

// hashStep is the distance between the inputs of an id's successive hashes: 2^64 divided by the golden ratio, as in splitmix64.
// It is odd and its bits are spread evenly.
const hashStep = 0x9e3779b97f4a7c15

// Table maps flow tags to ids of backend servers and back. It is immutable.
type Table struct {
	ids    map[uint32]uint64 // by hash
	hashes map[uint64]uint32 // by id
}

// New returns the table of the ids. Duplicate ids are ignored.
func New(ids []uint64) *Table { return build(ids, Hash) }

// Hash returns one of the successive hashes of an id. The attempt is 0 for the first hash.
func Hash(id uint64, attempt int) uint32 { return uint32(ranker.Mix(id + uint64(attempt+1)*hashStep)) }

// build returns the table of the ids for a hash function, which is Hash except in tests.
func build(ids []uint64, hash func(id uint64, attempt int) uint32) *Table {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	t := &Table{ids: make(map[uint32]uint64, len(sorted)), hashes: make(map[uint64]uint32, len(sorted))}
	// First hashes are assigned before all others, so that an id without a collision has its first hash whichever ids collide.
	var colliding []uint64
	for _, id := range sorted {
		if !t.assign(id, hash(id, 0)) {
			colliding = append(colliding, id)
		}
	}
	for _, id := range colliding {
		for attempt := 1; !t.assign(id, hash(id, attempt)); attempt++ {
		}
	}
	return t
}

// assign assigns the hash to the id. It returns false if another id has the hash.
func (t *Table) assign(id uint64, hash uint32) bool {
	if _, used := t.ids[hash]; used {
		return false
	}
	t.ids[hash], t.hashes[id] = id, hash
	return true
}

// Lookup returns the id of the backend server that the tag of a flow to the service address identifies, and whether there is
// one.
func (t *Table) Lookup(tag uint32, service netip.AddrPort) (uint64, bool) {
	id, ok := t.ids[tag^addressMask(service)]
	return id, ok
}

// Tag returns the tag of a flow to the service address that is placed on the backend server with the id, and whether the id is
// in the table.
func (t *Table) Tag(id uint64, service netip.AddrPort) (uint32, bool) {
	hash, ok := t.hashes[id]
	return hash ^ addressMask(service), ok
}

// addressMask returns the hash of a service address, which binds a tag to the address.
func addressMask(service netip.AddrPort) uint32 {
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
