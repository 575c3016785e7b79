package inquirer

import "time"

const (
	// slot is the resolution of an Activity, and slots the number of slots that it covers: longer than flows are tracked.
	slot  = 100 * time.Millisecond
	slots = 64 * activityWords
	// activityWords is the number of words of an Activity.
	activityWords = 4
	// gapSlots is the number of slots without a packet that are regarded as a time out of rotation: the fabric checks readiness each 500 ms.
	// The slots of two daemons differ by up to the time that a reply takes and one slot.
	gapSlots = 4
)

// Activity holds when packets have arrived at a daemon: bit i is set if one arrived i slots ago.
type Activity [activityWords]uint64

// merge adds the packets of another daemon.
func (a *Activity) merge(other Activity) {
	for i := range a {
		a[i] |= other[i]
	}
}

// hasGap reports whether no packet arrived for some time within the duration since.
func (a *Activity) hasGap(since time.Duration) bool {
	last := int(since / slot)
	if last >= slots {
		return true
	}
	empty := 0
	for i := range last + 1 {
		if a[i/64]&(1<<(i%64)) != 0 {
			empty = 0
			continue
		}
		if empty++; empty >= gapSlots {
			return true
		}
	}
	return false
}

// ActivityLog records when packets arrive.
type ActivityLog struct {
	start  time.Time // of the first slot; a step of the time of day does not change the difference to it
	newest int64     // slot of the newest packet
	past   Activity
}

// Record records a packet.
func (l *ActivityLog) Record(now time.Time) {
	if l.start.IsZero() {
		l.start = now
	}
	if current := int64(now.Sub(l.start) / slot); current > l.newest {
		l.past = l.past.shift(current - l.newest)
		l.newest = current
	}
	l.past[0] |= 1
}

// At returns the activity as of the time now.
func (l *ActivityLog) At(now time.Time) Activity {
	if l.start.IsZero() {
		return Activity{}
	}
	return l.past.shift(max(int64(now.Sub(l.start)/slot)-l.newest, 0))
}

// shift returns the activity n slots later.
func (a *Activity) shift(n int64) Activity {
	var shifted Activity
	if n >= slots {
		return shifted
	}
	words, bits := int(n/64), n%64
	for i := words; i < activityWords; i++ {
		shifted[i] = a[i-words] << bits
		if bits > 0 && i > words {
			shifted[i] |= a[i-words-1] >> (64 - bits)
		}
	}
	return shifted
}
