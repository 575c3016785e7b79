// Package sealer seals and opens flow tokens. A token tells any balancer where the packets of an established flow go,
// so that no balancer keeps state for an idle flow. Tokens are encrypted and authenticated with AES-256-GCM and bound
// to the service address for which they were issued.
package sealer

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Sizes of the wire form in bytes.
const (
	nonceSize     = 12
	tagSize       = 16
	plaintextSize = 62
	addressSize   = 18
	// TokenSize is the length of every token.
	TokenSize = 1 + nonceSize + plaintextSize + tagSize
	// SecretSize is the length of a token key.
	SecretSize = 32
)

// flowMask keeps the 56 bits of a flow id that fit a token.
const flowMask = 1<<56 - 1

// Kind tells what a token's target is.
type Kind uint8

// The kinds of tokens.
const (
	// KindFeed names the backend server of an established feed.
	KindFeed Kind = 1
	// KindAnswer names the backend server that holds the answer to a request.
	KindAnswer Kind = 2
	// KindGate names the balancer that may run a non-idempotent request.
	KindGate Kind = 3
)

// Errors of Open.
var (
	ErrMalformed  = eris.New("token has the wrong length or contents: send the token exactly as it was received")
	ErrUnknownKey = eris.New("token was sealed with a key that is not in force: open a new flow")
	ErrForged     = eris.New("token does not authenticate for this service address: open a new flow")
)

// IsErrMalformed reports whether err is an ErrMalformed.
func IsErrMalformed(err error) bool { return eris.Is(err, ErrMalformed) }

// IsErrUnknownKey reports whether err is an ErrUnknownKey.
func IsErrUnknownKey(err error) bool { return eris.Is(err, ErrUnknownKey) }

// IsErrForged reports whether err is an ErrForged.
func IsErrForged(err error) bool { return eris.Is(err, ErrForged) }

// Token is the content of a flow token.
type Token struct {
	Kind      Kind
	ServiceID uint64
	// DocumentID is the id of the settings document that holds the target, and Revision that of this document.
	DocumentID  uint32
	Target      netip.AddrPort
	Incarnation uint64
	Revision    uint64
	IssuedAt    time.Time
	FlowID      uint64 // only the low 56 bits are kept
}

// Key is one token key of the settings tree.
type Key struct {
	ID     uint8
	Secret [SecretSize]byte
}

// Config holds what a Sealer is made of.
type Config struct {
	Keys []Key
	// SealKeyID is the id of the key for new tokens.
	SealKeyID uint8
	// Random is the source of nonces; nil means crypto/rand.
	Random io.Reader
}

// Sealer seals and opens tokens. It is safe for concurrent use.
type Sealer struct {
	keys [256]cipher.AEAD
	seal uint8

	mu      sync.Mutex
	random  io.Reader
	prefix  [8]byte
	counter uint32
}

// New returns a Sealer for the keys of c.
func New(c Config) (*Sealer, error) {
	s := &Sealer{seal: c.SealKeyID, random: c.Random}
	if s.random == nil {
		s.random = rand.Reader
	}
	for _, k := range c.Keys {
		if s.keys[k.ID] != nil {
			return nil, eris.Errorf("token key id %d stands twice: give each key its own id", k.ID)
		}
		aead, err := newAEAD(k.Secret)
		if err != nil {
			return nil, err
		}
		s.keys[k.ID] = aead
	}
	if s.keys[c.SealKeyID] == nil {
		return nil, eris.Errorf("seal-with names token key %d, which is not listed: add the key or name another", c.SealKeyID)
	}
	if _, err := io.ReadFull(s.random, s.prefix[:]); err != nil {
		return nil, eris.Wrap(err, "read the nonce prefix")
	}
	return s, nil
}

func newAEAD(secret [SecretSize]byte) (cipher.AEAD, error) {
	block, err := aes.NewCipher(secret[:])
	if err != nil {
		return nil, eris.Wrap(err, "create the token cipher")
	}
	aead, err := cipher.NewGCM(block)
	return aead, eris.Wrap(err, "create the token cipher")
}

