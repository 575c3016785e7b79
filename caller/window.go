package caller

import "github.com/bluebelldyke/bluebelldyke/modules/framer"

// windowSize bounds the readings that a feed stores, in order or beyond a gap. Readings beyond the window are dropped and not
// acknowledged, so the backend server sends them again.
const windowSize = 256

// Reading is one message of a feed. Numbers increase by 1 from reading to reading.
type Reading struct {
	Number  uint64
	Payload []byte
}

// receiveWindow puts readings in order. Those after lastTaken up to lastInOrder are ready to be taken; those above
// lastInOrder+1 wait until the gap before them is filled.
type receiveWindow struct {
	started     bool
	lastInOrder uint64 // number of the last reading stored with no gap before it
	lastTaken   uint64 // number of the last reading taken
	slots       [windowSize]*Reading
}

// add stores one reading. It returns how many readings became ready to be taken, and whether the reading is a duplicate. The
// first reading sets the number at which the feed starts; number 0 is invalid. Readings beyond the window are dropped.
func (w *receiveWindow) add(number uint64, payload []byte) (ready int, duplicate bool) {
	if !w.started {
		if number == 0 {
			return 0, false
		}
		w.started = true
		w.lastInOrder, w.lastTaken = number-1, number-1
	}
	if number <= w.lastInOrder {
		return 0, true
	}
	if number-w.lastTaken > windowSize {
		return 0, false
	}
	slot := &w.slots[number%windowSize]
	if *slot != nil {
		return 0, true
	}
	*slot = &Reading{Number: number, Payload: payload}
	for w.lastInOrder-w.lastTaken < windowSize && w.slots[(w.lastInOrder+1)%windowSize] != nil {
		w.lastInOrder++
		ready++
	}
	return ready, false
}

// full reports whether all slots contain readings that are ready to be taken.
func (w *receiveWindow) full() bool { return w.lastInOrder-w.lastTaken == windowSize }

// take removes and returns the next reading in order, if there is one.
func (w *receiveWindow) take() (Reading, bool) {
	if w.lastTaken == w.lastInOrder {
		return Reading{}, false
	}
	w.lastTaken++
	slot := &w.slots[w.lastTaken%windowSize]
	r := **slot
	*slot = nil
	return r, true
}

// flow is one call of a feed, served by one backend server. A feed has a second flow while it moves to another backend server.
type flow struct {
	call         callID
	token        []byte // nil until a backend server has accepted the flow
	isMove       bool   // opened because of a move datagram
	openBackoff  backoff
	openAttempts int
}

// matchesToken reports whether a datagram that ends or moves the flow is about its token. Retransmissions of one
// open-feed may have reached several backend servers; only the first acceptance counts.
func (f *flow) matchesToken(m message) bool {
	return len(m.token) == 0 || f.token == nil || string(m.token) == string(f.token)
}

// isPermanentRefusal reports whether an open-feed that was refused with this cause would be refused again.
func isPermanentRefusal(c framer.Cause) bool {
	switch c {
	case framer.CauseWrongService, framer.CauseBadToken, framer.CauseTooLarge:
		return true
	}
	return false
}
