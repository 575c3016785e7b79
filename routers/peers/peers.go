// Package peers runs the peer UDP socket: membership probes, and caller datagrams forwarded to the gate that issued
// their token. The decisions are those of services/gossiper.
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
	"github.com/bluebelldyke/bluebelldyke/services/gossiper"
)

// forwardCapacity bounds the forwarded datagrams that wait for the gate: a burst of about 1.5 MB.
const forwardCapacity = 1024

// Conn is the part of *net.UDPConn that Peers uses.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Documents holds the revisioned documents of this daemon. Its methods must not block.
type Documents interface {
	// Versions returns what heartbeats tell others.
	Versions() packer.Versions
	// HandleVersions takes what the heartbeat of a peer tells.
	HandleVersions(from netip.AddrPort, v packer.Versions)
}

// HealthReports exchanges health reports inside the availability zone. Its methods must not block or call Peers.
type HealthReports interface {
	gossiper.Reporter
	// HandleReports takes the reports of a member.
	HandleReports(now time.Time, reports []packer.Report)
}

// NoticeHandler takes the notices of other daemons. Its method must not block.
type NoticeHandler interface {
	// HandleNotice takes the payload of a notice, which is a new slice.
	HandleNotice(from netip.AddrPort, payload []byte)
}

// GateForward is a caller datagram on its way to the gate that its token names.
type GateForward struct {
	Caller, Service netip.AddrPort
	Datagram        []byte
}

// Config holds what a Peers is made of.
type Config struct {
	Bind netip.AddrPort
	// Advertise is the address at which peers reach this daemon; the zero value means the bound address.
	Advertise        netip.AddrPort
	AvailabilityZone string
	Incarnation      uint64 // process start time in Unix ms
	Key              [packer.KeySize]byte
	// Seeds are advertised addresses of daemons to contact first.
	Seeds  []netip.AddrPort
	Logger *zap.Logger
	Meter  metric.Meter
	// Random must not be used by others.
	Random *rand.Rand
	// Conn replaces the socket; nil means a socket on Bind.
	Conn Conn
}

// Peers is the peer socket of one daemon. It is safe for concurrent use.
type Peers struct {
	self      netip.AddrPort
	conn      Conn
	packer    *packer.Packer
	logger    *zap.Logger
	forwarded chan GateForward
	counts    counts

	mu        sync.Mutex
	gossiper  *gossiper.Gossiper
	documents Documents
	reports   HealthReports
	notices   NoticeHandler
}

// New returns a Peers with its socket open.
func New(c Config) (*Peers, error) {
	conn := c.Conn
	if conn == nil {
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Bind))
		if err != nil {
			return nil, eris.Wrapf(err, "peer socket on %s: set peer.bind to a free address of this VM", c.Bind)
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
	sealing, err := packer.New(packer.Config{Key: c.Key, Self: c.Advertise, Incarnation: c.Incarnation})
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	p := &Peers{
		self: c.Advertise, conn: conn, packer: sealing, logger: c.Logger,
		forwarded: make(chan GateForward, forwardCapacity),
		gossiper: gossiper.New(gossiper.Config{
			Self: c.Advertise, AvailabilityZone: c.AvailabilityZone, Incarnation: c.Incarnation, Seeds: c.Seeds, Random: c.Random,
		}),
	}
	if err := p.counts.register(c.Meter, p.zoneSize); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return p, nil
}

// Address returns the advertised address.
func (p *Peers) Address() netip.AddrPort { return p.self }

// SetDocuments sets the documents whose versions the heartbeats carry. It is called before Run.
func (p *Peers) SetDocuments(d Documents) { p.documents = d }

// SetHealthReports sets the source and receiver of health reports. It is called before Run.
func (p *Peers) SetHealthReports(r HealthReports) {
	p.reports = r
	p.gossiper.SetReporter(r)
}

// SetNoticeHandler sets the receiver of notices. It is called before Run.
func (p *Peers) SetNoticeHandler(n NoticeHandler) { p.notices = n }

// Notify sends a notice to the daemon that advertises the address. True does not mean that it arrives.
func (p *Peers) Notify(to netip.AddrPort, payload []byte) bool {
	return p.send(time.Now(), to, &packer.Datagram{Kind: packer.KindNotice, Payload: payload})
}

// Run serves the socket until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return p.conn.Close()
	})
	g.Go(func() error { return p.read(ctx) })
	g.Go(func() error { return p.tick(ctx) })
	return g.Wait()
}

func (p *Peers) tick(ctx context.Context) error {
	ticker := time.NewTicker(gossiper.TickInterval)
	defer ticker.Stop()
	for {
		p.act(func(now time.Time) []gossiper.Action { return p.gossiper.Tick(now) })
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *Peers) read(ctx context.Context) error {
	buffer := make([]byte, packer.MaxSize+1)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			// An ICMP answer to an earlier datagram surfaces here; the socket stays usable.
			p.counts.readErrors.Add(1)
			continue
		}
		p.receive(buffer[:n])
	}
}

func (p *Peers) receive(b []byte) {
	d, err := p.packer.Unpack(time.Now(), b)
	if err != nil {
		p.counts.drop(err)
		return
	}
	p.counts.received(d.Kind, len(b))
	switch d.Kind {
	case packer.KindNotice:
		if p.notices != nil {
			p.notices.HandleNotice(d.Sender.Address, d.Payload)
		}
		return
	case packer.KindGateForward:
		select {
		case p.forwarded <- GateForward{Caller: d.Caller, Service: d.Service, Datagram: d.Payload}:
		default:
			p.counts.forwardsDropped.Add(1)
		}
		return
	}
	p.act(func(now time.Time) []gossiper.Action { return p.gossiper.Receive(now, d) })
}

// act runs one step of the gossiper and carries out its actions.
func (p *Peers) act(step func(now time.Time) []gossiper.Action) {
	var versions packer.Versions
	if p.documents != nil {
		versions = p.documents.Versions()
	}
	now := time.Now()
	p.mu.Lock()
	p.gossiper.SetVersions(versions)
	actions := step(now)
	p.mu.Unlock()
	for _, a := range actions {
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

func (p *Peers) send(now time.Time, to netip.AddrPort, d *packer.Datagram) bool {
	b, err := p.packer.Pack(make([]byte, 0, packer.MaxSize), now, to, d)
	if err != nil {
		p.counts.drop(err)
		return false
	}
	if _, err := p.conn.WriteToUDPAddrPort(b, to); err != nil {
		p.counts.writeErrors.Add(1)
		return false
	}
	p.counts.sent(d.Kind, len(b))
	return true
}

// ForwardToGate sends a caller datagram to the gate that its token names. It returns false when the datagram could not
// be sent; true does not mean that it arrives.
func (p *Peers) ForwardToGate(gate netip.AddrPort, f GateForward) bool {
	return p.send(time.Now(), gate, &packer.Datagram{
		Kind: packer.KindGateForward, Caller: f.Caller, Service: f.Service, Payload: f.Datagram,
	})
}

// GateForwards returns the caller datagrams that other daemons forwarded to this gate.
func (p *Peers) GateForwards() <-chan GateForward { return p.forwarded }

// Leave announces a planned stop. It is called once, while Run goes on.
func (p *Peers) Leave() {
	p.act(func(now time.Time) []gossiper.Action { return p.gossiper.Leave(now) })
}
