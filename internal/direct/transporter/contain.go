package transporter

import (
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// The boundaries at which panics are contained.
const (
	packetBoundary        = "packet"
	configurationBoundary = "configuration"
	backendListBoundary   = "backend-list"
	evacuationsBoundary   = "evacuations"
	messageBoundary       = "message"
	tickBoundary          = "tick"
	releaseBoundary       = "release"
	readBoundary          = "read"
	rebuildBoundary       = "rebuild"
	logBoundary           = "log"
)

// repairInterval is the shortest time between two rebuilds of the Steerer after panics at packets and ticks. A rebuild loses what this daemon
// has observed of its flows, so that a client whose packets cause panics must not cause many.
const repairInterval = 10 * time.Second

// document puts a document in force in a Steerer.
type document func(now time.Time, s *steerer.Steerer)

// documents are the documents in force. Those that have not arrived yet are nil.
type documents struct{ evacuations, configuration, backendList document }

// applyTo puts the documents in force in a new Steerer.
func (d *documents) applyTo(now time.Time, s *steerer.Steerer) {
	for _, apply := range []document{d.evacuations, d.configuration, d.backendList} {
		if apply != nil {
			apply(now, s)
		}
	}
}

// newBackendList returns the document of a list that is put in force at listedAt. What it states about warm-ups is as of then.
func newBackendList(l *directory.BackendList, listedAt time.Time) document {
	return func(now time.Time, s *steerer.Steerer) {
		if now.After(listedAt) {
			aged := *l
			aged.Servers = slices.Clone(l.Servers)
			for i := range aged.Servers {
				aged.Servers[i].RemainingWarmUp = max(aged.Servers[i].RemainingWarmUp-now.Sub(listedAt), 0)
			}
			l, listedAt = &aged, now
		}
		s.SetBackendList(now, l)
	}
}

// change puts a changed document, which next contains, in force and reports whether it is. After a panic the state of the Steerer may be half
// changed, so it is rebuilt from the documents; if that fails too, the documents before the change stay in force. The caller holds mu.
func (t *Transporter) change(now time.Time, boundary string, apply document, next documents) bool {
	if !t.c.Recoverer.Do(boundary, 0, func() { apply(now, t.c.Steerer) }) && !t.rebuild(now, &next, true) {
		t.counts.refusedDocuments.Add(1)
		t.rebuildInForce(now)
		return false
	}
	t.inForce = next
	return true
}

// rebuild replaces the Steerer by one with the given documents, and reports whether that succeeded. The held packets are dropped; their
// clients retransmit them. The caller holds mu.
func (t *Transporter) rebuild(now time.Time, d *documents, keepRemoved bool) bool {
	var renewed *steerer.Steerer
	if !t.c.Recoverer.Do(rebuildBoundary, 0, func() {
		renewed = t.c.Steerer.Renew(keepRemoved)
		d.applyTo(now, renewed)
		if t.stopping {
			renewed.ReleaseAll(now)
		}
	}) {
		return false
	}
	t.c.Steerer = renewed
	t.counts.rebuilds.Add(1)
	clear(t.held.requests)
	return true
}

// rebuildInForce rebuilds the Steerer from the documents in force. The caller holds mu.
func (t *Transporter) rebuildInForce(now time.Time) {
	if !t.rebuild(now, &t.inForce, true) {
		t.rebuild(now, &t.inForce, false)
	}
}

// repair rebuilds the Steerer after a panic that may have left its state inconsistent. If that was done lately, a later tick does it. The
// caller holds mu.
func (t *Transporter) repair(now time.Time) {
	t.repairPending = !t.repairedAt.IsZero() && now.Sub(t.repairedAt) < repairInterval
	if !t.repairPending {
		t.repairedAt = now
		t.rebuildInForce(now)
	}
}

// guarded calls f with mu held, and reports whether it returned without a panic. After one the Steerer is rebuilt.
func (t *Transporter) guarded(boundary string, f func(now time.Time)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.c.Recoverer.Do(boundary, 0, func() { f(now) }) {
		return true
	}
	t.repair(now)
	return false
}

// containPacket records the panic with the value that recover has returned while a packet was handled. The packet is dropped.
func (t *Transporter) containPacket(value any, size int) {
	if t.c.Recoverer.Contain(value, packetBoundary, size) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.repair(time.Now())
	}
}
