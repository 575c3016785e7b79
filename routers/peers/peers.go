// Package peers owns the UDP socket between daemons. The socket carries gossip about membership, notices, and caller datagrams
// that are forwarded to the gate that issued their token. Package services/gossiper makes the decisions about membership.
package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/modules/supervisor"
	"github.com/bluebelldyke/bluebelldyke/services/gossiper"
)

// gateForwardCapacity limits the forwarded caller datagrams that wait to be processed here: a burst of about 1.5 MB.
const gateForwardCapacity = 1024

// readErrorPause is the pause after a failed read.
const readErrorPause = time.Millisecond

// Conn is the part of *net.UDPConn that Peers uses.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Documents provides the versions of the documents that this daemon holds, and receives those of peers. Its methods must
// not block.
type Documents interface {
	// Versions returns the document versions that heartbeats announce.
	Versions() packer.Versions
	// HandleVersions handles the document versions that the heartbeat of a peer announces.
	HandleVersions(from netip.AddrPort, v packer.Versions)
}

// HealthReports provides the health reports of this daemon, and receives those of other members of the availability zone.
// Its methods must not block or call Peers.
type HealthReports interface {
	gossiper.Reporter
	// HandleReports handles the health reports in a datagram of a member.
	HandleReports(now time.Time, reports []packer.Report)
}

// NoticeHandler handles the notices of other daemons. Its method must not block.
type NoticeHandler interface {
	// HandleNotice handles the payload of a notice. The payload is a new slice, so the handler may keep it.
	HandleNotice(from netip.AddrPort, payload []byte)
}

// GateForward is a caller datagram that is forwarded to the gate that issued its token.
type GateForward struct {
	Caller, Service netip.AddrPort
	Datagram        []byte
}

// Config holds the settings of a Peers.
type Config struct {
	Bind netip.AddrPort
	// Advertise is the address at which peers reach this daemon; the zero value means the bound address.
	Advertise        netip.AddrPort
	AvailabilityZone string
	Incarnation      uint64 // process start time in Unix ms
	Key              [packer.KeySize]byte
	// Seeds are the advertised addresses of daemons that are contacted first.
	Seeds []netip.AddrPort
	// Weak makes the others prefer other daemons for duties.
	Weak bool
	// FastDetection makes the failure detector find failed daemons sooner.
	FastDetection bool
	Logger        *zap.Logger
	Meter         metric.Meter
	// Recoverer contains panics; nil contains none.
	Recoverer *recoverer.Recoverer
	// Random must not be used elsewhere, because it is not safe for concurrent use.
	Random *rand.Rand
	// Conn is used instead of a new socket if it is set; nil means a UDP socket on Bind.
	Conn Conn
}

// Peers sends and receives datagrams between daemons. It is safe for concurrent use.
type Peers struct {
	self         netip.AddrPort
	conn         Conn
	packer       *packer.Packer
	logger       *zap.Logger
	recoverer    *recoverer.Recoverer
	gateForwards chan GateForward
	counters     counters

	mu        sync.Mutex
	gossiper  *gossiper.Gossiper
	documents Documents
	reports   HealthReports
	notices   NoticeHandler
	restarts  restartCounter
}

// New opens the socket and returns a Peers.
func New(c Config) (*Peers, error) {
	conn := c.Conn
	if conn == nil {
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Bind))
		if err != nil {
			return nil, eris.Wrapf(err, "open the peer socket on %s: set peer.bind to a free address of this VM", c.Bind)
		}
		conn = udp
		if !c.Advertise.IsValid() {
			c.Advertise = udp.LocalAddr().(*net.UDPAddr).AddrPort()
		}
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Meter == nil {
		c.Meter = noop.Meter{}
	}
	datagramPacker, err := packer.New(packer.Config{Key: c.Key, Self: c.Advertise, Incarnation: c.Incarnation})
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	p := &Peers{
		self: c.Advertise, conn: conn, packer: datagramPacker, logger: c.Logger, recoverer: c.Recoverer,
		gateForwards: make(chan GateForward, gateForwardCapacity),
		gossiper: gossiper.New(gossiper.Config{
			Self: c.Advertise, AvailabilityZone: c.AvailabilityZone, Incarnation: c.Incarnation, Seeds: c.Seeds, Weak: c.Weak, FastDetection: c.FastDetection, Random: c.Random,
		}),
	}
	if err := p.counters.registerMetrics(c.Meter, p.zoneSize, &p.restarts); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return p, nil
}

// Address returns the advertised address.
func (p *Peers) Address() netip.AddrPort { return p.self }

// SetDocuments sets the documents whose versions heartbeats announce. It must be called before Run.
func (p *Peers) SetDocuments(d Documents) { p.documents = d }

// SetHealthReports sets the source and receiver of health reports. It must be called before Run.
func (p *Peers) SetHealthReports(r HealthReports) {
	p.reports = r
	p.gossiper.SetReporter(r)
}

// SetNoticeHandler sets the receiver of notices. It must be called before Run.
func (p *Peers) SetNoticeHandler(n NoticeHandler) { p.notices = n }

