package relayer

import (
	"bytes"
	"compress/gzip"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/modules/differ"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// notifyParams are the params of document/notify.
type notifyParams struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	From     string `json:"from"`
}

// fetchParams are the params of document/fetch.
type fetchParams struct {
	Name  string `json:"name"`
	After uint64 `json:"after"`
}

// fetchResult is the result of document/fetch. Sealed is an updateBody that is encrypted and authenticated with a key derived
// from the fleet key: settings contain token keys, which only daemons of the fleet may read or write.
type fetchResult struct {
	Revision  uint64 `json:"revision"`
	Unchanged bool   `json:"unchanged,omitempty"`
	Sealed    []byte `json:"sealed,omitempty"`
}

// updateBody is the CBOR form of an update: either deltas or the full content.
type updateBody struct {
	_           struct{} `cbor:",toarray"`
	Digest      []byte
	Deltas      []wireDelta
	FullContent []byte // compressed with gzip
}

type wireDelta struct {
	_            struct{} `cbor:",toarray"`
	ResultDigest []byte
	Edits        []wireEdit
}

type wireEdit struct {
	_           struct{} `cbor:",toarray"`
	From, Count int
	Text        []byte
}

// newAEAD returns the cipher for fetch results. Its nonces are random: the fleet sends some 16 million results a day, far fewer
// than the 2^32 messages for which random nonces of 96 bits are safe.
func newAEAD(fleetKey [32]byte) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, fleetKey[:], nil, "bluebelldyke document", 32)
	if err != nil {
		return nil, eris.Wrap(err, "derive document key from fleet key")
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, eris.Wrap(err, "create document cipher")
	}
	return cipher.NewGCMWithRandomNonce(block)
}

// associatedData returns the additional authenticated data that binds a sealed body to its document and revision.
func associatedData(name string, revision uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(name), revision)
}

// sealedCache caches the sealed full content of one revision, because many peers pull the same revision.
type sealedCache struct {
	mu       sync.Mutex
	revision uint64
	sealed   []byte
}

func (c *sealedCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision, c.sealed = 0, nil
}

// newResult returns the fetch result for an update, sealed for the document with the name.
func (c *sealedCache) newResult(aead cipher.AEAD, name string, u reviser.Update) (*fetchResult, error) {
	f := &fetchResult{Revision: u.Revision, Unchanged: u.Unchanged}
	if u.Unchanged {
		return f, nil
	}
	b := updateBody{Digest: u.Digest[:]}
	if len(u.Deltas) > 0 {
		for _, d := range u.Deltas {
			b.Deltas = append(b.Deltas, newWireDelta(d))
		}
		return f, f.seal(aead, name, b)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision != u.Revision {
		var err error
		if b.FullContent, err = compress(u.FullContent); err != nil {
			return nil, err
		}
		if err := f.seal(aead, name, b); err != nil {
			return nil, err
		}
		c.revision, c.sealed = u.Revision, f.Sealed
	}
	f.Sealed = c.sealed
	return f, nil
}

func newWireDelta(d differ.Delta) wireDelta {
	w := wireDelta{ResultDigest: d.ResultDigest[:]}
	for _, e := range d.Edits {
		w.Edits = append(w.Edits, wireEdit{From: e.From, Count: e.Count, Text: e.Text})
	}
	return w
}

// seal sets Sealed to the encrypted body.
func (f *fetchResult) seal(aead cipher.AEAD, name string, b updateBody) error {
	plain, err := cbor.Marshal(b)
	if err != nil {
		return eris.Wrap(err, "encode fetch result")
	}
	f.Sealed = aead.Seal(nil, nil, plain, associatedData(name, f.Revision))
	return nil
}

// update decrypts and validates the result. Deltas are validated when they are applied.
func (f *fetchResult) update(aead cipher.AEAD, name string) (reviser.Update, error) {
	u := reviser.Update{Revision: f.Revision, Unchanged: f.Unchanged}
	if f.Unchanged {
		return u, nil
	}
	plain, err := aead.Open(nil, nil, f.Sealed, associatedData(name, f.Revision))
	if err != nil {
		return u, ErrForged
	}
	var b updateBody
	if err := cbor.Unmarshal(plain, &b); err != nil {
		return u, eris.Wrapf(ErrPeerFailed, "%v", err)
	}
	if copy(u.Digest[:], b.Digest) != len(u.Digest) {
		return u, eris.Wrap(ErrPeerFailed, "digest is missing or too short")
	}
	for _, w := range b.Deltas {
		var d differ.Delta
		if copy(d.ResultDigest[:], w.ResultDigest) != len(d.ResultDigest) {
			return u, eris.Wrap(ErrPeerFailed, "digest of a delta is missing or too short")
		}
		for _, e := range w.Edits {
			d.Edits = append(d.Edits, differ.Edit{From: e.From, Count: e.Count, Text: e.Text})
		}
		u.Deltas = append(u.Deltas, d)
	}
	if len(u.Deltas) > 0 {
		return u, nil
	}
	if u.FullContent, err = decompress(b.FullContent); err != nil {
		return u, err
	}
	if differ.DigestOf(u.FullContent) != u.Digest {
		return u, eris.Wrap(ErrPeerFailed, "content does not match its digest")
	}
	return u, nil
}

// compress returns the content in gzip form.
func compress(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	if _, err := w.Write(content); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	return b.Bytes(), nil
}

// decompress returns the content of a gzip form. It fails if the content is larger than maxDocumentBytes.
func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrapf(ErrPeerFailed, "compressed content: %v", err)
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return nil, eris.Wrapf(ErrPeerFailed, "compressed content: %v", err)
	}
	if len(content) > maxDocumentBytes {
		return nil, eris.Wrapf(ErrPeerFailed, "content has more than %d bytes", maxDocumentBytes)
	}
	return content, nil
}