// Seal appends the sealed form of t, bound to the service address, to dst.
func (s *Sealer) Seal(dst []byte, t Token, service netip.AddrPort) ([]byte, error) {
	nonce, err := s.nextNonce()
	if err != nil {
		return dst, err
	}
	var plain [plaintextSize]byte
	encode(&plain, t)
	additional := additionalData(s.seal, service)
	dst = append(dst, s.seal)
	dst = append(dst, nonce[:]...)
	return s.keys[s.seal].Seal(dst, nonce[:], plain[:], additional[:]), nil
}

// nextNonce returns a random prefix joined with a counter. A wrapped counter draws a new prefix, so that no nonce
// repeats within a process.
func (s *Sealer) nextNonce() ([nonceSize]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	if s.counter == 0 {
		if _, err := io.ReadFull(s.random, s.prefix[:]); err != nil {
			return [nonceSize]byte{}, eris.Wrap(err, "read the nonce prefix")
		}
	}
	var nonce [nonceSize]byte
	copy(nonce[:], s.prefix[:])
	binary.BigEndian.PutUint32(nonce[8:], s.counter)
	return nonce, nil
}

// openBuffers holds scratch space so that Open does not allocate: arguments of an interface call escape to the heap.
var openBuffers = sync.Pool{New: func() any { return new(openBuffer) }}

type openBuffer struct {
	additional [1 + addressSize]byte
	plain      [plaintextSize]byte
}

// Open authenticates a token that arrived at the service address and returns its content.
func (s *Sealer) Open(token []byte, service netip.AddrPort) (Token, error) {
	if len(token) != TokenSize {
		return Token{}, ErrMalformed
	}
	aead := s.keys[token[0]]
	if aead == nil {
		return Token{}, ErrUnknownKey
	}
	b := openBuffers.Get().(*openBuffer)
	defer openBuffers.Put(b)
	b.additional = additionalData(token[0], service)
	plain, err := aead.Open(b.plain[:0], token[1:1+nonceSize], token[1+nonceSize:], b.additional[:])
	if err != nil {
		return Token{}, ErrForged
	}
	return decode(plain), nil
}

func additionalData(id uint8, service netip.AddrPort) [1 + addressSize]byte {
	var a [1 + addressSize]byte
	a[0] = id
	putAddress(a[1:], service)
	return a
}

func putAddress(b []byte, a netip.AddrPort) {
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}

func getAddress(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:]))
}

func encode(p *[plaintextSize]byte, t Token) {
	p[0] = byte(t.Kind)
	binary.BigEndian.PutUint64(p[1:], t.ServiceID)
	binary.BigEndian.PutUint32(p[9:], t.DocumentID)
	putAddress(p[13:], t.Target)
	binary.BigEndian.PutUint64(p[31:], t.Incarnation)
	binary.BigEndian.PutUint64(p[39:], t.Revision)
	// The flow id takes 7 bytes; its zero top byte is overwritten by the last byte of the issue time.
	binary.BigEndian.PutUint64(p[54:], t.FlowID&flowMask)
	binary.BigEndian.PutUint64(p[47:], uint64(t.IssuedAt.UnixMilli()))
}

func decode(p []byte) Token {
	return Token{
		Kind:        Kind(p[0]),
		ServiceID:   binary.BigEndian.Uint64(p[1:]),
		DocumentID:  binary.BigEndian.Uint32(p[9:]),
		Target:      getAddress(p[13:]),
		Incarnation: binary.BigEndian.Uint64(p[31:]),
		Revision:    binary.BigEndian.Uint64(p[39:]),
		IssuedAt:    time.UnixMilli(int64(binary.BigEndian.Uint64(p[47:]))),
		FlowID:      binary.BigEndian.Uint64(p[54:]) & flowMask,
	}
}

// String returns a short form of the token for log lines.
func (t Token) String() string {
	return fmt.Sprintf("token(kind %d, target %s, document %08x, revision %d)", t.Kind, t.Target, t.DocumentID, t.Revision)
}
