package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// Ports relative to the base of a block. The harness listens on the base port itself, as a lock on the block. Processes of
// one kind share a port number and have different IP addresses.
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
	// Blocks lie below the ephemeral ports, which the kernel assigns from 32768 on by default.
	firstBlock, lastBlock = 10_000, 32_000
	maxBlockTries         = 200
)

// portBlock is a block of ports that no other harness on this VM uses while the lock is open.
type portBlock struct {
	base int
	lock net.Listener
}

func reservePortBlock() (*portBlock, error) {
	for range maxBlockTries {
		base := firstBlock + blockSize*rand.IntN((lastBlock-firstBlock)/blockSize)
		if l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", base)); err == nil {
			return &portBlock{base: base, lock: l}, nil
		}
	}
	return nil, eris.New("no free block of ports: stop other test runs")
}

// ReservePorts returns the base of a block of 64 ports that no other harness on this VM uses until the lock is closed.
func ReservePorts() (base int, lock net.Listener, err error) {
	b, err := reservePortBlock()
	if err != nil {
		return 0, nil, err
	}
	return b.base, b.lock, nil
}

func (b *portBlock) address(ip netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(b.base+port))
}

func (b *portBlock) close() { _ = b.lock.Close() }

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// IP addresses by kind of process: the third byte is the number of the availability zone or caller group, the last byte k the
// number of the process in it.
func balancerIP(zone, k int) netip.Addr { return netip.AddrFrom4([4]byte{127, 1, byte(zone), byte(k)}) }
func backendIP(zone, k int) netip.Addr  { return netip.AddrFrom4([4]byte{127, 2, byte(zone), byte(k)}) }
func callerIP(group, k int) netip.Addr  { return netip.AddrFrom4([4]byte{127, 3, byte(group), byte(k)}) }
func serviceIP(s int) netip.Addr        { return netip.AddrFrom4([4]byte{127, 0, 53, byte(s)}) }

// callerGroups is the number of caller groups that the settings tree names, group-1 and so on.
const callerGroups = 4
