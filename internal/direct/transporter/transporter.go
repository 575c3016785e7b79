// Package transporter carries the packets of callers to backend servers: it owns the socket and the Steerer of a daemon.
package transporter

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/recorder"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/modules/sleeper"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// prefixSize is the length of the backend server's id before each packet.
	prefixSize = 8
	// maxPacket is the largest datagram read; a packet has 1,231 bytes at most.
	maxPacket = 2048
	// receiveBuffer is the size of the socket's queue: half a second of packets at 2,000 a second.
	receiveBuffer = 1 << 20
	// findInterval is the time between two looks for findings that peers should know of.
	findInterval = 100 * time.Millisecond
	// pauseThreshold is the lateness of a tick that counts as a pause of the process, and freshWait how long opening
	// packets are dropped after one, or until the list changes: a backend server may have left meanwhile. A read takes a few
	// ms, and callers send copies after 200 and 600 ms.
	pauseThreshold = time.Second
	freshWait      = 300 * time.Millisecond
	// unknownInterval is the shortest time between two reads of the list that packets with an unknown tag cause. Their callers
	// send them again after 200 ms; a forged tag causes no more calls to the platform than this.
	unknownInterval = 5 * time.Second
	// sweepInterval is the time between two sweeps of what the Steerer remembers.
	sweepInterval = time.Second
)

// The views that packets need.
const (
	configurationView = 0
	listingView       = 1
	views             = 2
)

// Config holds what a Transporter is made of.
type Config struct {
	// Entry is the socket that Listen returned. A Transporter closes it at the end of Run.
	Entry   *net.UDPConn
	Layout  editor.Layout
	Steerer *steerer.Steerer
	// Recorder writes the decisions.
	Recorder *recorder.Recorder
	// Sleeper notices that the VM was suspended; nil switches that off.
	Sleeper *sleeper.Detector
}

// Transporter forwards packets.
type Transporter struct {
	c    Config
	conn *net.UDPConn
	port uint16 // of the entry socket

	started time.Time

	counts   counts
	latest   atomic.Int64 // when the latest packet was read, as time since the start of the process
	mu       sync.Mutex   // guards the Steerer, the Recorder and what follows
	arrivals [views]bool
	ready    chan struct{}
	findings func([]steerer.Finding)
	daemons  func() int
	onSleep  func(time.Duration)
	refresh  func()
	ticked   time.Time // when the process was last seen running
	unknown  time.Time // when a packet with an unknown tag last caused a read of the list
	distrust time.Time // until when new flows wait for a change of the list
}

// Listen binds the entry socket. A daemon that starts does this first: packets wait in the socket until it can decide about
// them, and those that arrive before are lost.
func Listen(bind netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on UDP %s: end the process that uses it or change entry.bind", bind)
	}
	_ = conn.SetReadBuffer(receiveBuffer) // a smaller queue only drops earlier
	return conn, nil
}

// New returns a Transporter of the entry socket.
func New(c Config) *Transporter {
	return &Transporter{
		c: c, conn: c.Entry, port: c.Entry.LocalAddr().(*net.UDPAddr).AddrPort().Port(), started: time.Now(),
		ready: make(chan struct{}),
	}
}

// SetConfiguration puts a configuration in force.
func (t *Transporter) SetConfiguration(c *directory.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.c.Steerer.SetConfiguration(now, c)
	t.c.Recorder.Configuration(now, c)
	t.arrived(configurationView)
}

// SetListing replaces the backend servers.
func (t *Transporter) SetListing(l *directory.Listing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.distrust = time.Time{}
	now := time.Now()
	t.c.Steerer.SetListing(now, l)
	t.c.Recorder.Listing(now, l)
	t.arrived(listingView)
}

// AddFindings takes the findings of a peer. The list is the Transporter's from then on.
func (t *Transporter) AddFindings(findings []steerer.Finding) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := findings[:0]
	for _, f := range findings {
		if t.c.Steerer.AddFinding(now, f) {
			changes = append(changes, f)
		}
	}
	t.c.Recorder.Findings("peer", changes) // peers repeat findings, which are worth a line once
}

// OnStale sets what asks for a fresh list: after a pause of the process, and when a packet's tag names a backend server that
// is not in the list. It is called before Run.
func (t *Transporter) OnStale(refresh func()) { t.refresh = refresh }

// tick notes that the process runs, and distrusts its view after a pause. The caller holds mu.
func (t *Transporter) tick(now time.Time) {
	if !t.ticked.IsZero() && now.Sub(t.ticked) > pauseThreshold {
		t.distrust = now.Add(freshWait)
		t.requestList()
	}
	t.ticked = now
}

func (t *Transporter) requestList() {
	if t.refresh != nil {
		t.refresh()
	}
}

// learn asks for a fresh list when a decision shows that the one held lacks a backend server. The caller holds mu.
func (t *Transporter) learn(now time.Time, d *steerer.Decision) {
	if d.Cause == steerer.UnknownTag && (t.unknown.IsZero() || now.Sub(t.unknown) >= unknownInterval) {
		t.unknown = now
		t.requestList()
	}
}

