package expirer_test

import (
	"container/heap"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/modules/expirer"
)

type timer struct {
	due      int64
	position int32
}

func (t *timer) Due() int64          { return t.due }
func (t *timer) SetPosition(i int32) { t.position = i }

func ExampleQueue() {
	var q expirer.Queue[*timer]
	heap.Push(&q, &timer{due: 5})
	heap.Push(&q, &timer{due: 3})
	fmt.Println(q[0].due, len(q))
	// Output: 3 2
}

// TestPositions guards against wrong positions, with which heap.Fix or heap.Remove would act on another item.
func TestPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q expirer.Queue[*timer]
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch i := rapid.IntRange(0, len(q)).Draw(t, "item"); {
			case i == len(q):
				heap.Push(&q, &timer{due: rapid.Int64Range(0, 9).Draw(t, "due")})
			case rapid.Bool().Draw(t, "remove"):
				heap.Remove(&q, int(q[i].position))
			default:
				q[i].due = rapid.Int64Range(0, 9).Draw(t, "due")
				heap.Fix(&q, int(q[i].position))
			}
			for i, item := range q {
				if int(item.position) != i || item.due < q[0].due {
					t.Fatalf("item %d has position %d and is due at %d, the first one at %d", i, item.position, item.due, q[0].due)
				}
			}
		}
	})
}
