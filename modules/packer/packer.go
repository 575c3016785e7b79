// Package packer encodes and encrypts the datagrams that daemons exchange on the peer socket, and decrypts and decodes them.
// A datagram is a plaintext header (version, sender address, incarnation, counter) followed by a CBOR array encrypted with
// AES-256-GCM. Each sender process has its own key, derived from the fleet key, and uses its counter as the nonce. So no nonce
// is used twice with one key, and daemons need no shared state for that. The receiver's address is part of the additional
// data, so a datagram cannot be replayed to another daemon.
package packer

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	version   = 1  // of the wire form
	nonceSize = 12 // of AES-GCM
	tagSize   = 16 // of AES-GCM
	// KeySize is the length of the fleet key in bytes.
	KeySize = 32
	// MaxSize is the largest datagram in bytes. A forwarded caller datagram of 1,400 bytes between IPv4 peers takes
	// 1,459 bytes, which fits an Ethernet frame.
	MaxSize = 1500
	// MaxAge is the largest difference between a datagram's time of sending and the receiver's clock. It limits the replay
	// of datagrams to a daemon that has restarted and so has lost its replay windows.
	MaxAge = 60 * time.Second
	// maxSenders is the largest number of senders whose state is kept. It covers the members of a large availability zone and
	// their gates.
	maxSenders = 1024
)

// Errors of Unpack and ParseKey.
var (
	ErrMalformed  = eris.New("peer datagram is malformed: check that all daemons run compatible versions")
	ErrForged     = eris.New("peer datagram fails authentication: check that all daemons have the same peer.key")
	ErrReplayed   = eris.New("peer datagram was received before or is too old: check the clocks of the VMs")
	ErrOversized  = eris.New("peer datagram is larger than 1500 bytes: send fewer updates or a smaller payload")
	ErrInvalidKey = eris.New("fleet key is not 64 hex digits: set peer.key to 32 random bytes in hex")
)

// IsErrMalformed reports whether err is an ErrMalformed.
func IsErrMalformed(err error) bool { return eris.Is(err, ErrMalformed) }

// IsErrForged reports whether err is an ErrForged.
func IsErrForged(err error) bool { return eris.Is(err, ErrForged) }

// IsErrReplayed reports whether err is an ErrReplayed.
func IsErrReplayed(err error) bool { return eris.Is(err, ErrReplayed) }

// IsErrOversized reports whether err is an ErrOversized.
func IsErrOversized(err error) bool { return eris.Is(err, ErrOversized) }

// IsErrInvalidKey reports whether err is an ErrInvalidKey.
func IsErrInvalidKey(err error) bool { return eris.Is(err, ErrInvalidKey) }

// ParseKey parses a fleet key of 64 hex digits.
func ParseKey(text string) ([KeySize]byte, error) {
	var key [KeySize]byte
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != KeySize {
		return key, ErrInvalidKey
	}
	copy(key[:], b)
	return key, nil
}

// Config is the configuration of a Packer.
type Config struct {
	Key [KeySize]byte
	// Self is the advertised peer address of this daemon, to which its peers send.
	Self netip.AddrPort
	// Incarnation is the start time of this process in Unix ms.
	Incarnation uint64
}

// Packer packs datagrams of one daemon and unpacks those sent to it. It is safe for concurrent use.
type Packer struct {
	key         [KeySize]byte
	self        netip.AddrPort
	incarnation uint64
	aead        cipher.AEAD

	mu      sync.Mutex
	counter uint64
	senders map[netip.AddrPort]*senderState
}

// New returns a Packer for the daemon that c describes.
func New(c Config) (*Packer, error) {
	if !c.Self.IsValid() {
		return nil, eris.New("own peer address is not set: set peer.advertise")
	}
	p := &Packer{
		key: c.Key, self: unmap(c.Self), incarnation: c.Incarnation, senders: make(map[netip.AddrPort]*senderState),
	}
	var err error
	p.aead, err = p.deriveAEAD(p.self, c.Incarnation)
	return p, err
}

