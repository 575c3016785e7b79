package packer

import (
	"crypto/cipher"
	"net/netip"
)

// windowSize is the number of counters in the replay window of a sender. Datagrams that are reordered by more than this are
// dropped.
const windowSize = 64

// senderState is the replay window and the cipher of one authenticated sender.
type senderState struct {
	incarnation uint64
	aead        cipher.AEAD
	// highest is the highest counter received.
	highest uint64
	// floor is the highest counter that was overwritten in the window. All counters up to it are treated as received.
	floor uint64
	// window is a ring buffer of the last counters received; next is the index at which the next counter is written.
	window [windowSize]uint64
	next   int
}

// accept records counter. It returns false if the counter was received before or is at or below the floor.
func (s *senderState) accept(counter uint64) bool {
	if counter <= s.floor {
		return false
	}
	for _, c := range s.window {
		if c == counter {
			return false
		}
	}
	s.floor = max(s.floor, s.window[s.next])
	s.window[s.next] = counter
	s.next = (s.next + 1) % windowSize
	s.highest = max(s.highest, counter)
	return true
}

// senderAEAD returns the cipher for a datagram's sender: the stored one, or a new one for a process not seen before. It does
// not store the new one, because the datagram is not authenticated yet.
func (p *Packer) senderAEAD(h header) (cipher.AEAD, error) {
	p.mu.Lock()
	s := p.senders[h.address]
	p.mu.Unlock()
	if s != nil && s.incarnation == h.incarnation {
		return s.aead, nil
	}
	return p.deriveAEAD(h.address, h.incarnation)
}

// acceptCounter applies replay protection to an authenticated datagram and returns false for a replay. Datagrams of a process
// that a later incarnation has replaced are treated as replays.
func (p *Packer) acceptCounter(h header, aead cipher.AEAD) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.senders[h.address]
	if s != nil && s.incarnation > h.incarnation {
		return false
	}
	if s == nil || s.incarnation < h.incarnation {
		if s == nil && len(p.senders) >= maxSenders {
			p.evictLeastRecent()
		}
		s = &senderState{incarnation: h.incarnation, aead: aead}
		p.senders[h.address] = s
	}
	return s.accept(h.counter)
}

// evictLeastRecent removes the state of the sender whose last datagram is the oldest.
func (p *Packer) evictLeastRecent() {
	var oldest netip.AddrPort
	var lowest uint64
	for address, s := range p.senders {
		if !oldest.IsValid() || s.highest < lowest {
			oldest, lowest = address, s.highest
		}
	}
	delete(p.senders, oldest)
}
