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

// notice is the wire form of document/notify.
type notice struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	From     string `json:"from"`
}

// question is the wire form of the params of document/fetch.
type question struct {
	Name  string `json:"name"`
	After uint64 `json:"after"`
}

// answer is the wire form of the result of document/fetch. Sealed is a body under the fleet key: settings hold token
// keys, and only a daemon of the fleet may read or write them.
type answer struct {
	Revision  uint64 `json:"revision"`
	Unchanged bool   `json:"unchanged,omitempty"`
	Sealed    []byte `json:"sealed,omitempty"`
}

// body is the CBOR form of an update.
type body struct {
	_      struct{} `cbor:",toarray"`
	Digest []byte
	Deltas []wireDelta
	Whole  []byte // gzip
}

type wireDelta struct {
	_      struct{} `cbor:",toarray"`
	Result []byte
	Edits  []wireEdit
}

type wireEdit struct {
	_           struct{} `cbor:",toarray"`
	From, Count int
	Text        []byte
}

// newSealing returns the cipher of answers. Its nonces are random: the fleet sends some 16 million answers a day, far
// fewer than the 2^32 for which random nonces of 96 bits are safe.
func newSealing(fleet [32]byte) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, fleet[:], nil, "bluebelldyke document", 32)
	if err != nil {
		return nil, eris.Wrap(err, "derive document key")
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, eris.Wrap(err, "document key")
	}
	return cipher.NewGCMWithRandomNonce(block)
}

// associated binds a sealed body to its document and revision.
func associated(name string, revision uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(name), revision)
}

// packed keeps the sealed whole content of the revision in force: many peers pull the same one.
type packed struct {
	mu       sync.Mutex
	revision uint64
	sealed   []byte
}

func (p *packed) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision, p.sealed = 0, nil
}

func (p *packed) answer(aead cipher.AEAD, name string, u reviser.Update) (*answer, error) {
	a := &answer{Revision: u.Revision, Unchanged: u.Unchanged}
	if u.Unchanged {
		return a, nil
	}
	b := body{Digest: u.Digest[:]}
	if len(u.Deltas) > 0 {
		for _, d := range u.Deltas {
			b.Deltas = append(b.Deltas, packDelta(d))
		}
		return a, a.seal(aead, name, b)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revision != u.Revision {
		var err error
		if b.Whole, err = compress(u.FullContent); err != nil {
			return nil, err
		}
		if err := a.seal(aead, name, b); err != nil {
			return nil, err
		}
		p.revision, p.sealed = u.Revision, a.Sealed
	}
	a.Sealed = p.sealed
	return a, nil
}

func packDelta(d differ.Delta) wireDelta {
	w := wireDelta{Result: d.Result[:]}
	for _, e := range d.Edits {
		w.Edits = append(w.Edits, wireEdit{From: e.From, Count: e.Count, Text: e.Text})
	}
	return w
}

func (a *answer) seal(aead cipher.AEAD, name string, b body) error {
	plain, err := cbor.Marshal(b)
	if err != nil {
		return eris.Wrap(err, "encode answer")
	}
	a.Sealed = aead.Seal(nil, nil, plain, associated(name, a.Revision))
	return nil
}

func (a *answer) update(aead cipher.AEAD, name string) (reviser.Update, error) {
	u := reviser.Update{Revision: a.Revision, Unchanged: a.Unchanged}
	if a.Unchanged {
		return u, nil
	}
	plain, err := aead.Open(nil, nil, a.Sealed, associated(name, a.Revision))
	if err != nil {
		return u, ErrForged
	}
	var b body
	if err := cbor.Unmarshal(plain, &b); err != nil {
		return u, eris.Wrapf(ErrPeerFailed, "%v", err)
	}
	if copy(u.Digest[:], b.Digest) != len(u.Digest) {
		return u, eris.Wrap(ErrPeerFailed, "digest is missing")
	}
	for _, w := range b.Deltas {
		var d differ.Delta
		if copy(d.Result[:], w.Result) != len(d.Result) {
			return u, eris.Wrap(ErrPeerFailed, "digest of a delta is missing")
		}
		for _, e := range w.Edits {
			d.Edits = append(d.Edits, differ.Edit{From: e.From, Count: e.Count, Text: e.Text})
		}
		u.Deltas = append(u.Deltas, d)
	}
	if len(u.Deltas) > 0 {
		return u, nil
	}
	if u.FullContent, err = expand(b.Whole); err != nil {
		return u, err
	}
	if differ.DigestOf(u.FullContent) != u.Digest {
		return u, eris.Wrap(ErrPeerFailed, "content does not have the digest promised")
	}
	return u, nil
}

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

func expand(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrapf(ErrPeerFailed, "compressed content: %v", err)
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxBytes+1))
	if err != nil {
		return nil, eris.Wrapf(ErrPeerFailed, "compressed content: %v", err)
	}
	if len(content) > maxBytes {
		return nil, eris.Wrapf(ErrPeerFailed, "content has more than %d bytes", maxBytes)
	}
	return content, nil
}
