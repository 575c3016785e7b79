// Package caller is the client library of bluebelldyke: it opens feeds and sends requests to one service through any
// of its balancers.
//
// A datagram belongs to a call only by its 16-byte call id, so late, duplicated and crossed datagrams of other calls, or
// of a former user of the port, are dropped.
package caller

import (
	"context"
	crand "crypto/rand"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

const (
	// defaultTimeout bounds a request or the opening of a feed when the context has no deadline.
	defaultTimeout = 5 * time.Second
	// defaultResend is the wait before the first retransmission. It is well above a round trip between regions, because
	// a retransmitted request without a token is new work for the balancer that receives it.
	defaultResend = 200 * time.Millisecond
	// defaultLinger is how long a canceled non-idempotent request waits for the gate's word.
	defaultLinger = 250 * time.Millisecond
	// defaultSilence is the time without a datagram after which a feed is reopened.
	defaultSilence = 2 * time.Second
	// defaultMaxAnswer bounds the size of one answer in bytes.
	defaultMaxAnswer = 1 << 20
	// maxResend caps the back-off of retransmissions.
	maxResend = time.Second
	// mailboxSize bounds the datagrams that wait for one call. Dropped datagrams are sent again by the protocol.
	mailboxSize = 256
	// socketBuffer is the receive buffer in bytes; the default of some systems drops bursts of answer parts.
	socketBuffer = 1 << 20
	// readRetry is the pause after a failed read of an open socket.
	readRetry = 5 * time.Millisecond
)

// Errors of this package.
var (
	ErrClosed   = eris.New("the caller or feed is closed: create a new one")
	ErrTooLarge = eris.New("payload is larger than 1000 bytes: send a smaller one")
)

// IsErrClosed reports whether err is an ErrClosed.
func IsErrClosed(err error) bool { return eris.Is(err, ErrClosed) }

// IsErrTooLarge reports whether err is an ErrTooLarge.
func IsErrTooLarge(err error) bool { return eris.Is(err, ErrTooLarge) }

// Config holds what a Caller is made of.
type Config struct {
	// Service is the name of the service.
	Service string
	// Address is the address of the service.
	Address netip.AddrPort
	// Local is the local address of the socket; the zero value means any.
	Local netip.AddrPort
	// Random is the source of call ids and jitter; nil means crypto/rand.
	Random io.Reader
	// Now returns the current time and must advance in real time; nil means time.Now.
	Now func() time.Time
	// Timeout bounds a request or the opening of a feed when the context has no deadline; 0 means 5 s.
	Timeout time.Duration
	// Resend is the wait before the first retransmission; 0 means 200 ms.
	Resend time.Duration
	// Linger is how long a canceled non-idempotent request waits for the gate's word; 0 means 250 ms.
	Linger time.Duration
	// Silence is the time without a datagram after which a feed is reopened; 0 means 2 s.
	Silence time.Duration
	// MaxAnswer bounds the size of one answer in bytes; 0 means 1 MiB.
	MaxAnswer int
}

func (c *Config) setDefaults() {
	if c.Random == nil {
		c.Random = crand.Reader
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	c.Address = netip.AddrPortFrom(c.Address.Addr().Unmap(), c.Address.Port())
	if c.MaxAnswer == 0 {
		c.MaxAnswer = defaultMaxAnswer
	}
	setDefault(&c.Timeout, defaultTimeout)
	setDefault(&c.Resend, defaultResend)
	setDefault(&c.Linger, defaultLinger)
	setDefault(&c.Silence, defaultSilence)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

type callID = [framer.CallIDSize]byte

// message is a received datagram with its own copies of token and payload.
type message struct {
	kind    framer.Kind
	call    callID
	seq     uint64
	count   uint32
	cause   framer.Cause
	token   []byte
	payload []byte
}

// Caller calls one service over one UDP socket. It is safe for concurrent use.
type Caller struct {
	config  Config
	service uint64
	conn    *net.UDPConn
	group   *errgroup.Group
	done    <-chan struct{}
	cancel  context.CancelFunc

	mu     sync.Mutex
	closed bool
	random *rand.Rand
	calls  map[callID]chan<- message
}

// New returns a Caller with an open socket.
func New(c Config) (*Caller, error) {
	c.setDefaults()
	if c.Service == "" || !c.Address.IsValid() {
		return nil, eris.New("service name or address is missing: set both")
	}
	var seed [32]byte
	if _, err := io.ReadFull(c.Random, seed[:]); err != nil {
		return nil, eris.Wrap(err, "read the seed of the jitter")
	}
	conn, err := listen(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Caller{
		config: c, service: framer.ServiceID(c.Service), conn: conn, group: new(errgroup.Group), done: ctx.Done(),
		cancel: cancel, random: rand.New(rand.NewChaCha8(seed)), calls: make(map[callID]chan<- message),
	}
	a.group.Go(a.receive)
	return a, nil
}

func listen(c Config) (*net.UDPConn, error) {
	network := "udp6"
	if c.Address.Addr().Unmap().Is4() {
		network = "udp4"
	}
	var local *net.UDPAddr
	if c.Local.IsValid() {
		local = net.UDPAddrFromAddrPort(c.Local)
	}
	conn, err := net.ListenUDP(network, local)
	if err != nil {
		return nil, eris.Wrap(err, "open the caller's socket: choose a free local address")
	}
	// The system may grant less than is asked for; lost datagrams are sent again.
	_ = conn.SetReadBuffer(socketBuffer)
	return conn, nil
}

// LocalAddr returns the local address of the socket.
func (c *Caller) LocalAddr() netip.AddrPort {
	return c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close ends all feeds and requests and closes the socket.
func (c *Caller) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	// Feeds send their close datagram before the socket closes. The expired read deadline ends the receiver.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	err := c.group.Wait()
	if e := c.conn.Close(); err == nil {
		err = e
	}
	return eris.Wrap(err, "close the caller's socket")
}

// receive hands each datagram to the call whose id it carries and drops all others.
func (c *Caller) receive() error {
	buf := make([]byte, framer.MaxSize+1)
	var d framer.Datagram
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			select {
			case <-c.done:
				return nil
			case <-time.After(readRetry):
				continue
			}
		}
		if framer.Parse(buf[:n], &d) != nil || d.ServiceID != c.service {
			continue
		}
		c.deliver(&d)
	}
}

func (c *Caller) deliver(d *framer.Datagram) {
	c.mu.Lock()
	box := c.calls[d.CallID]
	c.mu.Unlock()
	if box == nil {
		return
	}
	m := message{
		kind: d.Kind, call: d.CallID, seq: d.Seq, count: d.PartCount, cause: d.Cause,
		token: append([]byte(nil), d.Token...), payload: append([]byte{}, d.Payload...),
	}
	select {
	case box <- m:
	default:
	}
}

// register assigns a new call id to the mailbox.
func (c *Caller) register(box chan<- message) (callID, error) {
	var id callID
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return id, ErrClosed
	}
	if _, err := io.ReadFull(c.config.Random, id[:]); err != nil {
		return id, eris.Wrap(err, "read a call id")
	}
	if _, exists := c.calls[id]; exists {
		return id, eris.New("the random source repeats a call id: use another source")
	}
	c.calls[id] = box
	return id, nil
}

func (c *Caller) unregister(id callID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

// start runs f in the caller's group unless the caller is closed.
func (c *Caller) start(f func() error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	c.group.Go(f)
	return nil
}

// send writes one datagram. Errors are not returned: a datagram that is not sent is like one that is lost.
func (c *Caller) send(d *framer.Datagram) {
	d.ServiceID = c.service
	b, err := framer.Append(make([]byte, 0, framer.MaxSize), d)
	if err != nil {
		return
	}
	_, _ = c.conn.WriteToUDPAddrPort(b, c.config.Address)
}

// jitter returns d plus or minus up to a quarter of it, so that callers do not retransmit in step.
func (c *Caller) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(float64(d) * (0.75 + c.random.Float64()/2))
}

// backoff yields doubling, jittered waits.
type backoff struct {
	caller *Caller
	wait   time.Duration
}

func (c *Caller) backoff(first time.Duration) backoff { return backoff{caller: c, wait: first} }

func (b *backoff) next() time.Duration {
	d := b.wait
	b.wait = min(2*d, maxResend)
	return b.caller.jitter(d)
}

// deadline returns the context's deadline or the default one.
func (c *Caller) deadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return c.config.Now().Add(c.config.Timeout)
}

// bitmapSize is the length in bytes of a bitmap of count parts.
func bitmapSize(count uint32) int { return int((count + 7) / 8) }
