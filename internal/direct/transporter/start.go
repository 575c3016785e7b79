package transporter

import (
	"bytes"
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/sequencer"
)

// Bounds of the packets that wait until the daemon is ready. The smallest VMs have 80 MB of memory and get some ten packets a second;
// clients keep all requests of three seconds in retransmission, and a large packet takes up 1,231 bytes.
const (
	maxQueuedPackets = 2000
	maxQueuedBytes   = 1_000_000
	// queuedOverhead is the memory for a queued packet beside the datagram.
	queuedOverhead = 200
)

// startQueue holds the packets that arrive before the daemon is ready, with room for the prefix of a forwarded packet.
type startQueue struct {
	*sequencer.Sequencer[[]byte]
	ended bool // the daemon is ready
}

func newStartQueue(enabled bool) *startQueue {
	if !enabled {
		return nil
	}
	return &startQueue{Sequencer: sequencer.New[[]byte](sequencer.Config{MaxPackets: maxQueuedPackets, MaxBytes: maxQueuedBytes})}
}

// isActive reports whether packets wait in the queue.
func (q *startQueue) isActive() bool { return q != nil && !q.ended }

// add adds a datagram, behind the room for the prefix.
func (q *startQueue) add(now time.Time, p *editor.Packet, datagram []byte) {
	q.Add(now, p, len(datagram)+queuedOverhead, bytes.Clone(datagram))
}

// setRoutes sets the routes that the order depends on.
func (q *startQueue) setRoutes(c *directory.Configuration) {
	if q.isActive() {
		q.SetRoutes(c.Routes)
	}
}

// handleQueued handles the packets that have waited, once the daemon is ready. It holds mu until all are handled, so that later packets of
// a flow come after them. A stop before that drops the packets: nothing has run.
func (t *Transporter) handleQueued(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-t.ready:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queue.ended = true
	w := worker{reset: make([]byte, t.c.Layout.HeaderSize)}
	for _, queued := range t.queue.Take(time.Now()) {
		w.packet = queued.Header
		now := time.Now()
		if !t.c.Recoverer.Do(packetBoundary, len(queued.Payload)-prefixSize, func() {
			d := t.decide(now, queued.Payload, &w.packet)
			t.carry(now, &w, queued.Payload, &d)
		}) {
			t.repair(now)
		}
	}
	return nil
}

// registerStartMetrics registers the metrics of the start-up queue, none without one.
func (t *Transporter) registerStartMetrics(m metric.Meter) error {
	if t.queue == nil {
		return nil
	}
	_, err := m.Int64ObservableCounter("bluebelldyke.direct.start-queue", metric.WithDescription("packets that arrived before the daemon was ready, by outcome"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			t.mu.Lock()
			c := t.queue.Counts()
			t.mu.Unlock()
			for _, count := range [...]struct {
				outcome string
				n       uint64
			}{{"handled", c.Taken}, {"replaced", c.Replaced}, {"expired", c.Expired}, {"evicted", c.Evicted}} {
				o.Observe(int64(count.n), metric.WithAttributes(attribute.String("outcome", count.outcome)))
			}
			return nil
		}))
	return eris.Wrap(err, "metric direct.start-queue")
}
