package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/ring"
	"github.com/bluebelldyke/bluebelldyke/routers/checker"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
)

// countingListener counts the TCP payload bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Uint64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Accept wraps the connection.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

// Read counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// Write counts the bytes written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// measureChecks measures the health checks of one daemon by the number of backend servers and of daemons in the
// availability zone. The processor time includes the fake backend servers.
func measureChecks(seed uint64, out *table) error {
	out.row("daemons", "backend servers, own zone", "other zones", "assigned", "checks/s", "B/s both directions", "B/check",
		"processor % of a core (both sides)", "heap+stack B")
	for _, size := range [][3]int{{1, 50, 0}, {1, 200, 0}, {1, 800, 0}, {8, 36, 72}, {50, 400, 800}, {422, 3222, 25778}} {
		if err := checksOf(seed, size, out); err != nil {
			return err
		}
	}
	return nil
}

// fixedMembers is a membership view that does not change.
type fixedMembers []examiner.Member

// Checkers returns the view.
func (f fixedMembers) Checkers() []examiner.Member { return f }

func checksOf(seed uint64, size [3]int, out *table) error {
	var bytes, checks atomic.Uint64
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		checks.Add(1)
		fmt.Fprint(w, `{"service":"service-00001","state":"live","incarnation":1800000000000,"running":1,"queued":0,"slots":2,"feeds":700}`)
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running errgroup.Group
	members := make(fixedMembers, size[0])
	for i := range members {
		members[i] = examiner.Member{Address: address(100, i, 7100), Incarnation: 1}
	}
	listed, targets := fakeServers(size[1], size[2]), []settings.BackendServer{}
	assigned := ownChecks(members, listed)
	for _, s := range listed {
		t := settings.BackendServer{
			Service: s.Service, Address: s.Address, AvailabilityZone: s.AvailabilityZone, HealthAddress: address(127, 1, 1), // never asked
			Tunables: &settings.Tunables{},
		}
		if assigned[s.Address] {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return errors.Join(err, server.Close(), running.Wait())
			}
			running.Go(func() error {
				if err := server.Serve(countingListener{listener, &bytes}); !errors.Is(err, http.ErrServerClosed) {
					return err
				}
				return nil
			})
			t.HealthAddress = listener.Addr().(*net.TCPAddr).AddrPort()
		}
		targets = append(targets, t)
	}
	base := heapBytes()
	c, err := checker.New(checker.Config{
		Self: members[0].Address, AvailabilityZone: ownZone, Incarnation: 1, Members: members,
		Random: rand.New(rand.NewPCG(seed, 5)), HealthUpdates: ring.New[examiner.HealthUpdate](16),
	})
	if err != nil {
		return err
	}
	c.SetBackendServers(targets)
	running.Go(func() error { return c.Run(ctx) })
	time.Sleep(3 * time.Second)
	memory := heapBytes() - base
	beforeBytes, beforeChecks, processor := bytes.Load(), checks.Load(), processorTime()
	const span = 20 * time.Second
	time.Sleep(span)
	processor = processorTime() - processor
	sent, done := float64(bytes.Load()-beforeBytes), float64(checks.Load()-beforeChecks)
	out.row(size[0], size[1], size[2], len(assigned), done/span.Seconds(), sent/span.Seconds(), sent/done,
		100*processor.Seconds()/span.Seconds(), memory)
	cancel()
	return errors.Join(server.Close(), running.Wait())
}

// ownChecks returns the backend servers that the first member checks.
func ownChecks(members []examiner.Member, list []examiner.Server) map[netip.AddrPort]bool {
	x := examiner.New(examiner.Config{
		Self: members[0].Address, AvailabilityZone: ownZone, Random: rand.New(rand.NewPCG(1, 1)),
	})
	x.SetMembers(time.Now(), members)
	x.SetServers(time.Now(), list)
	own := make(map[netip.AddrPort]bool)
	for _, s := range list {
		if slices.Contains(x.Checkers(s.Address), members[0].Address) {
			own[s.Address] = true
		}
	}
	return own
}
