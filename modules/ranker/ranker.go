// Package ranker ranks addresses for a key by rendezvous hashing (highest random weight). Daemons with the same members choose
// the same ones for a duty without communication, and a member that joins or leaves moves only its own duties.
package ranker

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
)

// Top returns the n members with the highest scores for the key, highest first.
func Top(key string, n int, members []netip.AddrPort) []netip.AddrPort {
	type scored struct {
		address netip.AddrPort
		score   uint64
	}
	list := make([]scored, 0, len(members))
	for _, m := range members {
		list = append(list, scored{m, Score(key, m)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.address.Compare(b.address))
	})
	top := make([]netip.AddrPort, 0, n)
	for _, s := range list[:min(n, len(list))] {
		top = append(top, s.address)
	}
	return top
}

// Parameters of the 64-bit FNV-1a hash. hash/fnv is not used because it allocates for each hash, and a daemon computes one for
// each member of its zone.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	// maxBinarySize is the length of an IPv6 address with a port in binary. An address with an IPv6 zone is longer, so that its
	// buffer is allocated.
	maxBinarySize = 18
)

// Score returns the score of an address for the key. The address with the highest score ranks first.
func Score(key string, address netip.AddrPort) uint64 {
	sum := uint64(fnvOffset)
	for i := range len(key) {
		sum = (sum ^ uint64(key[i])) * fnvPrime
	}
	var buffer [maxBinarySize]byte
	b, err := address.AppendBinary(buffer[:0])
	if err == nil {
		for _, c := range b {
			sum = (sum ^ uint64(c)) * fnvPrime
		}
	}
	// FNV-1a spreads the last bytes of its input poorly over the bits of the hash.
	return Mix(sum)
}

// Hash returns the hash of an address, which is the input of PairScore.
func Hash(address netip.AddrPort) uint64 { return Score("", address) }

// PairScore returns the score of an address for another address as the key. Both are passed as their Hash. It takes a few
// nanoseconds, so that the duties of a whole fleet can be assigned.
func PairScore(key, address uint64) uint64 { return Mix(key ^ bits.RotateLeft64(address, 32)) }

// Mix is the finalizer of splitmix64. Each bit of x affects all bits of the result.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
