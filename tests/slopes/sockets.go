package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/ring"
	"github.com/bluebelldyke/bluebelldyke/routers/transceiver"
)

// measureSockets measures the memory of UDP sockets, one for each service address and all at one receiver, as in the daemon.
// Half of them receive a datagram, so that memory that only used sockets need is included.
func measureSockets(out *table) error {
	out.addRow("")
	out.addRow("sockets", "heap+stack B", "B/socket", "resident B/socket")
	for _, count := range []int{100, 300, 1000, 9900} {
		heapBefore, residentBefore := heapBytes(), residentBytes()
		stop, err := openSockets(count)
		if err != nil {
			return errors.Join(err, stop())
		}
		time.Sleep(500 * time.Millisecond) // until the receiver has read all datagrams and waits
		used := heapBytes() - heapBefore
		out.addRow(count, used, used/float64(count), (residentBytes()-residentBefore)/float64(count))
		if err := stop(); err != nil {
			return err
		}
	}
	return nil
}

// openSockets opens count sockets and sends a datagram to every second one. stop closes them; it is valid after an error too.
func openSockets(count int) (stop func() error, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks errgroup.Group
	sockets := map[netip.AddrPort]*transceiver.Socket{}
	batches := ring.New[*transceiver.Batch](1)
	stop = func() error {
		cancel()
		err := tasks.Wait()
		for _, s := range sockets {
			err = errors.Join(err, s.Close())
		}
		return err
	}
	receiver, err := transceiver.NewReceiver()
	if err != nil {
		return stop, err
	}
	tasks.Go(func() error { return receiver.Run(ctx) })
	sender := transceiver.NewSender()
	for i := range count {
		s, err := transceiver.Listen(netip.MustParseAddrPort("127.0.0.1:0"), netip.AddrPort{})
		if err != nil {
			return stop, err
		}
		sockets[s.Address()] = s
		if err := receiver.Add(s, batches); err != nil {
			return stop, err
		}
		if i%2 == 0 {
			sender.Add(s, s.Address(), []byte("datagram"))
		}
	}
	sender.Flush()
	return stop, nil
}

// residentBytes returns the resident memory of this process, or 0 if the operating system does not provide it.
func residentBytes() float64 {
	debug.FreeOSMemory()
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident float64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * float64(os.Getpagesize())
}
