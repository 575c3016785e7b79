// Package mutator changes CBOR documents at random for tests: it puts values at the limits of the types, of other types and of odd shapes in
// the place of others. Random changes of the bytes mostly end in documents that no decoder accepts.
package mutator

import (
	"math"
	"math/big"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// odd holds values at the limits of what decoders meet.
var odd = []any{
	0, 1, 2, -1, 255, 256, 1 << 15, 1 << 16, 1 << 31, uint32(math.MaxUint32), uint64(1) << 32, uint64(1) << 53, int64(math.MaxInt64), int64(math.MinInt64), uint64(math.MaxUint64),
	new(big.Int).Lsh(big.NewInt(1), 64), new(big.Int).Lsh(big.NewInt(-1), 200), 0.3, -0.5, 1e300, -1e300, math.NaN(), math.Inf(1), math.Inf(-1),
	nil, true, "", "a", "\xff", "-", strings.Repeat("z", 70), strings.Repeat("z", 3000), "0.0.0.0:1", "[::ffff:10.0.0.1]:80", "[fd00::1%eth0]:80", "10.0.0.1:99999", "/0/", "/65536/",
	[]byte{}, []byte{10, 0, 0, 1}, make([]byte, 16), append(make([]byte, 10), 255, 255, 10, 0, 0, 1), make([]byte, 17), make([]byte, 1000),
	[]any{}, make([]any, 300), map[any]any{}, nested(7), nested(15), nested(40),
}

func nested(depth int) any {
	var v any = 1
	for range depth {
		v = []any{v}
	}
	return v
}

// Seeds returns the number of seeds that a test uses: ODD_SEEDS, or 400.
func Seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("ODD_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 400
}

// Mutate returns the encoded document with up to three changes.
func Mutate(t testing.TB, random *rand.Rand, document []byte) []byte {
	var v any
	if err := cbor.Unmarshal(document, &v); err != nil {
		t.Fatal(err)
	}
	for range random.IntN(4) {
		at := random.IntN(count(v))
		v = change(random, v, &at)
	}
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// count returns the number of values in v.
func count(v any) int {
	n := 1
	switch v := v.(type) {
	case []any:
		for _, e := range v {
			n += count(e)
		}
	case map[any]any:
		for _, e := range v {
			n += count(e)
		}
	}
	return n
}

// change changes the value with the number at, which it decrements for each value before.
func change(random *rand.Rand, v any, at *int) any {
	if *at == 0 {
		*at = -1
		if list, ok := v.([]any); ok && len(list) > 0 && random.IntN(3) > 0 {
			i := random.IntN(len(list))
			if random.IntN(2) == 0 {
				return append(list[:i:i], list[i+1:]...)
			}
			return append(list, list[i])
		}
		return odd[random.IntN(len(odd))]
	}
	*at--
	switch v := v.(type) {
	case []any:
		changed := make([]any, len(v))
		for i, e := range v {
			if changed[i] = e; *at >= 0 {
				changed[i] = change(random, e, at)
			}
		}
		return changed
	case map[any]any:
		changed := make(map[any]any, len(v))
		for k, e := range v {
			if changed[k] = e; *at >= 0 {
				changed[k] = change(random, e, at)
			}
		}
		return changed
	}
	return v
}
