// Package transporter forwards the packets of callers to backend servers. It owns the entry socket, on which the fabric delivers these
// packets, and the Steerer of a daemon.
package transporter

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/recorder"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/binder"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/modules/sleeper"
	"github.com/bluebelldyke/bluebelldyke/modules/supervisor"
	"github.com/bluebelldyke/bluebelldyke/services/estimator"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// prefixSize is the length of the prefix of a forwarded packet: the id of its backend server.
	prefixSize = 8
	// maxPacket is the size of the read buffer; a packet has 1,231 bytes at most.
	maxPacket = 2048
	// receiveBuffer is the size of the socket's receive buffer: half a second of packets at 2,000 a second.
	receiveBuffer = 1 << 20
	// tickInterval is the interval at which findings for peers are taken from the Steerer.
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the longest time since the latest tick that is not regarded as a pause of the process. After a pause,
	// opening packets are dropped for staleViewWait or until the next backend list, because a backend server may have left meanwhile. A
	// read of the list takes a few ms, and callers retransmit after 200 and 600 ms.
	pauseThreshold = time.Second
	staleViewWait  = 300 * time.Millisecond
	// backlogThreshold is the same for the age of packets: after a longer time, those that have waited in the socket are not answered with resets.
	backlogThreshold = 3 * tickInterval
	// unknownTagInterval is the shortest time between two reads of the backend list that packets with an unknown tag cause, so that forged
	// tags cause no more calls to the platform than this. Callers of genuine packets retransmit them after 200 ms.
	unknownTagInterval = 5 * time.Second
	// reportDelay is the delay of findings that do not wait for a tick. It limits the work to 500 rounds a second and lets evidence of
	// several flows be sent together.
	reportDelay = 2 * time.Millisecond
	// sweepInterval is the interval at which the Steerer drops expired state.
	sweepInterval = time.Second
)

// The parts of the view that are needed to decide about packets.
const (
	configurationPart = 0
	backendListPart   = 1
	viewParts         = 2
)

// Conn is the part of a UDP socket that a Transporter uses.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Config holds the dependencies of a Transporter.
type Config struct {
	// EntryConn is the entry socket. Run closes it when it ends.
	EntryConn Conn
	Layout    editor.Layout
	Steerer   *steerer.Steerer
	// Recorder logs the decisions and the changes of the view.
	Recorder *recorder.Recorder
	// Sleeper detects that the VM was suspended; nil disables the detection.
	Sleeper *sleeper.Detector
	// ReportAtOnce makes new evidence be reported at once instead of with the next tick.
	ReportAtOnce bool
	// Recoverer contains panics; nil contains none.
	Recoverer *recoverer.Recoverer
	// StartQueue makes packets that arrive before the daemon is ready wait in an order by priority and age instead of in the socket.
	StartQueue bool
}

// Transporter forwards packets of callers.
type Transporter struct {
	c    Config
	conn Conn
	port uint16 // of the entry socket

	started time.Time

	counts            counts
	lastPacket        atomic.Int64 // when the latest packet was read, as time since started
	mu                sync.Mutex   // guards the Steerer, the Recorder and the fields below
	inForce           documents
	repairedAt        time.Time // when the Steerer was last rebuilt after a panic at a packet or a tick
	repairPending     bool      // a later panic has not been followed by a rebuild yet
	stopping          bool      // a planned stop is under way
	receivedParts     [viewParts]bool
	ready             chan struct{}
	reportFindings    func([]steerer.Finding)
	self              netip.AddrPort
	zoneMembers       func() []netip.AddrPort
	zoneRank          func() int
	sendDigest        func([]estimator.Record)
	sendDelays        func([]steerer.AdmissionReport)
	onSuspension      func(time.Duration)
	onStaleList       func()
	wake              chan struct{} // makes runTicks take findings at once
	lastSweep         time.Time     // when the Steerer last dropped expired state
	lastRun           time.Time     // latest tick, or the packet with which a pause was detected
	lastUnknownTag    time.Time     // when a packet with an unknown tag last caused a read of the backend list
	dropOpeningsUntil time.Time     // or until a new backend list
	held              heldPackets
	queue             *startQueue   // nil if Config.StartQueue is off
	holdStarted       chan struct{} // wakes the release timer
}