// Notify sends a notice to the daemon that advertises the address. It returns false if the notice could not be sent; true
// does not mean that it arrives.
func (p *Peers) Notify(to netip.AddrPort, payload []byte) bool {
	return p.send(time.Now(), to, &packer.Datagram{Kind: packer.KindNotice, Payload: payload})
}

// Run sends and receives datagrams until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return p.conn.Close()
	})
	g.Go(supervisor.Guard(ctx, func() error { return p.runReads(ctx) }))
	g.Go(supervisor.Guard(ctx, func() error { return p.runTicks(ctx) }))
	return g.Wait()
}

func (p *Peers) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(gossiper.TickInterval)
	defer ticker.Stop()
	for {
		p.recoverer.Do("gossip-tick", 0, func() {
			p.runStep(func(now time.Time) []gossiper.Action { return p.gossiper.Tick(now) })
		})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *Peers) runReads(ctx context.Context) error {
	buffer := make([]byte, packer.MaxSize+1)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			// The error may be an ICMP error for an earlier datagram, after which the socket is still usable.
			p.counters.readErrors.Add(1)
			time.Sleep(readErrorPause) // a permanent error must not keep a core busy
			continue
		}
		p.recoverer.Do("peer-datagram", n, func() { p.handleDatagram(buffer[:n]) })
	}
}

func (p *Peers) handleDatagram(b []byte) {
	d, err := p.packer.Unpack(time.Now(), b)
	if err != nil {
		p.counters.countDrop(err)
		return
	}
	p.counters.countReceived(d.Kind, len(b))
	switch d.Kind {
	case packer.KindNotice:
		if p.notices != nil {
			p.notices.HandleNotice(d.Sender.Address, d.Payload)
		}
		return
	case packer.KindGateForward:
		select {
		case p.gateForwards <- GateForward{Caller: d.Caller, Service: d.Service, Datagram: d.Payload}:
		default:
			p.counters.gateForwardsDropped.Add(1)
		}
		return
	}
	p.runStep(func(now time.Time) []gossiper.Action { return p.gossiper.Receive(now, d) })
}

// runStep runs one step of the gossiper and executes the actions that it returns.
func (p *Peers) runStep(step func(now time.Time) []gossiper.Action) {
	var versions packer.Versions
	if p.documents != nil {
		versions = p.documents.Versions()
	}
	now := time.Now()
	for _, a := range p.stepLocked(now, versions, step) {
		switch a := a.(type) {
		case gossiper.Send:
			p.send(now, a.To, &a.Datagram)
		case gossiper.VersionsReceived:
			if p.documents != nil {
				p.documents.HandleVersions(a.From, a.Versions)
			}
		case gossiper.ReportsReceived:
			if p.reports != nil {
				p.reports.HandleReports(now, a.Reports)
			}
		case gossiper.MemberChanged:
			p.logger.Info("member changed", zap.Stringer("address", a.Member.Address),
				zap.String("availability-zone", a.Member.AvailabilityZone), zap.Uint64("incarnation", a.Member.Incarnation),
				zap.Stringer("state", a.Member.State), zap.Bool("leaving", a.Member.Leaving))
		}
	}
}

// stepLocked runs one step of the gossiper and returns its actions. A panic releases mu.
func (p *Peers) stepLocked(now time.Time, versions packer.Versions, step func(now time.Time) []gossiper.Action) []gossiper.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gossiper.SetVersions(versions)
	actions := step(now)
	for _, a := range actions {
		if changed, ok := a.(gossiper.MemberChanged); ok {
			p.restarts.add(&changed.Member)
		}
	}
	return actions
}

func (p *Peers) send(now time.Time, to netip.AddrPort, d *packer.Datagram) bool {
	b, err := p.packer.Pack(make([]byte, 0, packer.MaxSize), now, to, d)
	if err != nil {
		p.counters.countDrop(err)
		return false
	}
	if _, err := p.conn.WriteToUDPAddrPort(b, to); err != nil {
		p.counters.writeErrors.Add(1)
		return false
	}
	p.counters.countSent(d.Kind, len(b))
	return true
}

// ForwardToGate sends a caller datagram to the gate that issued its token. It returns false if the datagram could not
// be sent; true does not mean that it arrives.
func (p *Peers) ForwardToGate(gate netip.AddrPort, f GateForward) bool {
	return p.send(time.Now(), gate, &packer.Datagram{
		Kind: packer.KindGateForward, Caller: f.Caller, Service: f.Service, Payload: f.Datagram,
	})
}

// GateForwards returns the channel of caller datagrams that other daemons forwarded to this daemon as their gate.
func (p *Peers) GateForwards() <-chan GateForward { return p.gateForwards }

// Leave announces to other daemons that this one is about to stop. It must be called only once, and before the context of
// Run ends.
func (p *Peers) Leave() {
	p.runStep(func(now time.Time) []gossiper.Action { return p.gossiper.Leave(now) })
}
