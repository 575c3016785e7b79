package relayer

import (
	"testing"

	"github.com/bluebelldyke/bluebelldyke/modules/differ"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// FuzzFetchResult guards against a panic on a malformed body that a peer has sealed, and against accepting content that does not
// match its digest.
func FuzzFetchResult(f *testing.F) {
	aead, err := newAEAD([32]byte{1})
	if err != nil {
		f.Fatal(err)
	}
	base := []byte("a\nb\nc\n")
	seed := func(u reviser.Update) {
		var cache sealedCache
		result, err := cache.newResult(aead, SettingsDocument, u)
		if err != nil {
			f.Fatal(err)
		}
		plain, err := aead.Open(nil, nil, result.Sealed, associatedData(SettingsDocument, result.Revision))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(plain)
	}
	changed := []byte("a\nB\nc\n")
	seed(reviser.Update{Revision: 2, Digest: differ.DigestOf(changed), FullContent: changed})
	seed(reviser.Update{Revision: 2, Digest: differ.DigestOf(changed), Deltas: []differ.Delta{differ.Compute(base, changed)}})
	f.Fuzz(func(t *testing.T, plain []byte) {
		result := fetchResult{Revision: 2, Sealed: aead.Seal(nil, nil, plain, associatedData(SettingsDocument, 2))}
		u, err := result.update(aead, SettingsDocument)
		if err != nil {
			return
		}
		if len(u.Deltas) > 0 {
			if u.FullContent, err = reviser.ApplyDeltas(base, u, 1000); err != nil {
				return
			}
		}
		if differ.DigestOf(u.FullContent) != u.Digest {
			t.Fatal("content does not match its digest")
		}
	})
}
