// Package caller is the client library of bluebelldyke: it opens feeds and sends requests to one service through any
// of its balancers.
//
// Received datagrams are matched to calls by their 16-byte call ID alone. Late or duplicated datagrams for calls that have
// ended, or for a process that used the same port before, are dropped.
//
// The gate of a non-idempotent request is the balancer process that granted its reservation and runs it at most once.
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
	// defaultRetransmitDelay is the delay before the first retransmission. It is well above the round-trip time between regions,
	// because a balancer treats a retransmitted request without a token as a new one.
	defaultRetransmitDelay = 200 * time.Millisecond
	// defaultCancelTimeout is how long a canceled non-idempotent request waits for the gate's decision.
	defaultCancelTimeout = 250 * time.Millisecond
	// defaultIdleTimeout is the time without progress after which a feed is reopened.
	defaultIdleTimeout = 2 * time.Second
	// defaultMaxAnswerSize bounds the size of one answer in bytes.
	defaultMaxAnswerSize = 1 << 20
	// maxBackoffDelay caps the exponential backoff of retransmissions and fetches, before jitter.
	maxBackoffDelay = time.Second
	// receiveQueueSize bounds the received datagrams that wait to be handled by one call. When the queue is full, datagrams are
	// dropped; the protocol recovers them as if the network had lost them.
	receiveQueueSize = 256
	// receiveBufferSize is the size of the socket's receive buffer in bytes. The default of some systems is too small for bursts
	// of answer parts.
	receiveBufferSize = 1 << 20
	// readRetryDelay is the delay before the next read after a failed read of an open socket.
	readRetryDelay = 5 * time.Millisecond
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

// Config holds the settings of a Caller.
type Config struct {
	// Service is the name of the service.
	Service string
	// Address is the address of the service.
	Address netip.AddrPort
	// LocalAddr is the local address of the socket; the zero value means any.
	LocalAddr netip.AddrPort
	// Random is the source of call IDs and of the seed for jitter; nil means crypto/rand.
	Random io.Reader
	// Now returns the current time and must advance in real time; nil means time.Now.
	Now func() time.Time
	// Timeout bounds a request or the opening of a feed when the context has no deadline; 0 means 5 s.
	Timeout time.Duration
	// RetransmitDelay is the delay before the first retransmission; 0 means 200 ms.
	RetransmitDelay time.Duration
	// CancelTimeout is how long a canceled non-idempotent request waits for the gate's decision; 0 means 250 ms.
	CancelTimeout time.Duration
	// IdleTimeout is the time without progress after which a feed is reopened; 0 means 2 s. Progress is an accepted opening, a
	// new reading in order, or any reading while Next has not taken a full window of readings.
	IdleTimeout time.Duration
	// MaxAnswerSize bounds the size of one answer in bytes; 0 means 1 MiB.
	MaxAnswerSize int
}

