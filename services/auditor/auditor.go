// Package auditor keeps a bounded audit trail in memory: which document revisions a daemon received, from where, and whether
// they took effect.
package auditor

import (
	"strings"
	"sync"
	"time"
)

// Outcome is the result of receiving a document revision.
type Outcome uint8

// The outcomes.
const (
	Applied Outcome = iota + 1 // in force
	Refused                    // not accepted
	Waiting                    // accepted, but not in force until another document arrives
	LeftOut                    // in force except for a part that conflicts with another document
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case Refused:
		return "refused"
	case Waiting:
		return "waiting"
	case LeftOut:
		return "left-out"
	default:
		return "unknown"
	}
}

// Entry is the record of one document revision in the audit trail.
type Entry struct {
	Time     time.Time
	Document string
	Revision uint64
	Source   string // platform, or the address of the daemon that supplied the revision or found the conflict
	Outcome  Outcome
	Cause    string // why the revision is not in force; for Applied empty, or the evacuations that it begins and ends
}

// DefaultCapacity is the default of Config.Capacity. It covers several hours at the target size of 4,200 changes a day and
// takes less than 1 MB.
const DefaultCapacity = 1024

// maxCauseBytes bounds the length of Entry.Cause, because a cause can list many problems of a document.
const maxCauseBytes = 512

// Config configures an Auditor.
type Config struct {
	// Capacity is the number of entries kept; 0 means DefaultCapacity.
	Capacity int
}

// Auditor keeps the newest entries of the audit trail. It is safe for concurrent use.
type Auditor struct {
	mu       sync.Mutex
	entries  []Entry // a ring buffer once it is full
	next     int     // index of the oldest entry in a full ring buffer, which is overwritten next
	total    uint64  // entries recorded, including those overwritten
	capacity int
}

// New returns an empty Auditor.
func New(c Config) *Auditor {
	if c.Capacity <= 0 {
		c.Capacity = DefaultCapacity
	}
	return &Auditor{capacity: c.Capacity}
}

// Record adds an entry and shortens its cause if necessary. If the audit trail is full, it drops the oldest entry.
func (a *Auditor) Record(e Entry) {
	if len(e.Cause) > maxCauseBytes {
		e.Cause = strings.ToValidUTF8(e.Cause[:maxCauseBytes], "") + "…"
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total++
	if len(a.entries) < a.capacity {
		a.entries = append(a.entries, e)
		return
	}
	a.entries[a.next] = e
	a.next = (a.next + 1) % a.capacity
}