// Listen binds the entry socket. A starting daemon does this first: packets that arrive earlier are lost, later ones wait in the
// socket's buffer until the daemon can decide about them. It waits while another process holds the address.
func Listen(ctx context.Context, bind netip.AddrPort, logger *zap.Logger) (*binder.Socket, error) {
	c := binder.Config{Bind: bind, Network: "udp4", Key: "entry.bind", Logger: logger}
	return binder.OpenSocket(ctx, c, func(conn *net.UDPConn) {
		_ = conn.SetReadBuffer(receiveBuffer) // with a smaller buffer, bursts only lose packets earlier
	})
}

// New returns a Transporter that forwards the packets of the entry socket once Run is called.
func New(c Config) *Transporter {
	return &Transporter{
		c: c, conn: c.EntryConn, port: c.EntryConn.LocalAddr().(*net.UDPAddr).AddrPort().Port(), started: time.Now(),
		ready: make(chan struct{}), wake: make(chan struct{}, 1), holdStarted: make(chan struct{}, 1),
		queue: newStartQueue(c.StartQueue),
	}
}

// SetConfiguration puts a configuration in force.
func (t *Transporter) SetConfiguration(c *directory.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	next := t.inForce
	next.configuration = func(now time.Time, s *steerer.Steerer) { s.SetConfiguration(now, c) }
	if !t.change(now, configurationBoundary, next.configuration, next) {
		return
	}
	t.c.Recoverer.Do(logBoundary, 0, func() { t.c.Recorder.LogConfigurationChanges(now, c) })
	t.queue.setRoutes(c)
	t.setReceived(configurationPart)
}

// SetBackendList puts a backend list in force.
func (t *Transporter) SetBackendList(l *directory.BackendList) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	next := t.inForce
	next.backendList = newBackendList(l, now)
	if !t.change(now, backendListBoundary, next.backendList, next) {
		return
	}
	t.dropOpeningsUntil = time.Time{}
	t.c.Recoverer.Do(logBoundary, 0, func() {
		t.c.Recorder.LogBackendListChanges(now, l)
		t.c.Recorder.LogSharedTags(t.c.Steerer.SharedTags())
	})
	t.setReceived(backendListPart)
}

// SetEvacuations puts the evacuated availability zones in force.
func (t *Transporter) SetEvacuations(zones []string, revokedAt map[string]time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	next := t.inForce
	next.evacuations = func(now time.Time, s *steerer.Steerer) { s.SetEvacuations(now, zones, revokedAt) }
	t.change(now, evacuationsBoundary, next.evacuations, next)
}

// AddFindings applies health findings of a peer. The slice belongs to the Transporter from then on.
func (t *Transporter) AddFindings(findings []steerer.Finding) {
	t.guarded(messageBoundary, func(now time.Time) {
		changed := findings[:0]
		for _, f := range findings {
			if t.c.Steerer.AddFinding(now, f) {
				changed = append(changed, f)
			}
		}
		t.reportSoon(len(changed) > 0)
		t.c.Recorder.LogFindings("peer", changed) // peers repeat findings, and only the first report is logged
	})
}

// Departures returns the backend servers whose entries were removed lately, newest first.
func (t *Transporter) Departures() (list []directory.Departure) {
	t.guarded(readBoundary, func(now time.Time) { list = t.c.Steerer.Departures(now) })
	return list
}

// AddDepartures takes the backend servers whose entries were removed lately from a peer.
func (t *Transporter) AddDepartures(list []directory.Departure) {
	t.guarded(messageBoundary, func(now time.Time) { t.c.Steerer.AddDepartures(now, list) })
}

// OnStaleBackendList sets the function that requests a read of the backend list: after a pause of the process, and when a packet's tag
// names a backend server that is not in the list. It is called before Run.
func (t *Transporter) OnStaleBackendList(refresh func()) { t.onStaleList = refresh }

// detectPause records that the process runs at now. If it was paused since the last call, opening packets are dropped and a read of the
// backend list is requested. The caller holds mu.
func (t *Transporter) detectPause(now time.Time) {
	pause := now.Sub(t.lastRun)
	if !t.lastRun.IsZero() && pause > backlogThreshold {
		t.c.Steerer.HandlePause(now)
	}
	if !t.lastRun.IsZero() && pause > pauseThreshold {
		t.dropOpeningsUntil = now.Add(staleViewWait)
		t.requestBackendList()
	}
	t.lastRun = now
}

// requestBackendList requests a read of the backend list.
func (t *Transporter) requestBackendList() {
	if t.onStaleList != nil {
		t.onStaleList()
	}
}

