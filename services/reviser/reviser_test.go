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

func validate(_ uint64, content []byte) error {
	if bytes.HasPrefix(content, []byte("bad")) {
		return errors.New("unknown key: remove it")
	}
	return nil
}

func ExampleReviser_Decide() {
	r := reviser.New(reviser.Config{Document: "settings"})
	for _, o := range []reviser.Offer{{4, []byte("a"), "platform"}, {3, []byte("b"), "peer"}, {4, []byte("c"), "peer"}, {5, []byte("bad"), "peer"}} {
		d := r.Decide(now, o, validate)
		fmt.Println(d.Revision, d.Outcome, d.Cause, d.RevisionInForce)
	}
	// Output:
	// 4 applied higher-revision 4
	// 3 ignored lower-revision 4
	// 4 rejected two-contents-under-one-revision 4
	// 5 rejected invalid 4
}

// TestRevisionNeverDecreases guards against putting in force a lower revision, an invalid content or a second content
// under the same revision, and against updates for peers that do not produce the content in force.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := reviser.New(reviser.Config{Document: "settings", MaxDeltas: 4, MaxDeltaBytes: 600})
		applied := map[uint64][]byte{}
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			revisionBefore, contentBefore := r.Revision(), r.Content()
			o := reviser.Offer{
				Revision: rapid.Uint64Range(0, 20).Draw(t, "revision"),
				Content: fmt.Appendf(nil, "%s%s\n%d\n", rapid.SampledFrom([]string{"", "", "bad"}).Draw(t, "kind"),
					bytes.Repeat([]byte("line\n"), 40), rapid.IntRange(0, 3).Draw(t, "content")),
			}
			d := r.Decide(now, o, validate)
			if r.Revision() < revisionBefore || d.RevisionInForce != r.Revision() {
				t.Fatalf("revision changed from %d to %d: %+v", revisionBefore, r.Revision(), d)
			}
			wantApplied := o.Revision > revisionBefore && validate(0, o.Content) == nil
			if wantApplied != (d.Outcome == reviser.Applied) || !wantApplied && !bytes.Equal(contentBefore, r.Content()) {
				t.Fatalf("offer of revision %d with revision %d in force: %+v", o.Revision, revisionBefore, d)
			}
			if wantApplied {
				applied[o.Revision] = o.Content
			}
			if o.Revision == revisionBefore && revisionBefore > 0 && !bytes.Equal(o.Content, contentBefore) && d.Outcome == reviser.Applied {
				t.Fatalf("second content under revision %d was applied", revisionBefore)
			}
		}
		for revision, content := range applied {
			u := r.UpdateSince(revision)
			if u.Unchanged != (revision == r.Revision()) {
				t.Fatalf("wrong Unchanged in the update for a peer at revision %d with revision %d in force", revision, r.Revision())
			}
			if len(u.Deltas) > 0 {
				result, err := reviser.ApplyDeltas(content, u, 1000)
				if err != nil || !bytes.Equal(result, r.Content()) {
					t.Fatalf("deltas from revision %d: %v", revision, err)
				}
			}
		}
	})
}

// TestRejectionReportedOnce guards against an audit trail that fills with repeated offers of one rejected content, and
// against an unreported conflict that only the versions in heartbeats show.
func TestRejectionReportedOnce(t *testing.T) {
	g := NewWithT(t)
	r := reviser.New(reviser.Config{Document: "settings"})
	r.Decide(now, reviser.Offer{Revision: 4, Content: []byte("a")}, validate)
	for i, want := range []reviser.Outcome{reviser.Rejected, reviser.Ignored} {
		g.Expect(r.Decide(now, reviser.Offer{Revision: 5, Content: []byte("bad")}, validate).Outcome).To(Equal(want), "%d", i)
		g.Expect(r.Decide(now, reviser.Offer{Revision: 4, Content: []byte("b")}, validate).Outcome).To(Equal(want), "%d", i)
		_, conflict := r.ComparePeerVersion(now, "peer", 4, 99)
		g.Expect(conflict).To(Equal(want == reviser.Rejected))
	}
	_, conflict := r.ComparePeerVersion(now, "peer", 4, reviser.DigestPrefix(r.Digest()))
	g.Expect(conflict).To(BeFalse())
	d := r.Decide(now, reviser.Offer{Revision: 5, Content: []byte("good")}, validate)
	g.Expect(d.Outcome).To(Equal(reviser.Applied))
	g.Expect(d.Detail).NotTo(BeEmpty())
}
