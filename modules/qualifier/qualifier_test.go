package qualifier_test

import (
	"fmt"
	"testing"

	"github.com/bluebelldyke/bluebelldyke/modules/qualifier"
)

func ExampleQualify() {
	lost, _ := qualifier.Qualify(1, 57)
	again, _ := qualifier.Qualify(2, 53)
	fmt.Println(lost, again > lost)
	fmt.Println(qualifier.Split(again))
	// Output:
	// 57 true
	// 2 53
}

// TestRange guards against a revision that overflows into the era.
func TestRange(t *testing.T) {
	for _, c := range [][2]uint64{{1 << 24, 1}, {1, 1 << 40}} {
		if q, err := qualifier.Qualify(c[0], c[1]); !qualifier.IsErrOutOfRange(err) {
			t.Errorf("era %d, revision %d: %d, %v", c[0], c[1], q, err)
		}
	}
}
