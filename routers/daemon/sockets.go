package daemon

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/binder"
	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/ring"
	"github.com/bluebelldyke/bluebelldyke/routers/transceiver"
)

// entryReceiverCount is the number of receivers that share the sockets of the service addresses. A single decision goroutine
// handles what they read, so that more receivers would mainly fill its ring faster.
const entryReceiverCount = 2

// openRetryInterval is the interval of the attempts to open the sockets of service addresses that are held by another process.
const openRetryInterval = 100 * time.Millisecond

// sockets holds one socket for each service address and one for all backend servers. The decision goroutine opens and closes them,
// the writers look them up.
type sockets struct {
	logger    *zap.Logger
	entry     configurer.Entry
	entryRing *ring.Ring[*transceiver.Batch]
	backend   *transceiver.Socket
	// receivers get the sockets of service addresses round-robin; openedCount is the number of sockets distributed so far.
	receivers   []*transceiver.Receiver
	openedCount int

	mu         sync.RWMutex
	byAddress  map[netip.AddrPort]*transceiver.Socket
	closeTimes map[netip.AddrPort]time.Time     // when to close the sockets of removed service addresses
	drainTimes map[netip.AddrPort]time.Duration // drain-time of the service addresses in the current view
	// unopened holds the service addresses of the current view whose sockets cannot be opened, such as those that another process holds.
	unopened map[netip.AddrPort]bool
	retryAt  time.Time // when they are tried again
}

func newSockets(logger *zap.Logger, entry configurer.Entry, entryRing *ring.Ring[*transceiver.Batch]) *sockets {
	return &sockets{
		logger: logger, entry: entry, entryRing: entryRing,
		byAddress: map[netip.AddrPort]*transceiver.Socket{}, closeTimes: map[netip.AddrPort]time.Time{},
		drainTimes: map[netip.AddrPort]time.Duration{}, unopened: map[netip.AddrPort]bool{},
	}
}

// bind opens the backend socket. It waits while the address is not on the VM yet.
func (s *sockets) bind(ctx context.Context) error {
	c := binder.Config{Bind: localAddress(s.entry), Network: "udp", Key: "entry.ip", Logger: s.logger}
	socket, err := binder.Bind(ctx, c, func() (*transceiver.Socket, error) { return transceiver.Listen(c.Bind, netip.AddrPort{}) })
	s.backend = socket
	return err
}

// start runs the receivers until ctx ends. The backend socket has a receiver of its own, so that datagrams from callers cannot delay those
// from backend servers.
func (s *sockets) start(ctx context.Context, group *errgroup.Group, backend *ring.Ring[*transceiver.Batch]) error {
	for i := range 1 + entryReceiverCount {
		r, err := transceiver.NewReceiver()
		if err != nil {
			return err
		}
		group.Go(func() error { return r.Run(ctx) })
		if i > 0 {
			s.receivers = append(s.receivers, r)
		} else if err := r.Add(s.backend, backend); err != nil {
			return err
		}
	}
	return nil
}

func (s *sockets) socketOf(address netip.AddrPort) *transceiver.Socket {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byAddress[address]
}

// update opens sockets for new service addresses and schedules the sockets of removed ones to be closed after their drain-time.
func (s *sockets) update(now time.Time, v *view.View) {
	current := make(map[netip.AddrPort]bool, len(v.Tree.Services))
	for _, service := range v.Tree.Services {
		current[service.Address] = true
		s.drainTimes[service.Address] = v.Tunables(service.Name).DrainTime
		delete(s.closeTimes, service.Address)
		if s.socketOf(service.Address) == nil {
			s.open(service.Address)
		}
	}
	maps.DeleteFunc(s.unopened, func(address netip.AddrPort, _ bool) bool { return !current[address] })
	s.mu.RLock()
	defer s.mu.RUnlock()
	for address := range s.byAddress {
		if _, ok := s.closeTimes[address]; !ok && !current[address] {
			s.closeTimes[address] = now.Add(s.drainTimes[address])
			delete(s.drainTimes, address)
		}
	}
}

func (s *sockets) open(address netip.AddrPort) {
	bind := address
	if s.entry.Bind == configurer.EntryIP {
		bind = netip.AddrPortFrom(s.entry.IP, address.Port())
	}
	socket, err := transceiver.Listen(bind, address)
	if err == nil {
		if err = s.receivers[s.openedCount%entryReceiverCount].Add(socket, s.entryRing); err != nil {
			_ = socket.Close()
		}
	}
	if err != nil {
		if !s.unopened[address] {
			s.logger.Error("service address not served: trying again", zap.Stringer("service-address", address), zap.Error(err))
		}
		s.unopened[address] = true
		return
	}
	delete(s.unopened, address)
	s.openedCount++
	s.logger.Info("serving", zap.Stringer("service-address", address), zap.Stringer("bind", bind))
	s.mu.Lock()
	s.byAddress[address] = socket
	s.mu.Unlock()
}

// retryUnopened tries to open the sockets that could not be opened before, at most once in each openRetryInterval.
func (s *sockets) retryUnopened(now time.Time) {
	if len(s.unopened) == 0 || now.Before(s.retryAt) {
		return
	}
	s.retryAt = now.Add(openRetryInterval)
	for _, address := range slices.SortedFunc(maps.Keys(s.unopened), netip.AddrPort.Compare) {
		s.open(address)
	}
}

// isServing reports whether the socket of any service address is open.
func (s *sockets) isServing() bool { return s.openedCount > 0 }

// closeDrained closes the sockets of removed service addresses whose drain-time is over.
func (s *sockets) closeDrained(now time.Time) {
	for address, closeTime := range s.closeTimes {
		if now.Before(closeTime) {
			continue
		}
		delete(s.closeTimes, address)
		s.mu.Lock()
		socket := s.byAddress[address]
		delete(s.byAddress, address)
		s.mu.Unlock()
		if socket != nil {
			_ = socket.Close()
		}
	}
}

// close closes all sockets.
func (s *sockets) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, socket := range s.byAddress {
		_ = socket.Close()
	}
	if s.backend != nil {
		_ = s.backend.Close()
	}
}
