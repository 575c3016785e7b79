// Package ranker ranks addresses for a key by rendezvous hashing: daemons with the same members choose the same ones
// for a duty without agreement, and a member that joins or leaves moves only its own duties.
package ranker

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
)

// Top returns the n highest ranked of members for key, highest first.
func Top(key string, n int, members []netip.AddrPort) []netip.AddrPort {
	type ranked struct {
		address netip.AddrPort
		score   uint64
	}
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		list = append(list, ranked{m, Score(key, m)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.address.Compare(b.address))
	})
	top := make([]netip.AddrPort, 0, n)
	for _, r := range list[:min(n, len(list))] {
		top = append(top, r.address)
	}
	return top
}

// Parameters of FNV-1a with 64 bits. hash/fnv allocates for each sum, which a daemon takes for each member of its zone.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	// maxBinary is the length of an IPv6 address with a port in binary; a zone name is longer and allocates.
	maxBinary = 18
)

// Score returns the rank of one address for key.
func Score(key string, address netip.AddrPort) uint64 {
	sum := uint64(fnvOffset)
	for i := range len(key) {
		sum = (sum ^ uint64(key[i])) * fnvPrime
	}
	var buffer [maxBinary]byte
	b, err := address.AppendBinary(buffer[:0])
	if err == nil {
		for _, c := range b {
			sum = (sum ^ uint64(c)) * fnvPrime
		}
	}
	// FNV-1a spreads the last bytes poorly.
	return Mix(sum)
}

// Hash returns the hash of an address for PairScore.
func Hash(address netip.AddrPort) uint64 { return Score("", address) }

// PairScore returns the rank of an address for another one as a key, both given by their Hash. It costs a few nanoseconds,
// for the duties of a whole fleet.
func PairScore(key, address uint64) uint64 { return Mix(key ^ bits.RotateLeft64(address, 32)) }

// Mix is the finalizer of splitmix64, which spreads each bit over all others.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
