package auditor_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/services/auditor"
)

func Example() {
	a := auditor.New(auditor.Config{Capacity: 2})
	for revision := range uint64(3) {
		a.Record(auditor.Entry{Document: "settings", Revision: revision, Source: "platform", Outcome: auditor.Applied})
	}
	for _, e := range a.NewestEntries(10) {
		fmt.Println(e.Document, e.Revision, e.Outcome)
	}
	// Output:
	// settings 2 applied
	// settings 1 applied
}

// TestNewestFirst guards against an audit trail that grows without bound, or that returns entries in the wrong order when the
// ring buffer wraps around.
func TestNewestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		recorded := rapid.IntRange(0, 60).Draw(t, "recorded")
		n := rapid.IntRange(-1, 80).Draw(t, "n")
		a := auditor.New(auditor.Config{Capacity: capacity})
		for i := range recorded {
			a.Record(auditor.Entry{Revision: uint64(i)})
		}
		got := a.NewestEntries(n)
		if want := max(0, min(n, capacity, recorded)); len(got) != want {
			t.Fatalf("got %d entries, want %d", len(got), want)
		}
		for i, e := range got {
			if e.Revision != uint64(recorded-1-i) {
				t.Fatalf("entry %d has revision %d", i, e.Revision)
			}
		}
	})
}

// TestConcurrentUse guards against data races between the relayer, which records entries, and operators' queries. It needs the
// race detector (go test -race).
func TestConcurrentUse(t *testing.T) {
	g := NewWithT(t)
	a := auditor.New(auditor.Config{Capacity: 8})
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			for i := range 100 {
				a.Record(auditor.Entry{Time: time.Now(), Revision: uint64(i)})
				a.NewestEntries(8)
			}
		})
	}
	wait.Wait()
	g.Expect(a.Total()).To(Equal(uint64(400)))
	g.Expect(a.NewestEntries(100)).To(HaveLen(8))
}
