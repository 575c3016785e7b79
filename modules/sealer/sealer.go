// Package sealer encrypts (seals) and decrypts (opens) flow tokens. A token holds the target of the packets of an established
// flow, so that any balancer can forward them and none keeps state for an idle flow. Tokens are encrypted and authenticated
// with AES-256-GCM and valid only at the service address for which they were issued.
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

// Sizes in bytes.
const (
	nonceSize     = 12 // of AES-GCM
	tagSize       = 16 // of AES-GCM
	plaintextSize = 62 // see encode
	addressSize   = 18 // IPv6 or IPv4-mapped IPv6 address and port
	// TokenSize is the length of every sealed token: key id, nonce, ciphertext and authentication tag.
	TokenSize = 1 + nonceSize + plaintextSize + tagSize
	// SecretSize is the length of the secret of a token key.
	SecretSize = 32
)

// flowIDMask selects the 56 bits of a flow id that fit in a token.
const flowIDMask = 1<<56 - 1

// Kind is the kind of a token, which says what its target is.
type Kind uint8

// The kinds of tokens.
const (
	// KindFeed is for the backend server of an established feed.
	KindFeed Kind = 1
	// KindAnswer is for the backend server that holds the answer to a request.
	KindAnswer Kind = 2
	// KindGate is for the balancer that may run a non-idempotent request (its gate) or that holds an idempotent one.
	KindGate Kind = 3
)

// Errors of Open.
var (
	ErrMalformed  = eris.New("token has the wrong length or contents: send the token exactly as it was received")
	ErrUnknownKey = eris.New("token was sealed with a key that is not in force: open a new flow")
	ErrForged     = eris.New("token fails authentication for this service address: open a new flow")
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
	// DocumentID is the id of the settings document that lists the target. Revision is the revision of this document.
	DocumentID  uint32
	Target      netip.AddrPort
	Incarnation uint64
	Revision    uint64
	IssuedAt    time.Time
	FlowID      uint64 // only the low 56 bits are stored in a token
}

// Key is a token key of the settings.
type Key struct {
	ID     uint8
	Secret [SecretSize]byte
}

// Config is the configuration of a Sealer.
type Config struct {
	// Keys are the keys of the tokens that Open accepts. A former key stays listed until its tokens have expired.
	Keys []Key
	// SealKeyID is the id of the key that seals new tokens.
	SealKeyID uint8
	// Random is the source of nonce prefixes. It defaults to crypto/rand.
	Random io.Reader
}

// Sealer seals and opens tokens. It is safe for concurrent use.
type Sealer struct {
	aeads     [256]cipher.AEAD // by key id
	sealKeyID uint8

	mu           sync.Mutex
	random       io.Reader
	noncePrefix  [8]byte
	nonceCounter uint32
}

// New returns a Sealer for the keys of c.
func New(c Config) (*Sealer, error) {
	s := &Sealer{sealKeyID: c.SealKeyID, random: c.Random}
	if s.random == nil {
		s.random = rand.Reader
	}
	for _, k := range c.Keys {
		if s.aeads[k.ID] != nil {
			return nil, eris.Errorf("token key id %d is listed twice: give each key its own id", k.ID)
		}
		aead, err := newAEAD(k.Secret)
		if err != nil {
			return nil, err
		}
		s.aeads[k.ID] = aead
	}
	if s.aeads[c.SealKeyID] == nil {
		return nil, eris.Errorf("seal-with is token key %d, which is not listed: list the key or set another id", c.SealKeyID)
	}
	if _, err := io.ReadFull(s.random, s.noncePrefix[:]); err != nil {
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

// Seal encrypts t as a token that is valid only at the service address, and appends it to dst.
func (s *Sealer) Seal(dst []byte, t Token, service netip.AddrPort) ([]byte, error) {
	nonce, err := s.nextNonce()
	if err != nil {
		return dst, err
	}
	var plaintext [plaintextSize]byte
	encode(&plaintext, t)
	aad := additionalData(s.sealKeyID, service)
	dst = append(dst, s.sealKeyID)
	dst = append(dst, nonce[:]...)
	return s.aeads[s.sealKeyID].Seal(dst, nonce[:], plaintext[:], aad[:]), nil
}

// nextNonce returns a nonce of a random prefix and a counter. When the counter wraps around, a new prefix is drawn, so that
// no nonce repeats within a process.
func (s *Sealer) nextNonce() ([nonceSize]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nonceCounter++
	if s.nonceCounter == 0 {
		if _, err := io.ReadFull(s.random, s.noncePrefix[:]); err != nil {
			return [nonceSize]byte{}, eris.Wrap(err, "read the nonce prefix")
		}
	}
	var nonce [nonceSize]byte
	copy(nonce[:], s.noncePrefix[:])
	binary.BigEndian.PutUint32(nonce[8:], s.nonceCounter)
	return nonce, nil
}

// openBufferPool holds scratch space for Open, which would allocate otherwise: arguments of an interface call escape to the
// heap.
var openBufferPool = sync.Pool{New: func() any { return new(openBuffer) }}

type openBuffer struct {
	additionalData [1 + addressSize]byte
	plaintext      [plaintextSize]byte
}

// Open authenticates and decrypts a token that was received at the service address, and returns its content.
func (s *Sealer) Open(token []byte, service netip.AddrPort) (Token, error) {
	if len(token) != TokenSize {
		return Token{}, ErrMalformed
	}
	aead := s.aeads[token[0]]
	if aead == nil {
		return Token{}, ErrUnknownKey
	}
	b := openBufferPool.Get().(*openBuffer)
	defer openBufferPool.Put(b)
	b.additionalData = additionalData(token[0], service)
	plaintext, err := aead.Open(b.plaintext[:0], token[1:1+nonceSize], token[1+nonceSize:], b.additionalData[:])
	if err != nil {
		return Token{}, ErrForged
	}
	return decode(plaintext), nil
}

// additionalData returns the additional authenticated data of a token: the key id and the service address.
func additionalData(keyID uint8, service netip.AddrPort) [1 + addressSize]byte {
	var aad [1 + addressSize]byte
	aad[0] = keyID
	putAddress(aad[1:], service)
	return aad
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

// encode writes the plaintext of a token, which has a fixed layout.
func encode(p *[plaintextSize]byte, t Token) {
	p[0] = byte(t.Kind)
	binary.BigEndian.PutUint64(p[1:], t.ServiceID)
	binary.BigEndian.PutUint32(p[9:], t.DocumentID)
	putAddress(p[13:], t.Target)
	binary.BigEndian.PutUint64(p[31:], t.Incarnation)
	binary.BigEndian.PutUint64(p[39:], t.Revision)
	// The flow id takes 7 bytes. Its most significant byte is zero and is then overwritten by the last byte of the issue time.
	binary.BigEndian.PutUint64(p[54:], t.FlowID&flowIDMask)
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
		FlowID:      binary.BigEndian.Uint64(p[54:]) & flowIDMask,
	}
}

// String returns a short form of the token for logs.
func (t Token) String() string {
	return fmt.Sprintf("token(kind %d, target %s, document %08x, revision %d)", t.Kind, t.Target, t.DocumentID, t.Revision)
}
