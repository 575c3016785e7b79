package gatekeeper

// slotMillis is the length of one reservation slot in milliseconds. Reservations expire by whole slots, so a reservation
// is counted up to this much longer than its token is valid.
const slotMillis = 100

// reservations counts the gate tokens that are valid and unused, in slots by issue time. The slots form a ring buffer for one
// token lifetime, whose first and last slots may lie only partly within it.
type reservations struct {
	lifetime       int64 // of a token, in milliseconds
	slots          []reservationSlot
	total          int
	expiredThrough int64 // slots up to this number have expired
}

// reservationSlot counts the reservations that were granted in one interval of slotMillis.
type reservationSlot struct {
	number int64 // start of the interval in Unix milliseconds, divided by slotMillis
	count  int
}

func newReservations(lifetime int64) reservations {
	return reservations{lifetime: lifetime, slots: make([]reservationSlot, lifetime/slotMillis+2)}
}

func (r *reservations) slot(number int64) *reservationSlot {
	return &r.slots[number%int64(len(r.slots))]
}

// expire removes the reservations of tokens that have expired.
func (r *reservations) expire(now int64) {
	lastExpired := (now-r.lifetime)/slotMillis - 1
	if lastExpired <= r.expiredThrough {
		return
	}
	for i := range r.slots {
		if s := &r.slots[i]; s.number <= lastExpired && s.count > 0 {
			r.total -= s.count
			s.count = 0
		}
	}
	r.expiredThrough = lastExpired
}

// add counts a reservation that is granted now.
func (r *reservations) add(now int64) {
	n := now / slotMillis
	s := r.slot(n)
	if s.number != n {
		r.total -= s.count
		*s = reservationSlot{number: n}
	}
	s.count++
	r.total++
}

// consume removes the reservation of a token that was issued at issuedAt, in Unix milliseconds.
func (r *reservations) consume(issuedAt int64) {
	n := issuedAt / slotMillis
	if s := r.slot(n); s.number == n && s.count > 0 {
		s.count--
		r.total--
	}
}