// refreshOnUnknownTag requests a read of the backend list if the decision shows that the list lacks a backend server. The caller holds mu.
func (t *Transporter) refreshOnUnknownTag(now time.Time, d *steerer.Decision) {
	if d.Cause == steerer.UnknownTag && (t.lastUnknownTag.IsZero() || now.Sub(t.lastUnknownTag) >= unknownTagInterval) {
		t.lastUnknownTag = now
		t.requestBackendList()
	}
}

// OnFindings sets the function that sends the findings of this daemon to its peers. It is called before Run.
func (t *Transporter) OnFindings(report func([]steerer.Finding)) { t.reportFindings = report }

// OnSuspension sets the function that is called with the duration of each suspension of the VM. It is called before Run.
func (t *Transporter) OnSuspension(handle func(time.Duration)) { t.onSuspension = handle }

// detectSuspension detects that the VM was suspended. Opening packets are then dropped until a new backend list arrives, as after a pause
// of the process, and the duration is reported, because ages that were measured with the clock are too low.
func (t *Transporter) detectSuspension() {
	if t.c.Sleeper == nil {
		return
	}
	suspended := t.c.Sleeper.SuspendedSinceLastCall()
	if suspended == 0 {
		return
	}
	t.guarded(tickBoundary, func(now time.Time) {
		t.dropOpeningsUntil = now.Add(staleViewWait)
		t.c.Steerer.HandlePause(now)
	})
	if t.onSuspension != nil {
		t.onSuspension(suspended)
	}
}

// SetZoneMembers sets the function that returns the addresses of the daemons of the availability zone, which share its callers, and the
// address of this daemon. It is called before Run.
func (t *Transporter) SetZoneMembers(self netip.AddrPort, members func() []netip.AddrPort) {
	t.self, t.zoneMembers = self, members
}

// setReceived records that a part of the view has arrived, and closes ready once all parts have. The caller holds mu.
func (t *Transporter) setReceived(part int) {
	t.receivedParts[part] = true
	select {
	case <-t.ready:
	default:
		if t.receivedParts == [viewParts]bool{true, true} {
			close(t.ready)
		}
	}
}

// Ready returns a channel that is closed once a configuration and a backend list have arrived, so that packets can be forwarded.
func (t *Transporter) Ready() <-chan struct{} { return t.ready }

// IdleTime returns the time since the latest packet arrived, or since New if none has.
func (t *Transporter) IdleTime() time.Duration {
	return time.Since(t.started) - time.Duration(t.lastPacket.Load())
}

// Run forwards packets until ctx ends. Packets that arrive before Ready is closed wait in the socket's buffer or in the start-up queue.
func (t *Transporter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	group.Go(supervisor.Guard(ctx, func() error { return t.runTicks(ctx) }))
	group.Go(supervisor.Guard(ctx, func() error { return t.runReleases(ctx) }))
	if t.queue != nil {
		group.Go(supervisor.Guard(ctx, func() error { return t.handleQueued(ctx) }))
	}
	group.Go(supervisor.Guard(ctx, func() error {
		if t.queue == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-t.ready:
			}
		}
		return t.forward(ctx)
	}))
	return group.Wait()
}

// runTicks does the periodic work: it detects pauses and suspensions, takes findings for the peers from the Steerer, and makes it drop
// expired state.
func (t *Transporter) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-t.wake:
			time.Sleep(reportDelay)
		}
		t.c.Recoverer.Do(tickBoundary, 0, t.tick)
	}
}

// due is what a tick has taken from the Steerer.
type due struct {
	findings []steerer.Finding
	digest   []estimator.Record
	delays   []steerer.AdmissionReport
}

// tick does the periodic work once.
func (t *Transporter) tick() {
	t.detectSuspension()
	var members []netip.AddrPort
	if t.zoneMembers != nil {
		members = t.zoneMembers()
	}
	rank := 0
	if t.zoneRank != nil {
		rank = t.zoneRank()
	}
	var d due
	t.guarded(tickBoundary, func(now time.Time) {
		if t.repairPending {
			t.repair(now)
		}
		d = t.takeDue(now, members, rank)
	})
	if len(d.findings) > 0 && t.reportFindings != nil {
		t.reportFindings(d.findings)
	}
	if len(d.digest) > 0 && t.sendDigest != nil {
		t.sendDigest(d.digest)
	}
	t.reportDelays(d.delays)
}

