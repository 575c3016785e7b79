package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/ring"
	"github.com/bluebelldyke/bluebelldyke/routers/transceiver"
	"github.com/bluebelldyke/bluebelldyke/services/forwarder"
)

// writerRingCapacity is the capacity of the ring of each writer, in outputs.
const writerRingCapacity = 1024

// maxOutputAge is the age from which output is dropped instead of sent. Output reaches it only if the process is paused. New
// requests and feeds in it were placed according to a view that may be stale by now.
const maxOutputAge = time.Second

// maxOutputsPerFlush is the maximum number of outputs that a writer sends with one flush.
const maxOutputsPerFlush = 16

// output is a list of actions that both writers may read. The last one to release it returns it to the pool.
type output struct {
	actions        forwarder.Actions
	queuedAt       time.Time
	pendingWriters atomic.Int32
}

var outputPool = sync.Pool{New: func() any { return new(output) }}

func newOutput() *output {
	o := outputPool.Get().(*output)
	o.actions.Reset()
	return o
}

func (o *output) release() {
	if o.pendingWriters.Add(-1) == 0 {
		outputPool.Put(o)
	}
}

// writers holds the two tasks that send datagrams, one to callers and one to backend servers.
type writers struct {
	sockets     *sockets
	callerRing  *ring.Ring[*output]
	backendRing *ring.Ring[*output]
	staleDrops  atomic.Uint64 // outputs dropped because they had reached maxOutputAge
}

func newWriters(s *sockets) *writers {
	return &writers{sockets: s, callerRing: ring.New[*output](writerRingCapacity), backendRing: ring.New[*output](writerRingCapacity)}
}

// push passes o to the writers for which it has datagrams, so that the other one is not woken up.
func (w *writers) push(o *output) {
	callers, backend := o.destinations()
	// The count must be stored before the first writer can release o.
	writerCount := int32(0)
	for _, hasDatagrams := range []bool{callers, backend} {
		if hasDatagrams {
			writerCount++
		}
	}
	if writerCount == 0 {
		outputPool.Put(o)
		return
	}
	o.pendingWriters.Store(writerCount)
	o.queuedAt = time.Now()
	if callers && !w.callerRing.TryPush(o) {
		o.release()
	}
	if backend && !w.backendRing.TryPush(o) {
		o.release()
	}
}

// destinations reports whether o has datagrams for callers and for backend servers.
func (o *output) destinations() (callers, backend bool) {
	for i := range o.actions.List {
		switch o.actions.List[i].Kind {
		case forwarder.SendToCaller:
			callers = true
		case forwarder.SendToBackendServer:
			backend = true
		}
	}
	return callers, backend
}

// runCallers sends datagrams to callers until ctx ends.
func (w *writers) runCallers(ctx context.Context) error {
	return w.sendOutputs(ctx, w.callerRing, func(sender *transceiver.Sender, o *output) {
		for i := range o.actions.List {
			a := &o.actions.List[i]
			if a.Kind != forwarder.SendToCaller {
				continue
			}
			if socket := w.sockets.socketOf(a.Service); socket != nil {
				sender.Add(socket, a.To, a.Data)
			}
		}
	})
}

// runBackend sends datagrams to backend servers until ctx ends.
func (w *writers) runBackend(ctx context.Context) error {
	return w.sendOutputs(ctx, w.backendRing, func(sender *transceiver.Sender, o *output) {
		for i := range o.actions.List {
			a := &o.actions.List[i]
			if a.Kind == forwarder.SendToBackendServer {
				sender.Add(w.sockets.backend, a.To, a.Data)
			}
		}
	})
}

// sendOutputs sends the outputs of a ring until ctx ends. Outputs that wait in the ring together share system calls, so they are
// released only after the flush.
func (w *writers) sendOutputs(ctx context.Context, r *ring.Ring[*output], add func(*transceiver.Sender, *output)) error {
	sender := transceiver.NewSender()
	unflushed := make([]*output, 0, maxOutputsPerFlush)
	for {
		o, err := r.Pop(ctx)
		if err != nil {
			return nil
		}
		for more := true; more; {
			if time.Since(o.queuedAt) < maxOutputAge {
				add(sender, o)
			} else {
				w.staleDrops.Add(1)
			}
			unflushed = append(unflushed, o)
			if len(unflushed) == maxOutputsPerFlush {
				break
			}
			o, more = r.TryPop()
		}
		sender.Flush()
		for i, o := range unflushed {
			o.release()
			unflushed[i] = nil
		}
		unflushed = unflushed[:0]
	}
}
