package admitter

import (
	"net/netip"
	"time"
)

// Order ranks the requests of one priority that wait.
type Order uint8

// The orders.
const (
	// NewestInTime releases requests that can still be answered within their target latency first, and then late ones, the newest before
	// older ones in both cases. A request that waits near its target latency or its deadline misses it by the time of its answer, so
	// releasing the oldest first makes all of them miss it.
	NewestInTime Order = iota
	// EarliestTarget is NewestInTime with the oldest request in time first.
	EarliestTarget
	// LeastSlack releases by the time left until the deadline less the expected work.
	LeastSlack
	// ShortestWork releases by expected work, and then by arrival.
	ShortestWork
)

// shareFactor is how many times the mean number of requests per client a client may have in the queue before its further requests
// come after those of others.
const shareFactor = 2

// queue holds the requests that wait, at most as many as packets can be held.
type queue struct {
	items   []Request
	clients map[netip.Addr]int // number of requests by client
}

func (q *queue) push(r Request) {
	if q.clients == nil {
		q.clients = map[netip.Addr]int{}
	}
	q.items = append(q.items, r)
	q.clients[r.Client]++
}

func (q *queue) remove(i int) Request {
	r := q.items[i]
	q.items[i] = q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	if q.clients[r.Client]--; q.clients[r.Client] == 0 {
		delete(q.clients, r.Client)
	}
	return r
}

func (q *queue) index(id uint64) int {
	for i := range q.items {
		if q.items[i].ID == id {
			return i
		}
	}
	return -1
}

// hasPriority reports whether a request of the priority or of a higher one waits.
func (q *queue) hasPriority(priority int, classes []class) bool {
	for i := range q.items {
		if classes[q.items[i].Class].Priority <= priority {
			return true
		}
	}
	return false
}

func (q *queue) hasClass(class int) bool {
	for i := range q.items {
		if q.items[i].Class == class {
			return true
		}
	}
	return false
}

// exceedsShare reports whether a client has more requests in the queue than its share.
func (q *queue) exceedsShare(client netip.Addr) bool {
	return q.clients[client]*len(q.clients) > shareFactor*len(q.items)
}

// pick returns the index of the request to release first.
func (a *Admitter) pick(now time.Time) int {
	best := 0
	for i := range a.queue.items {
		if a.precedes(now, &a.queue.items[i], &a.queue.items[best]) {
			best = i
		}
	}
	return best
}

// worst returns the index of the request to release last.
func (a *Admitter) worst(now time.Time) int {
	worst := 0
	for i := range a.queue.items {
		if a.precedes(now, &a.queue.items[worst], &a.queue.items[i]) {
			worst = i
		}
	}
	return worst
}

// precedes reports whether request x is to be released before y.
func (a *Admitter) precedes(now time.Time, x, y *Request) bool {
	cx, cy := &a.classes[x.Class], &a.classes[y.Class]
	if cx.Priority != cy.Priority {
		return cx.Priority < cy.Priority
	}
	if a.config.Order == NewestInTime || a.config.Order == EarliestTarget {
		if inX, inY := a.inTime(now, x), a.inTime(now, y); inX != inY {
			return inX
		} else if inX {
			if ex, ey := a.queue.exceedsShare(x.Client), a.queue.exceedsShare(y.Client); ex != ey {
				return ey
			}
			if a.config.Order == NewestInTime {
				return x.ArrivedAt.After(y.ArrivedAt)
			}
			return x.ArrivedAt.Add(cx.TargetLatency).Before(y.ArrivedAt.Add(cy.TargetLatency))
		}
	}
	if ex, ey := a.queue.exceedsShare(x.Client), a.queue.exceedsShare(y.Client); ex != ey {
		return ey
	}
	if a.config.Order == ShortestWork && cx.expectedWork != cy.expectedWork {
		return cx.expectedWork < cy.expectedWork
	}
	if a.config.Order == NewestInTime {
		return a.slack(now, x) > a.slack(now, y)
	}
	return a.slack(now, x) < a.slack(now, y)
}

// inTime reports whether a request is expected to be answered within its target latency if it is forwarded now.
func (a *Admitter) inTime(now time.Time, r *Request) bool {
	return now.Sub(r.ArrivedAt)+a.expectedDelay(r.Class) <= a.classes[r.Class].TargetLatency
}

// slack returns the time left until the deadline less the expected time at the backend server.
func (a *Admitter) slack(now time.Time, r *Request) time.Duration {
	return a.classes[r.Class].Timeout - now.Sub(r.ArrivedAt) - a.expectedDelay(r.Class)
}