// takeDue takes from the Steerer what is due at a tick. The caller holds mu.
func (t *Transporter) takeDue(now time.Time, members []netip.AddrPort, rank int) due {
	t.detectPause(now)
	t.c.Steerer.SetZoneMembers(now, t.self, members)
	t.c.Steerer.SetZoneRank(rank)
	d := due{findings: t.c.Steerer.TakeFindings(now), digest: t.c.Steerer.TakeDigest(now), delays: t.c.Steerer.TakeAdmissionReports(now)}
	t.c.Recorder.LogFindings(recorder.FoundBySelf, d.findings)
	if now.Sub(t.lastSweep) >= sweepInterval {
		t.lastSweep = now
		t.c.Steerer.Sweep(now)
		t.c.Recorder.Flush(now)
		t.c.Recorder.LogAdmission(t.c.Steerer.AdmissionServices())
	}
	return d
}

// forward handles packets until ctx ends.
func (t *Transporter) forward(ctx context.Context) error {
	w := worker{buffer: make([]byte, prefixSize+maxPacket), reset: make([]byte, t.c.Layout.HeaderSize)}
	for {
		if err := t.handlePacket(&w); err != nil && ctx.Err() != nil {
			return nil
		}
	}
}

// worker holds the buffers of a forwarding loop, so that handling a packet allocates nothing.
type worker struct {
	buffer, reset []byte
	packet        editor.Packet
}

// handlePacket reads a packet, decides about it and carries the decision out. Errors are those of reading the socket, such as the ICMP
// answer to an earlier packet.
func (t *Transporter) handlePacket(w *worker) error {
	n, _, err := t.conn.ReadFromUDPAddrPort(w.buffer[prefixSize:])
	if err != nil {
		return err
	}
	t.handleDatagram(w, n)
	return nil
}

// handleDatagram handles the packet of n bytes in the buffer of w. After a panic the packet is dropped.
func (t *Transporter) handleDatagram(w *worker, n int) {
	defer func() { t.containPacket(recover(), n) }()
	if err := t.c.Layout.Parse(w.buffer[prefixSize:prefixSize+n], &w.packet); err != nil {
		t.counts.malformed.Add(1)
		return
	}
	now := time.Now()
	t.lastPacket.Store(int64(now.Sub(t.started)))
	if d, queued := t.decideOrQueue(now, w.buffer[:prefixSize+n], &w.packet); !queued {
		t.carry(now, w, w.buffer[:prefixSize+n], &d)
	}
}

// decideOrQueue decides about a packet, or adds it to the start-up queue while that is active.
func (t *Transporter) decideOrQueue(now time.Time, datagram []byte, p *editor.Packet) (d steerer.Decision, queued bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.queue.isActive() {
		t.queue.add(now, p, datagram)
		return d, true
	}
	return t.decide(now, datagram, p), false
}

// decide decides about a packet, whose datagram follows the room for the prefix. The caller holds mu.
func (t *Transporter) decide(now time.Time, datagram []byte, p *editor.Packet) steerer.Decision {
	if now.Sub(t.lastRun) > backlogThreshold {
		t.detectPause(now)
	}
	d := steerer.Decision{Cause: steerer.Paused}
	if !p.Flags.SYN || !now.Before(t.dropOpeningsUntil) {
		d = t.c.Steerer.Steer(now, p)
	}
	t.reportSoon(false)
	t.refreshOnUnknownTag(now, &d)
	t.c.Recorder.LogDecision(now, p, &d)
	if d.Action == steerer.Hold {
		t.hold(datagram, &d)
	}
	if len(t.held.requests) > 0 {
		t.release(now)
	}
	return d
}

// carry carries out the decision about the packet of w, which was read at readAt.
func (t *Transporter) carry(readAt time.Time, w *worker, datagram []byte, d *steerer.Decision) {
	t.counts.addDecision(d, readAt)
	switch d.Action {
	case steerer.Forward:
		binary.BigEndian.PutUint64(datagram, uint64(d.Server))
		t.c.Layout.SetTag(datagram[prefixSize:], d.Tag)
		_, _ = t.conn.WriteToUDPAddrPort(datagram, d.Address) // the caller retransmits a lost packet
	case steerer.Reset:
		t.sendReset(w.reset, &w.packet)
	}
}

// sendReset answers p with a packet that resets its flow. Callers receive packets at the port number of the entry socket.
func (t *Transporter) sendReset(buffer []byte, p *editor.Packet) {
	to := netip.AddrPortFrom(p.Source.Addr(), t.port)
	_, _ = t.conn.WriteToUDPAddrPort(t.c.Layout.BuildReset(buffer, p), to) // a caller that does not receive it retransmits its packet
}
