// Package sequencer orders the packets of callers that arrive while a daemon cannot decide about them yet: it has no configuration or no
// backend list. The load is what callers send while all daemons of a fleet start together: retransmissions of everything that was lost
// meanwhile beside new requests. The package uses no sockets, goroutines or clock. A Sequencer is not safe for concurrent use.
package sequencer

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// What callers do with an opening packet: they retransmit it after 200 and 600 ms and give the attempt up after 1.4 s.
const (
	firstRetransmissionAge  = 200 * time.Millisecond
	secondRetransmissionAge = 600 * time.Millisecond
	openTimeout             = 1400 * time.Millisecond
)

// Config bounds a Sequencer. Packets beyond the bounds displace those whose loss costs least.
type Config struct{ MaxPackets, MaxBytes int }

// Counts counts packets by what became of them.
type Counts struct {
	Added    uint64
	Taken    uint64
	Replaced uint64 // by a newer copy, by the end of the flow, or by a new flow with the same addresses
	Expired  uint64 // could no longer be answered
	Evicted  uint64 // displaced because the Sequencer was full
}

// Packet is a packet to decide about now.
type Packet[T any] struct {
	Header  editor.Packet
	Payload T
}

// Sequencer holds packets with a payload of the caller of Add.
type Sequencer[T any] struct {
	config         Config
	flows          map[flowKey]*flow[T]
	routes         map[netip.AddrPort]directory.Route
	packets, bytes int
	counts         Counts
}

type flowKey struct{ caller, destination netip.AddrPort }

// flow holds the packets of a flow in the order of their sequence numbers.
type flow[T any] struct {
	key       flowKey
	packets   []entry[T]
	startedAt time.Time // of the request or of the attempt to open the flow, as far as its packets tell
	number    uint64    // in the order of the first packets
}

type entry[T any] struct {
	Packet[T]
	size int
}

// New returns an empty Sequencer.
func New[T any](c Config) *Sequencer[T] {
	return &Sequencer[T]{config: c, flows: map[flowKey]*flow[T]{}}
}

// SetRoutes sets the routes, from which the priority and the deadline of a request follow.
func (q *Sequencer[T]) SetRoutes(routes []directory.Route) {
	q.routes = make(map[netip.AddrPort]directory.Route, len(routes))
	for _, r := range routes {
		q.routes[r.Address] = r
	}
}

// Counts returns the numbers of packets so far.
func (q *Sequencer[T]) Counts() Counts { return q.counts }

// Len returns the number of packets that wait.
func (q *Sequencer[T]) Len() int { return q.packets }

// Add adds a packet that arrived at now and takes up size bytes.
func (q *Sequencer[T]) Add(now time.Time, p *editor.Packet, size int, payload T) {
	q.counts.Added++
	key := flowKey{p.Source, p.Destination}
	f := q.flows[key]
	if f == nil {
		f = &flow[T]{key: key, number: q.counts.Added}
		q.flows[key] = f
	}
	added := entry[T]{Packet[T]{*p, payload}, size}
	startedAt := now.Add(-openingAge(p))
	switch i := f.indexOfCopy(p); {
	case i >= 0:
		if startedAt.After(f.startedAt) {
			startedAt = f.startedAt
		}
		q.size(-1, -f.packets[i].size)
		q.counts.Replaced++
		f.packets[i] = added
	case p.Flags.SYN, p.Flags.FIN, p.Flags.RST: // a caller that ends its flow, or opens it anew, has given the request up
		q.counts.Replaced += uint64(len(f.packets))
		q.release(f)
		f.packets = append(f.packets[:0], added)
	case len(f.packets) > 0 && f.endsFlow():
		q.counts.Replaced++
		return
	default:
		if len(f.packets) > 0 && f.startedAt.Before(startedAt) {
			startedAt = f.startedAt
		}
		i, _ := slices.BinarySearchFunc(f.packets, p.SequenceNumber, func(e entry[T], sequence uint32) int {
			return cmp.Compare(int32(e.Header.SequenceNumber-sequence), 0)
		})
		f.packets = slices.Insert(f.packets, i, added)
	}
	f.startedAt = startedAt
	q.size(1, size)
	for q.packets > q.config.MaxPackets || q.bytes > q.config.MaxBytes {
		q.evict(now)
	}
}

