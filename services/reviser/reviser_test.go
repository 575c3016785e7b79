package reviser_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

var now = time.UnixMilli(1_800_000_000_000)

func check(_ uint64, content []byte) error {
	if bytes.HasPrefix(content, []byte("bad")) {
		return errors.New("unknown key: remove it")
	}
	return nil
}

func ExampleReviser_Decide() {
	r := reviser.New(reviser.Config{Document: "settings"})
	for _, o := range []reviser.Offer{{4, []byte("a"), "platform"}, {3, []byte("b"), "peer"}, {4, []byte("c"), "peer"}, {5, []byte("bad"), "peer"}} {
		d := r.Decide(now, o, check)
		fmt.Println(d.Revision, d.Outcome, d.Cause, d.RevisionInForce)
	}
	// Output:
	// 4 applied higher-revision 4
	// 3 ignored lower-revision 4
	// 4 rejected two-contents-under-one-revision 4
	// 5 rejected invalid 4
}

// TestNeverLower guards against a lower, invalid or second content in force, and against updates for peers that do not
// lead to the content in force.
func TestNeverLower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := reviser.New(reviser.Config{Document: "settings", MaxDeltas: 4, MaxDeltaBytes: 600})
		held := map[uint64][]byte{}
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			before, content := r.Revision(), r.Content()
			o := reviser.Offer{
				Revision: rapid.Uint64Range(0, 20).Draw(t, "revision"),
				Content: fmt.Appendf(nil, "%s%s\n%d\n", rapid.SampledFrom([]string{"", "", "bad"}).Draw(t, "kind"),
					bytes.Repeat([]byte("line\n"), 40), rapid.IntRange(0, 3).Draw(t, "content")),
			}
			d := r.Decide(now, o, check)
			if r.Revision() < before || d.RevisionInForce != r.Revision() {
				t.Fatalf("revision went from %d to %d: %+v", before, r.Revision(), d)
			}
			applied := o.Revision > before && check(0, o.Content) == nil
			if applied != (d.Outcome == reviser.Applied) || !applied && !bytes.Equal(content, r.Content()) {
				t.Fatalf("offer %d at %d: %+v", o.Revision, before, d)
			}
			if applied {
				held[o.Revision] = o.Content
			}
			if o.Revision == before && before > 0 && !bytes.Equal(o.Content, content) && d.Outcome == reviser.Applied {
				t.Fatalf("second content under %d applied", before)
			}
		}
		for revision, content := range held {
			u := r.UpdateSince(revision)
			if u.Unchanged != (revision == r.Revision()) {
				t.Fatalf("unchanged for %d at %d", revision, r.Revision())
			}
			if len(u.Deltas) > 0 {
				result, err := reviser.ApplyDeltas(content, u, 1000)
				if err != nil || !bytes.Equal(result, r.Content()) {
					t.Fatalf("from %d: %v", revision, err)
				}
			}
		}
	})
}

// TestReportedOnce guards against an audit trail that fills with one refused content, and against a conflict that only
// heartbeats show and nobody reports.
func TestReportedOnce(t *testing.T) {
	g := NewWithT(t)
	r := reviser.New(reviser.Config{Document: "settings"})
	r.Decide(now, reviser.Offer{Revision: 4, Content: []byte("a")}, check)
	for i, want := range []reviser.Outcome{reviser.Rejected, reviser.Ignored} {
		g.Expect(r.Decide(now, reviser.Offer{Revision: 5, Content: []byte("bad")}, check).Outcome).To(Equal(want), "%d", i)
		g.Expect(r.Decide(now, reviser.Offer{Revision: 4, Content: []byte("b")}, check).Outcome).To(Equal(want), "%d", i)
		_, conflict := r.ComparePeerVersion(now, "peer", 4, 99)
		g.Expect(conflict).To(Equal(want == reviser.Rejected))
	}
	_, conflict := r.ComparePeerVersion(now, "peer", 4, reviser.DigestPrefix(r.Digest()))
	g.Expect(conflict).To(BeFalse())
	d := r.Decide(now, reviser.Offer{Revision: 5, Content: []byte("good")}, check)
	g.Expect(d.Outcome).To(Equal(reviser.Applied))
	g.Expect(d.Detail).NotTo(BeEmpty())
}
