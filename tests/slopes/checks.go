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

// countingConn counts the bytes that it reads and writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Accept accepts a connection whose bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// measureChecks measures the health checks of one daemon by the number of daemons and backend servers in its availability zone
// and of backend servers in other ones. The CPU time includes that of the fake backend servers.
func measureChecks(seed uint64, out *table) error {
	out.addRow("daemons", "backend servers, own zone", "other zones", "assigned", "checks/s", "B/s both directions", "B/check",
		"processor % of a core (both sides)", "heap+stack B")
	for _, size := range [][3]int{{1, 50, 0}, {1, 200, 0}, {1, 800, 0}, {8, 36, 72}, {50, 400, 800}, {422, 3222, 25778}} {
		if err := measureChecksFor(seed, size, out); err != nil {
			return err
		}
	}
	return nil
}

// fixedMembers is a membership that does not change.
type fixedMembers []examiner.Member

// Checkers returns all members.
func (f fixedMembers) Checkers() []examiner.Member { return f }

// measureChecksFor measures one row of measureChecks. size holds the numbers of daemons, of backend servers in their
// availability zone and of those in other ones.
func measureChecksFor(seed uint64, size [3]int, out *table) error {
	var bytes, checks atomic.Uint64
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		checks.Add(1)
		fmt.Fprint(w, `{"service":"service-00001","state":"live","incarnation":1800000000000,"running":1,"queued":0,"slots":2,"feeds":700}`)
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var tasks errgroup.Group
	members := make(fixedMembers, size[0])
	for i := range members {
		members[i] = examiner.Member{Address: ipPort(100, i, 7100), Incarnation: 1}
	}
	servers, backendServers := newServers(size[1], size[2]), []settings.BackendServer{}
	assigned := assignedServers(members, servers)
	for _, s := range servers {
		backendServer := settings.BackendServer{
			Service: s.Service, Address: s.Address, AvailabilityZone: s.AvailabilityZone,
			HealthAddress: ipPort(127, 1, 1), // unused, unless another address replaces it below
			Tunables:      &settings.Tunables{},
		}
		if assigned[s.Address] {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return errors.Join(err, server.Close(), tasks.Wait())
			}
			tasks.Go(func() error {
				if err := server.Serve(countingListener{listener, &bytes}); !errors.Is(err, http.ErrServerClosed) {
					return err
				}
				return nil
			})
			backendServer.HealthAddress = listener.Addr().(*net.TCPAddr).AddrPort()
		}
		backendServers = append(backendServers, backendServer)
	}
	heapBefore := heapBytes()
	c, err := checker.New(checker.Config{
		Self: members[0].Address, AvailabilityZone: ownZone, Incarnation: 1, Members: members,
		Random: rand.New(rand.NewPCG(seed, 5)), HealthUpdates: ring.New[examiner.HealthUpdate](16),
	})
	if err != nil {
		return err
	}
	c.SetBackendServers(backendServers)
	tasks.Go(func() error { return c.Run(ctx) })
	time.Sleep(3 * time.Second)
	memory := heapBytes() - heapBefore
	beforeBytes, beforeChecks, cpu := bytes.Load(), checks.Load(), cpuTime()
	const span = 20 * time.Second
	time.Sleep(span)
	cpu = cpuTime() - cpu
	transferred, done := float64(bytes.Load()-beforeBytes), float64(checks.Load()-beforeChecks)
	out.addRow(size[0], size[1], size[2], len(assigned), done/span.Seconds(), transferred/span.Seconds(), transferred/done,
		100*cpu.Seconds()/span.Seconds(), memory)
	cancel()
	return errors.Join(server.Close(), tasks.Wait())
}

// assignedServers returns the backend servers whose health checks are assigned to the first member.
func assignedServers(members []examiner.Member, servers []examiner.Server) map[netip.AddrPort]bool {
	e := examiner.New(examiner.Config{
		Self: members[0].Address, AvailabilityZone: ownZone, Random: rand.New(rand.NewPCG(1, 1)),
	})
	e.SetMembers(time.Now(), members)
	e.SetServers(time.Now(), servers)
	assigned := make(map[netip.AddrPort]bool)
	for _, s := range servers {
		if slices.Contains(e.Checkers(s.Address), members[0].Address) {
			assigned[s.Address] = true
		}
	}
	return assigned
}
