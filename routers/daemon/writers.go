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

// writerRing is the capacity of each writer's ring in outputs.
const writerRing = 1024

// staleAfter is the age from which output is dropped instead of sent. Output grows old only while the process is paused;
// new work in it was placed by a view that may be outdated by now.
const staleAfter = time.Second

// maxHeld is how many outputs a writer joins into one flush at most.
const maxHeld = 16

// output is a group of actions that both writers read. The last one to finish returns its memory.
type output struct {
	actions forwarder.Actions
	decided time.Time
	readers atomic.Int32
}

var outputs = sync.Pool{New: func() any { return new(output) }}

func newOutput() *output {
	o := outputs.Get().(*output)
	o.actions.Reset()
	return o
}

func (o *output) release() {
	if o.readers.Add(-1) == 0 {
		outputs.Put(o)
	}
}

// writers are the two duties that send datagrams: one towards callers, one towards backend servers.
type writers struct {
	sockets *sockets
	callers *ring.Ring[*output]
	backend *ring.Ring[*output]
	stale   atomic.Uint64 // outputs dropped because of their age
}

func newWriters(s *sockets) *writers {
	return &writers{sockets: s, callers: ring.New[*output](writerRing), backend: ring.New[*output](writerRing)}
}

// push hands o to the writers that have something to send; an idle writer is not woken.
func (w *writers) push(o *output) {
	callers, backend := o.targets()
	// The count is complete before the first writer can release o.
	readers := int32(0)
	for _, wanted := range []bool{callers, backend} {
		if wanted {
			readers++
		}
	}
	if readers == 0 {
		outputs.Put(o)
		return
	}
	o.readers.Store(readers)
	o.decided = time.Now()
	if callers && !w.callers.TryPush(o) {
		o.release()
	}
	if backend && !w.backend.TryPush(o) {
		o.release()
	}
}

// targets reports which writers have something to send.
func (o *output) targets() (callers, backend bool) {
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
	return w.drain(ctx, w.callers, func(sender *transceiver.Sender, o *output) {
		for i := range o.actions.List {
			a := &o.actions.List[i]
			if a.Kind != forwarder.SendToCaller {
				continue
			}
			if socket := w.sockets.service(a.Service); socket != nil {
				sender.Add(socket, a.To, a.Data)
			}
		}
	})
}

// runBackend sends datagrams to backend servers until ctx ends.
func (w *writers) runBackend(ctx context.Context) error {
	return w.drain(ctx, w.backend, func(sender *transceiver.Sender, o *output) {
		for i := range o.actions.List {
			a := &o.actions.List[i]
			if a.Kind == forwarder.SendToBackendServer {
				sender.Add(w.sockets.backend, a.To, a.Data)
			}
		}
	})
}

// drain sends the outputs of a ring until ctx ends. Outputs that wait together share system calls, so their memory is
// released only after the flush.
func (w *writers) drain(ctx context.Context, r *ring.Ring[*output], add func(*transceiver.Sender, *output)) error {
	sender := transceiver.NewSender()
	held := make([]*output, 0, maxHeld)
	for {
		o, err := r.Pop(ctx)
		if err != nil {
			return nil
		}
		for more := true; more; {
			if time.Since(o.decided) < staleAfter {
				add(sender, o)
			} else {
				w.stale.Add(1)
			}
			held = append(held, o)
			if len(held) == maxHeld {
				break
			}
			o, more = r.TryPop()
		}
		sender.Flush()
		for i, o := range held {
			o.release()
			held[i] = nil
		}
		held = held[:0]
	}
}
