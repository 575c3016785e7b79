// Package dialer probes backend servers: it opens a TCP connection to a backend server, and one to another that answers, and reports the outcome.
package dialer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/supervisor"
	"github.com/bluebelldyke/bluebelldyke/services/prober"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// timeout is how long a connection may take. A connection within a zone takes 1 ms, across zones 4 ms.
	timeout = 100 * time.Millisecond
	// referenceTimeout is how long a reference may take before the next one is tried.
	referenceTimeout = 30 * time.Millisecond
	// maxLateness is how late the timeout may be noticed. A daemon that was paused for longer may have missed the answer.
	maxLateness = 20 * time.Millisecond
	// referenceTTL is how long the outcome of a reference is used, so that the probes of many backend servers share one.
	referenceTTL = time.Second
	// queueSize is the number of probes that wait: those of one second.
	queueSize = 10
	// parallelProbes is the number of probes at a time; each takes 0.1 s at most.
	parallelProbes = 4
)

// Probe is a probe to carry out.
type Probe struct {
	Server      directory.ServerID
	Incarnation int64
	steerer.Reference
}

// Dialer carries probes out. It is safe for concurrent use.
type Dialer struct {
	queue  chan Probe
	report func(Probe, prober.Outcome)

	mu               sync.Mutex
	referenceAt      time.Time
	referenceOutcome prober.Outcome
	referenceService string
}

// New returns a Dialer that passes the outcomes to report.
func New(report func(Probe, prober.Outcome)) *Dialer {
	return &Dialer{queue: make(chan Probe, queueSize), report: report}
}

// Start queues a probe and reports whether there was room for it.
func (d *Dialer) Start(p Probe) bool {
	select {
	case d.queue <- p:
		return true
	default:
		return false
	}
}

// Run carries probes out until ctx ends.
func (d *Dialer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range parallelProbes {
		group.Go(supervisor.Guard(ctx, func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case p := <-d.queue:
					d.report(p, d.probe(ctx, p))
				}
			}
		}))
	}
	return group.Wait()
}

// probe connects to the backend server and, unless it accepts, uses the outcome of the reference.
func (d *Dialer) probe(ctx context.Context, p Probe) prober.Outcome {
	var group errgroup.Group
	reference := prober.Unknown
	group.Go(func() error { reference = d.probeReference(ctx, p.Reference); return nil })
	server := connect(ctx, p.Reference.Server, timeout)
	_ = group.Wait() // returns no error
	return prober.Combine(server, reference)
}

// probeReference connects to the references until one answers, unless one of the service has recently answered.
func (d *Dialer) probeReference(ctx context.Context, r steerer.Reference) prober.Outcome {
	d.mu.Lock()
	known, outcome := d.referenceService == r.Service && time.Since(d.referenceAt) < referenceTTL, d.referenceOutcome
	d.mu.Unlock()
	if known {
		return outcome
	}
	for _, address := range r.Addresses {
		outcome = connect(ctx, address, referenceTimeout)
		if outcome == prober.Accepted || outcome == prober.Refused {
			d.mu.Lock()
			d.referenceService, d.referenceAt, d.referenceOutcome = r.Service, time.Now(), outcome
			d.mu.Unlock()
			return outcome
		}
	}
	return prober.Unknown
}

// connect opens a connection and closes it at once.
func connect(ctx context.Context, address netip.AddrPort, timeout time.Duration) prober.Outcome {
	started := time.Now()
	dial := net.Dialer{Timeout: timeout}
	conn, err := dial.DialContext(ctx, "tcp", address.String())
	var netErr net.Error
	switch {
	case err == nil:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // leaves no connection in TIME_WAIT; without it the close takes a little longer
		}
		_ = conn.Close() // nothing was sent
		return prober.Accepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return prober.Refused
	case errors.As(err, &netErr) && netErr.Timeout() && ctx.Err() == nil && time.Since(started) < timeout+maxLateness:
		return prober.Unanswered
	}
	return prober.Unknown
}