func (c *Config) setDefaults() {
	if c.Random == nil {
		c.Random = crand.Reader
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	c.Address = netip.AddrPortFrom(c.Address.Addr().Unmap(), c.Address.Port())
	if c.MaxAnswerSize == 0 {
		c.MaxAnswerSize = defaultMaxAnswerSize
	}
	setDefault(&c.Timeout, defaultTimeout)
	setDefault(&c.RetransmitDelay, defaultRetransmitDelay)
	setDefault(&c.CancelTimeout, defaultCancelTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

type callID = [framer.CallIDSize]byte

// message is a received datagram with its own copies of token and payload, as the receive buffer is reused.
type message struct {
	kind    framer.Kind
	call    callID
	seq     uint64 // index of an answer part, or number of a reading
	count   uint32 // number of parts of an answer
	cause   framer.Cause
	token   []byte
	payload []byte
}

// Caller calls one service over one UDP socket. It is safe for concurrent use.
type Caller struct {
	config    Config
	serviceID uint64
	conn      *net.UDPConn
	group     *errgroup.Group
	done      <-chan struct{}
	cancel    context.CancelFunc

	mu     sync.Mutex // guards the fields below
	closed bool
	random *rand.Rand
	calls  map[callID]chan<- message // receive queues of the open calls
}

// New returns a Caller with an open socket.
func New(config Config) (*Caller, error) {
	config.setDefaults()
	if config.Service == "" || !config.Address.IsValid() {
		return nil, eris.New("Config.Service or Config.Address is missing: set both")
	}
	var seed [32]byte
	if _, err := io.ReadFull(config.Random, seed[:]); err != nil {
		return nil, eris.Wrap(err, "read the seed of the jitter from the random source")
	}
	conn, err := listen(config)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Caller{
		config: config, serviceID: framer.ServiceID(config.Service), conn: conn, group: new(errgroup.Group), done: ctx.Done(),
		cancel: cancel, random: rand.New(rand.NewChaCha8(seed)), calls: make(map[callID]chan<- message),
	}
	c.group.Go(c.receive)
	return c, nil
}

func listen(config Config) (*net.UDPConn, error) {
	network := "udp6"
	if config.Address.Addr().Unmap().Is4() {
		network = "udp4"
	}
	var local *net.UDPAddr
	if config.LocalAddr.IsValid() {
		local = net.UDPAddrFromAddrPort(config.LocalAddr)
	}
	conn, err := net.ListenUDP(network, local)
	if err != nil {
		return nil, eris.Wrap(err, "open the caller's socket: choose a free local address")
	}
	// The operating system may grant a smaller buffer; the protocol recovers datagrams that are lost because of it.
	_ = conn.SetReadBuffer(receiveBufferSize)
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
	// The expired read deadline ends the receive goroutine, while feeds can still send their close datagrams.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	err := c.group.Wait()
	if closeErr := c.conn.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrap(err, "close the caller's socket")
}

// receive reads datagrams until the Caller is closed. Invalid datagrams and those of other services are dropped.
func (c *Caller) receive() error {
	buf := make([]byte, framer.MaxSize+1)
	var d framer.Datagram
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			select {
			case <-c.done:
				return nil
			case <-time.After(readRetryDelay):
				continue
			}
		}
		if framer.Parse(buf[:n], &d) != nil || d.ServiceID != c.serviceID {
			continue
		}
		c.deliver(&d)
	}
}

// deliver queues a datagram for the call with its call ID. It drops the datagram if there is no such call or the queue is full.
func (c *Caller) deliver(d *framer.Datagram) {
	c.mu.Lock()
	queue := c.calls[d.CallID]
	c.mu.Unlock()
	if queue == nil {
		return
	}
	m := message{
		kind: d.Kind, call: d.CallID, seq: d.Seq, count: d.PartCount, cause: d.Cause,
		token: append([]byte(nil), d.Token...), payload: append([]byte{}, d.Payload...),
	}
	select {
	case queue <- m:
	default:
	}
}

// register returns a new call ID, whose datagrams go to the queue from now on.
func (c *Caller) register(queue chan<- message) (callID, error) {
	var id callID
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return id, ErrClosed
	}
	if _, err := io.ReadFull(c.config.Random, id[:]); err != nil {
		return id, eris.Wrap(err, "read a call ID from the random source")
	}
	if _, exists := c.calls[id]; exists {
		return id, eris.New("the random source repeats a call ID: use another source")
	}
	c.calls[id] = queue
	return id, nil
}

func (c *Caller) unregister(id callID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

// startFeed starts the goroutine of a feed, for which Close waits. It returns ErrClosed if the Caller is closed.
func (c *Caller) startFeed(run func() error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	c.group.Go(run)
	return nil
}

// send writes one datagram. It ignores errors: retransmission handles a datagram that was not sent like a lost one.
func (c *Caller) send(d *framer.Datagram) {
	d.ServiceID = c.serviceID
	b, err := framer.Append(make([]byte, 0, framer.MaxSize), d)
	if err != nil {
		return
	}
	_, _ = c.conn.WriteToUDPAddrPort(b, c.config.Address)
}

// jitter returns d plus or minus up to a quarter of it, so that callers do not retransmit at the same time.
func (c *Caller) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(float64(d) * (0.75 + c.random.Float64()/2))
}

// backoff computes the delays of an exponential backoff with jitter.
type backoff struct {
	caller *Caller
	delay  time.Duration
}

func (c *Caller) newBackoff(delay time.Duration) backoff { return backoff{caller: c, delay: delay} }

func (b *backoff) next() time.Duration {
	d := b.delay
	b.delay = min(2*d, maxBackoffDelay)
	return b.caller.jitter(d)
}

// deadline returns the context's deadline, or Config.Timeout from now if it has none.
func (c *Caller) deadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return c.config.Now().Add(c.config.Timeout)
}

// bitmapSize returns the length in bytes of a bitmap of count parts.
func bitmapSize(count uint32) int { return int((count + 7) / 8) }
