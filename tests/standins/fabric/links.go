package main

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

const (
	// reorderDelay is the extra delay of a reordered datagram, in which several later datagrams of its flow overtake it.
	reorderDelay = 30 * time.Millisecond
	// retransmitDelay is the delay of a chunk of a stream that a TCP retransmission of a lost segment would cause.
	retransmitDelay = 200 * time.Millisecond
)

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRand(seed uint64) *lockedRand { return &lockedRand{r: rand.New(rand.NewPCG(seed, 0x66616272))} }

func (l *lockedRand) float64() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}

func (l *lockedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.IntN(n)
}

// link applies the faults of one class of links.
type link struct {
	random *lockedRand
	mu     sync.Mutex
	faults admin.LinkFaults
}

func (l *link) setFaults(f admin.LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

func (l *link) currentFaults() admin.LinkFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func (l *link) chance(p float64) bool { return p > 0 && l.random.float64() < p }

func (l *link) drawDelay(f admin.LinkFaults) time.Duration {
	d := time.Duration(f.DelayMin)
	if extra := time.Duration(f.DelayMax) - d; extra > 0 {
		d += time.Duration(l.random.float64() * float64(extra))
	}
	return d
}

// send applies the faults to a datagram: it calls deliver zero, one or two times, each at once or, with a copy of b, later.
func (l *link) send(b []byte, deliver func([]byte)) {
	f := l.currentFaults()
	if l.chance(f.Loss) {
		return
	}
	copies := 1
	if l.chance(f.Duplicate) {
		copies = 2
	}
	for range copies {
		d := l.drawDelay(f)
		if l.chance(f.Reorder) {
			d += reorderDelay
		}
		if d <= 0 {
			deliver(b)
			continue
		}
		copied := append([]byte(nil), b...)
		time.AfterFunc(d, func() { deliver(copied) })
	}
}

// streamDelay returns how long to hold back a chunk of a TCP stream. Loss adds a delay, as TCP retransmits.
func (l *link) streamDelay() time.Duration {
	f := l.currentFaults()
	d := l.drawDelay(f)
	if l.chance(f.Loss) {
		d += retransmitDelay
	}
	return d
}
