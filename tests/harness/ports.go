package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// The ports of a block, relative to its base. The base itself is held by the harness as a lock on the block. Processes
// of one kind differ in their IP addresses.
const (
	portPeerBind = iota + 1
	portPeerAdvertise
	portPlatformRelay
	portOperator
	portMetrics
	portPlatform
	portPlatformAdmin
	portFabricAdmin
	portBackend
	portBackendHealth
	portBackendAdmin
	portFirstService
)

const (
	// blockSize leaves room for the services after the fixed ports.
	blockSize = 64
	// Blocks lie below the ports that the kernel gives to sockets without a chosen port.
	firstBlock, lastBlock = 10_000, 32_000
	blockTries            = 200
)

// block is a block of ports that no other harness on this VM uses while it is held.
type block struct {
	base int
	lock net.Listener
}

func reserveBlock() (*block, error) {
	for range blockTries {
		base := firstBlock + blockSize*rand.IntN((lastBlock-firstBlock)/blockSize)
		if l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", base)); err == nil {
			return &block{base: base, lock: l}, nil
		}
	}
	return nil, eris.New("no free block of ports: stop other test runs")
}

// ReservePorts returns the base of a block of 64 ports that no other harness on this VM uses until the lock is closed.
func ReservePorts() (base int, lock net.Listener, err error) {
	b, err := reserveBlock()
	if err != nil {
		return 0, nil, err
	}
	return b.base, b.lock, nil
}

func (b *block) at(ip netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(b.base+port))
}

func (b *block) close() { _ = b.lock.Close() }

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

func balancerIP(zone, k int) netip.Addr { return netip.AddrFrom4([4]byte{127, 1, byte(zone), byte(k)}) }
func backendIP(zone, k int) netip.Addr  { return netip.AddrFrom4([4]byte{127, 2, byte(zone), byte(k)}) }
func callerIP(group, k int) netip.Addr  { return netip.AddrFrom4([4]byte{127, 3, byte(group), byte(k)}) }
func serviceIP(s int) netip.Addr        { return netip.AddrFrom4([4]byte{127, 0, 53, byte(s)}) }

// callerGroups is the number of caller groups that the settings tree names, group-1 and so on.
const callerGroups = 4
