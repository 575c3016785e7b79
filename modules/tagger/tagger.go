// Package tagger computes the 32-bit flow tags of direct server return. A tag identifies the backend server of a flow and is
// bound to the service address at which the flow was opened. So any daemon that knows the backend servers can forward any
// packet of a flow without state, even a daemon that started after the service address was assigned to other backend servers.
// A tag is computed from the id of the backend server and the service address alone: daemons agree on it without
// communication, and it stays valid when all daemons restart.
//
// Each id has hashesPerID hashes, and the tag of a new flow is made of the first of them that no other known id has. A tag is read
// as the one known id that has its hash. If several have it, Lookup names none: daemons that know different backend servers would
// name different ones. So what a tag means does not depend on the order in which backend servers arrive and leave:
//
//   - A daemon that knows the backend server of the flow never reads another one. It reads this one, or none if it knows
//     another id with the hash.
//   - A daemon that does not know it reads none, unless it knows another id with the hash. Then it reads that one, which is the case
//     for one of 74,000 unknown backend servers if it knows 29,000, and for one of 14 million if it knows 150.
//
// With 29,000 backend servers, 0.4 pairs of them are expected to share a hash; with 150, one in 95,000 deployments has such a
// pair. Each then uses its next hash.
//
// A tag is not secret. It protects other services from misdirected packets, but not from forged ones: with 150 backend servers,
// a tag that was issued for another service address identifies one of them in 1 of 14 million cases.
package tagger

import (
	"net/netip"
	"slices"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

const (
	// hashStep is the distance between the inputs of an id's successive hashes: 2^64 divided by the golden ratio, as in splitmix64.
	// It is odd and its bits are spread evenly.
	hashStep = 0x9e3779b97f4a7c15
	// hashesPerID is the number of hashes of an id. More of them would make more ids share one.
	hashesPerID = 2
)

// Table maps flow tags to ids of backend servers and back. It is not safe for concurrent use.
type Table struct {
	hash    func(id uint64, attempt int) uint32 // Hash except in tests
	entries map[uint64]*entry
	owners  map[uint32]uint64   // by hash that one id has
	shared  map[uint32][]uint64 // by hash that several ids have
	updates uint64
}

// entry is what a Table knows about an id.
type entry struct {
	hash     uint32 // of the tags of new flows
	assigned bool   // hash is set
	update   uint64 // the newest one that contained the id
}

// New returns the table of the ids. Duplicate ids are ignored.
func New(ids []uint64) *Table { return build(ids, Hash) }

// Hash returns one of the successive hashes of an id. The attempt is 0 for the first hash.
func Hash(id uint64, attempt int) uint32 { return uint32(ranker.Mix(id + uint64(attempt+1)*hashStep)) }

// build returns the table of the ids for a hash function.
func build(ids []uint64, hash func(id uint64, attempt int) uint32) *Table {
	t := &Table{hash: hash, entries: make(map[uint64]*entry, len(ids)), owners: make(map[uint32]uint64, hashesPerID*len(ids)), shared: map[uint32][]uint64{}}
	t.Set(ids)
	return t
}

// Set replaces the ids. Its cost is that of a look-up for each id, and of the changes.
func (t *Table) Set(ids []uint64) {
	t.updates++
	kept := 0
	for _, id := range ids {
		e := t.entries[id]
		if e == nil {
			e = &entry{}
			t.entries[id] = e
			t.add(id)
		}
		if e.update != t.updates {
			e.update = t.updates
			kept++
		}
	}
	if kept == len(t.entries) {
		return
	}
	for id, e := range t.entries {
		if e.update != t.updates {
			delete(t.entries, id)
			t.remove(id)
		}
	}
}

func (t *Table) add(id uint64) {
	for attempt := range hashesPerID {
		h := t.hash(id, attempt)
		if ids, ok := t.shared[h]; ok {
			if !slices.Contains(ids, id) {
				t.shared[h] = append(ids, id)
			}
			continue
		}
		if owner, ok := t.owners[h]; ok && owner != id {
			delete(t.owners, h)
			t.shared[h] = []uint64{owner, id}
			continue
		}
		t.owners[h] = id
	}
}

func (t *Table) remove(id uint64) {
	for attempt := range hashesPerID {
		h := t.hash(id, attempt)
		if t.owns(id, h) {
			delete(t.owners, h)
			continue
		}
		ids := slices.DeleteFunc(t.shared[h], func(other uint64) bool { return other == id })
		switch len(ids) {
		case 0: // two hashes of the id are equal
		case 1:
			delete(t.shared, h)
			t.owners[h] = ids[0]
		default:
			t.shared[h] = ids
		}
	}
}

// Lookup returns the id of the only backend server of which the tag of a flow to the service address can be, and whether there is
// one. It returns false as well if there are several; see IsShared.
func (t *Table) Lookup(tag uint32, service netip.AddrPort) (uint64, bool) {
	id, ok := t.owners[tag^addressMask(service)]
	return id, ok
}

// IsShared reports whether the tag of a flow to the service address can be of several backend servers.
func (t *Table) IsShared(tag uint32, service netip.AddrPort) bool {
	_, shared := t.shared[tag^addressMask(service)]
	return shared
}

// Tag returns the tag of a new flow to the service address that is placed on the backend server with the id. It returns false if
// the id is not in the table, or shares all its hashes with others. The tag stays the same while no other backend server has its hash.
func (t *Table) Tag(id uint64, service netip.AddrPort) (uint32, bool) {
	e := t.entries[id]
	if e == nil || !t.assign(id, e) {
		return 0, false
	}
	return e.hash ^ addressMask(service), true
}

// assign makes the hash of an entry one that no other id has, and reports whether there is one.
func (t *Table) assign(id uint64, e *entry) bool {
	if e.assigned && t.owns(id, e.hash) {
		return true
	}
	for attempt := range hashesPerID {
		if h := t.hash(id, attempt); t.owns(id, h) {
			e.hash, e.assigned = h, true
			return true
		}
	}
	return false
}

func (t *Table) owns(id uint64, hash uint32) bool {
	owner, ok := t.owners[hash]
	return ok && owner == id
}

// Shared returns the ids that share a hash with another one, sorted, and those among them that have no tag for new flows.
func (t *Table) Shared() (ids, untagged []uint64) {
	for _, list := range t.shared {
		ids = append(ids, list...)
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	for _, id := range ids {
		if !t.assign(id, t.entries[id]) {
			untagged = append(untagged, id)
		}
	}
	return ids, untagged
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
