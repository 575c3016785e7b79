package relayer

import (
	"testing"

	"github.com/bluebelldyke/bluebelldyke/modules/differ"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// FuzzAnswer guards against a panic, or a result other than the promised one, on any body that a peer seals.
func FuzzAnswer(f *testing.F) {
	aead, err := newSealing([32]byte{1})
	if err != nil {
		f.Fatal(err)
	}
	base := []byte("a\nb\nc\n")
	seed := func(u reviser.Update) {
		var p packed
		a, err := p.answer(aead, SettingsDocument, u)
		if err != nil {
			f.Fatal(err)
		}
		plain, err := aead.Open(nil, nil, a.Sealed, associated(SettingsDocument, a.Revision))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(plain)
	}
	after := []byte("a\nB\nc\n")
	seed(reviser.Update{Revision: 2, Digest: differ.DigestOf(after), FullContent: after})
	seed(reviser.Update{Revision: 2, Digest: differ.DigestOf(after), Deltas: []differ.Delta{differ.Compute(base, after)}})
	f.Fuzz(func(t *testing.T, plain []byte) {
		a := answer{Revision: 2, Sealed: aead.Seal(nil, nil, plain, associated(SettingsDocument, 2))}
		u, err := a.update(aead, SettingsDocument)
		if err != nil {
			return
		}
		if len(u.Deltas) > 0 {
			if u.FullContent, err = reviser.ApplyDeltas(base, u, 1000); err != nil {
				return
			}
		}
		if differ.DigestOf(u.FullContent) != u.Digest {
			t.Fatal("content without the promised digest")
		}
	})
}