// OnFindings sets what takes the findings of this daemon. It is called before Run.
func (t *Transporter) OnFindings(take func([]steerer.Finding)) { t.findings = take }

// OnSleep sets what takes for how long the VM was suspended. It is called before Run.
func (t *Transporter) OnSleep(take func(time.Duration)) { t.onSleep = take }

// wake notices that the VM was suspended. New flows wait for a fresh list as after a pause, and ages are told to whoever keeps them.
func (t *Transporter) wake() {
	if t.c.Sleeper == nil {
		return
	}
	slept := t.c.Sleeper.SuspendedSinceLastCall()
	if slept == 0 {
		return
	}
	t.mu.Lock()
	t.distrust = time.Now().Add(freshWait)
	t.mu.Unlock()
	if t.onSleep != nil {
		t.onSleep(slept)
	}
}

// OnDaemons sets what tells how many daemons of the availability zone share its callers. It is called before Run.
func (t *Transporter) OnDaemons(count func() int) { t.daemons = count }

func (t *Transporter) arrived(view int) {
	t.arrivals[view] = true
	select {
	case <-t.ready:
	default:
		if t.arrivals == [views]bool{true, true} {
			close(t.ready)
		}
	}
}

// Ready is closed once packets can be decided about.
func (t *Transporter) Ready() <-chan struct{} { return t.ready }

// Quiet returns for how long no packet has arrived.
func (t *Transporter) Quiet() time.Duration {
	return time.Since(t.started) - time.Duration(t.latest.Load())
}

// Run forwards packets until ctx ends. Packets that arrive before the first views wait in the socket.
func (t *Transporter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	group.Go(func() error { return t.sweep(ctx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case <-t.ready:
		}
		return t.forward(ctx)
	})
	return group.Wait()
}

func (t *Transporter) sweep(ctx context.Context) error {
	ticker := time.NewTicker(findInterval)
	defer ticker.Stop()
	var swept time.Time
	reset := make([]byte, t.c.Layout.Size)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		t.wake()
		daemons := 1
		if t.daemons != nil {
			daemons = t.daemons()
		}
		t.mu.Lock()
		t.tick(now)
		t.c.Steerer.SetDaemons(daemons)
		findings := t.c.Steerer.TakeFindings(now)
		resets := t.c.Steerer.TakeResets(now)
		t.c.Recorder.Findings(recorder.OwnFinding, findings)
		for i := range resets {
			t.c.Recorder.Idle(&resets[i])
		}
		if now.Sub(swept) >= sweepInterval {
			swept = now
			t.c.Steerer.Sweep(now)
			t.c.Recorder.Flush(now)
		}
		t.mu.Unlock()
		for i := range resets {
			t.reset(reset, &resets[i].Packet)
		}
		t.counts.idleResets.Add(uint64(len(resets)))
		if len(findings) > 0 && t.findings != nil {
			t.findings(findings)
		}
	}
}

func (t *Transporter) forward(ctx context.Context) error {
	w := worker{buffer: make([]byte, prefixSize+maxPacket), reset: make([]byte, t.c.Layout.Size)}
	for {
		if err := t.step(&w); err != nil && ctx.Err() != nil {
			return nil
		}
	}
}

// worker holds what one loop needs, so that a packet allocates nothing.
type worker struct {
	buffer, reset []byte
	packet        editor.Packet
}

// step reads a packet, decides about it and carries the decision out. An error is that of the socket, such as the ICMP
// answer to an earlier packet.
func (t *Transporter) step(w *worker) error {
	n, _, err := t.conn.ReadFromUDPAddrPort(w.buffer[prefixSize:])
	if err != nil {
		return err
	}
	packet := w.buffer[prefixSize : prefixSize+n]
	if err := t.c.Layout.Parse(packet, &w.packet); err != nil {
		t.counts.malformed.Add(1)
		return nil
	}
	now := time.Now()
	t.latest.Store(int64(now.Sub(t.started)))
	t.mu.Lock()
	if now.Sub(t.ticked) > pauseThreshold {
		t.tick(now)
	}
	d := steerer.Decision{Cause: steerer.Paused}
	if !w.packet.Flags.SYN || !now.Before(t.distrust) {
		d = t.c.Steerer.Steer(now, &w.packet)
	}
	t.learn(now, &d)
	t.c.Recorder.Decision(now, &w.packet, &d)
	t.mu.Unlock()
	t.counts.decided(&d, now)
	switch d.Action {
	case steerer.Forward:
		binary.BigEndian.PutUint64(w.buffer, uint64(d.Server))
		t.c.Layout.SetTag(packet, d.Tag)
		_, _ = t.conn.WriteToUDPAddrPort(w.buffer[:prefixSize+n], d.Address) // a lost packet is sent again by its caller
	case steerer.Reset:
		t.reset(w.reset, &w.packet)
	}
	return nil
}

// reset sends the answer to p that resets its flow. Callers are reached at the port that their packets come to here.
func (t *Transporter) reset(buffer []byte, p *editor.Packet) {
	to := netip.AddrPortFrom(p.Source.Addr(), t.port)
	_, _ = t.conn.WriteToUDPAddrPort(t.c.Layout.Reset(buffer, p), to) // a caller that misses it repeats its packet
}