// Pack encodes d, encrypts it for the daemon with the advertised address to and appends it to dst. The sender's address and
// incarnation are those of the Packer.
func (p *Packer) Pack(dst []byte, now time.Time, to netip.AddrPort, d *Datagram) ([]byte, error) {
	body, err := encode(d)
	if err != nil {
		return dst, err
	}
	start := len(dst)
	counter := p.nextCounter(now)
	dst = append(dst, version)
	dst = appendAddress(dst, p.self)
	dst = binary.BigEndian.AppendUint64(dst, p.incarnation)
	dst = binary.BigEndian.AppendUint64(dst, counter)
	additionalData := appendAddress(append([]byte(nil), dst[start:]...), unmap(to))
	nonce := counterNonce(counter)
	dst = p.aead.Seal(dst, nonce[:], body, additionalData)
	if len(dst)-start > MaxSize {
		return dst[:start], ErrOversized
	}
	return dst, nil
}

// Unpack decrypts and decodes a datagram that was sent to this daemon and checks that it is no replay. The payload does not
// alias b.
func (p *Packer) Unpack(now time.Time, b []byte) (Datagram, error) {
	if len(b) > MaxSize {
		return Datagram{}, ErrOversized
	}
	h, rest, err := parseHeader(b)
	if err != nil {
		return Datagram{}, err
	}
	if age := now.Sub(time.UnixMicro(int64(h.counter))); age > MaxAge || age < -MaxAge {
		return Datagram{}, ErrReplayed
	}
	aead, err := p.senderAEAD(h)
	if err != nil {
		return Datagram{}, err
	}
	additionalData := appendAddress(append([]byte(nil), b[:len(b)-len(rest)]...), p.self)
	nonce := counterNonce(h.counter)
	body, err := aead.Open(nil, nonce[:], rest, additionalData)
	if err != nil {
		return Datagram{}, ErrForged
	}
	if !p.acceptCounter(h, aead) {
		return Datagram{}, ErrReplayed
	}
	d, err := Decode(body)
	if err != nil {
		return Datagram{}, err
	}
	d.Sender.Address, d.Sender.Incarnation = h.address, h.incarnation
	for i := range d.Reports {
		if !d.Reports[i].Checker.IsValid() {
			d.Reports[i].Checker = h.address
		}
	}
	return d, nil
}

// header is the plaintext header of a datagram, without the version.
type header struct {
	address              netip.AddrPort
	incarnation, counter uint64
}

func parseHeader(b []byte) (header, []byte, error) {
	var h header
	if len(b) < 2 || b[0] != version {
		return h, nil, ErrMalformed
	}
	address, rest, err := cutAddress(b[1:])
	if err != nil || len(rest) < 16+tagSize {
		return h, nil, ErrMalformed
	}
	h.address = address
	h.incarnation = binary.BigEndian.Uint64(rest)
	h.counter = binary.BigEndian.Uint64(rest[8:])
	if h.counter > 1<<62 {
		return h, nil, ErrMalformed
	}
	return h, rest[16:], nil
}

// deriveAEAD returns the cipher of one sender process. Its key is derived from the fleet key.
func (p *Packer) deriveAEAD(address netip.AddrPort, incarnation uint64) (cipher.AEAD, error) {
	info := binary.BigEndian.AppendUint64(appendAddress([]byte("bluebelldyke peer "), address), incarnation)
	key, err := hkdf.Key(sha256.New, p.key[:], nil, string(info), 32)
	if err != nil {
		return nil, eris.Wrap(err, "derive sender key")
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, eris.Wrap(err, "create the sender cipher")
	}
	return cipher.NewGCM(block)
}

// nextCounter returns the counter of a new datagram: the Unix time in microseconds, or the last counter plus one if that is
// larger. So counters never repeat within a process, and the receiver can check the age of a datagram.
func (p *Packer) nextCounter(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counter = max(p.counter+1, uint64(now.UnixMicro()))
	return p.counter
}

// counterNonce returns the nonce of the datagram with the counter.
func counterNonce(counter uint64) [nonceSize]byte {
	var nonce [nonceSize]byte
	binary.BigEndian.PutUint64(nonce[nonceSize-8:], counter)
	return nonce
}