// openingAge returns the age of an attempt to open a flow when p was sent, 0 for other packets. In an opening packet, AckNumber is the
// number of its retransmissions.
func openingAge(p *editor.Packet) time.Duration {
	switch {
	case !p.Flags.SYN || p.AckNumber == 0:
		return 0
	case p.AckNumber == 1:
		return firstRetransmissionAge
	}
	return secondRetransmissionAge
}

// indexOfCopy returns the index of the packet of which p is a copy, -1 if there is none.
func (f *flow[T]) indexOfCopy(p *editor.Packet) int {
	return slices.IndexFunc(f.packets, func(e entry[T]) bool {
		return e.Header.Flags == p.Flags && e.Header.SequenceNumber == p.SequenceNumber && (e.Header.DataLength > 0) == (p.DataLength > 0)
	})
}

// endsFlow reports whether the flow holds only its end.
func (f *flow[T]) endsFlow() bool {
	return f.packets[0].Header.Flags.FIN || f.packets[0].Header.Flags.RST
}

// startsWork reports whether a packet of the flow opens it or carries data, so that a backend server has to work.
func (f *flow[T]) startsWork() bool {
	return slices.ContainsFunc(f.packets, func(e entry[T]) bool { return e.Header.Flags.SYN || e.Header.DataLength > 0 })
}

func (q *Sequencer[T]) size(packets, bytes int) {
	q.packets, q.bytes = q.packets+packets, q.bytes+bytes
}

// release takes the packets of a flow out of the sum.
func (q *Sequencer[T]) release(f *flow[T]) {
	for i := range f.packets {
		q.size(-1, -f.packets[i].size)
	}
}

// priority returns the priority of the flow's route. Addresses without a route come last.
func (q *Sequencer[T]) priority(f *flow[T]) int {
	if r, ok := q.routes[f.key.destination]; ok {
		return r.Priority
	}
	return math.MaxInt
}

// isExpired reports whether the caller has given the attempt or the request up.
func (q *Sequencer[T]) isExpired(now time.Time, f *flow[T]) bool {
	if f.packets[0].Header.Flags.SYN {
		return now.Sub(f.startedAt) >= openTimeout
	}
	r, ok := q.routes[f.key.destination]
	return ok && r.Timeout > 0 && now.Sub(f.startedAt) >= r.Timeout && f.startsWork()
}

// compare orders flows: those without work for a backend server first, then by priority, then the newest first. Late requests would
// otherwise make new ones late too.
func (q *Sequencer[T]) compare(a, b *flow[T]) int {
	if workA, workB := a.startsWork(), b.startsWork(); workA != workB {
		if workB {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(q.priority(a), q.priority(b)), b.startedAt.Compare(a.startedAt), cmp.Compare(a.number, b.number))
}

// evict drops the flow whose loss costs least: one that has expired, otherwise the last one in the order.
func (q *Sequencer[T]) evict(now time.Time) {
	var last *flow[T]
	lastExpired := false
	for _, f := range q.flows {
		expired := q.isExpired(now, f)
		if last == nil || expired && !lastExpired || expired == lastExpired && q.compare(f, last) > 0 {
			last, lastExpired = f, expired
		}
	}
	if lastExpired {
		q.counts.Expired += uint64(len(last.packets))
	} else {
		q.counts.Evicted += uint64(len(last.packets))
	}
	q.release(last)
	delete(q.flows, last.key)
}

// Take returns the packets that can still be answered, in the order in which they should be handled, and empties the Sequencer.
func (q *Sequencer[T]) Take(now time.Time) []Packet[T] {
	flows := make([]*flow[T], 0, len(q.flows))
	for _, f := range q.flows {
		if q.isExpired(now, f) {
			q.counts.Expired += uint64(len(f.packets))
			continue
		}
		flows = append(flows, f)
	}
	slices.SortFunc(flows, q.compare)
	list := make([]Packet[T], 0, q.packets)
	for _, f := range flows {
		for i := range f.packets {
			list = append(list, f.packets[i].Packet)
		}
	}
	q.counts.Taken += uint64(len(list))
	clear(q.flows)
	q.packets, q.bytes = 0, 0
	return list
}
