// Command standins runs a small deployment of the project's daemons for the scripts in review/: each daemon is a process of its own, started
// with the command of deploy/system.toml. The store, the hosts, the callers and the routers are stand-ins in this process.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/platform"
	"github.com/bluebelldyke/bluebelldyke/platform/platformtest"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/direct"
)

// Ports, relative to the base of a run. All addresses are in 127.0.0.0/8.
const (
	portEntry = iota
	portReady
	portControl
	portStore
	portHost
	portCount
)

// Kinds of addresses: the second byte is 20 more.
const (
	kindDaemon = iota + 1
	kindHost
	kindRequester
	kindStore
)

// heartbeat is the interval of the heartbeats of hosts, as in the pages.
const heartbeat = 770 * time.Millisecond

// restartDelay is how long after its end a process is started again.
const restartDelay = 500 * time.Millisecond

// recorder writes record.txt.
type recorder struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// daemon is a daemon process and how often it has ended by itself.
type daemon struct {
	name, zone, settings, logFile string
	target                        direct.Target

	mu       sync.Mutex
	cmd      *exec.Cmd
	ends     int
	stopping chan struct{} // closed when the process has ended after a SIGTERM
}

// system is a running deployment.
type system struct {
	*recorder
	base       int
	dir        string
	ctx        context.Context
	cancel     context.CancelFunc
	store      *platformtest.Store
	zones      []string
	daemons    []*daemon
	fabric     *direct.Fabric
	violations *direct.Violations
	callers    []*direct.Callers
	hosts      []*direct.Backend
	silent     []*atomic.Bool // by host: it sends no heartbeats any more
	resets     atomic.Bool
	version    uint64
	lastHost   int
	wait       sync.WaitGroup
}

func newSystem(folder string, zones []string) (*system, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{recorder: &recorder{started: time.Now(), file: file}, dir: dir, zones: zones, store: platformtest.New(), violations: &direct.Violations{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if s.base, err = freePorts(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", s.address(kindStore, 0, 0, portStore).String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
	return s, nil
}

// freePorts returns the first of a block of ports that no socket uses at 127.0.0.1.
func freePorts() (int, error) {
	for base := 21000 + os.Getpid()%500*20; base < 60000; base += 20 {
		free := true
		for i := range portCount {
			l, err := net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", base+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// address returns the address of a part.
func (s *system) address(kind, zone, number, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(20 + kind), byte(zone), byte(number + 1)}), uint16(s.base+port))
}

// addHost starts a host stand-in with heartbeats.
func (s *system) addHost(service string, zone int, work time.Duration, routes ...netip.AddrPort) error {
	s.lastHost++
	allowed := map[netip.AddrPort]bool{}
	for _, r := range routes {
		allowed[r] = true
	}
	entry := directory.BackendServer{
		ID: directory.ServerID(0x7f000000 + s.lastHost*7919), Service: service, Address: s.address(kindHost, zone, s.lastHost, portHost),
		AvailabilityZone: s.zones[zone], Slots: 2, Incarnation: time.Now().UnixMilli(),
	}
	b, err := direct.NewBackend(direct.BackendConfig{
		Server: entry, Layout: platform.PacketLayout(), CallerPort: uint16(s.base + portEntry), ServiceTime: work, Violations: s.violations, ServiceAddresses: allowed,
	})
	if err != nil {
		return err
	}
	s.hosts = append(s.hosts, b)
	s.wait.Go(func() { _ = b.Run(s.ctx) })
	s.silent = append(s.silent, &atomic.Bool{})
	silent := s.silent[len(s.silent)-1]
	s.wait.Go(func() {
		for sequence := 0; s.ctx.Err() == nil && !silent.Load(); sequence++ {
			s.store.SetServer(&entry, sequence)
			sleep(s.ctx, heartbeat)
		}
	})
	return nil
}

// addDaemon writes the settings of a daemon, as the platform renders them from deploy/direct.toml.template.
func (s *system) addDaemon(zone, number int) error {
	d := &daemon{name: fmt.Sprintf("front-%s-%d", s.zones[zone], number+1), zone: s.zones[zone], target: direct.Target{
		Entry: s.address(kindDaemon, zone, number, portEntry), Readiness: s.address(kindDaemon, zone, number, portReady),
	}}
	d.settings, d.logFile = filepath.Join(s.dir, d.name+".toml"), filepath.Join(s.dir, d.name+".log")
	zones, seeds := "", ""
	for i, z := range s.zones {
		zones += fmt.Sprintf("%q,", z)
		seeds += fmt.Sprintf("%q,", s.address(kindDaemon, i, 0, portControl))
	}
	content := fmt.Sprintf(`name = %q
availability-zone = %q
availability-zones = [%s]
[entry]
bind = %q
[readiness]
bind = %q
[peer]
bind = %q
seeds = [%s]
key = "5f0c6b1fd7a04e3b8b6e5a9c1d2f3a4b5c6d7e8f90a1b2c3d4e5f60718293a4b"
[platform]
url = "http://%s"
[stop]
grace = "6s"
[bounds]
leaving = "3000ms"
configuration = "3000ms"
[admission]
enabled = true
[placement]
speed-digests = true
[health]
probe = true
[log]
level = "info"
format = "json"
budget = 20
bytes = 9000
`, d.name, d.zone, zones, d.target.Entry, d.target.Readiness, s.address(kindDaemon, zone, number, portControl), seeds, s.address(kindStore, 0, 0, portStore))
	if err := os.WriteFile(d.settings, []byte(content), 0o600); err != nil {
		return err
	}
	s.daemons = append(s.daemons, d)
	return nil
}

// run runs the process of a daemon and starts it again when it has ended, until the system stops.
func (s *system) run(d *daemon) {
	for s.ctx.Err() == nil {
		out, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			s.log("%s: %v", d.name, err)
			return
		}
		cmd := exec.Command("target/bluebelldyke", "direct")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BLUEBELLDYKE_BOOT=" + d.settings}
		cmd.Stdout, cmd.Stderr = out, out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		d.mu.Lock()
		err = cmd.Start()
		d.cmd = cmd
		d.mu.Unlock()
		if err != nil {
			s.log("%s does not start: %v", d.name, err)
			return
		}
		s.log("%s started", d.name)
		err = cmd.Wait()
		_ = out.Close()
		if s.ctx.Err() != nil {
			return
		}
		d.mu.Lock()
		if planned := d.stopping; planned != nil {
			d.stopping = nil
			close(planned)
			s.log("%s has stopped: %v", d.name, err)
		} else {
			d.ends++
			s.log("%s ended by itself: %v: %s", d.name, err, cause(d.logFile))
		}
		d.mu.Unlock()
		sleep(s.ctx, restartDelay)
	}
}

// start starts all daemons and waits until they are in rotation.
func (s *system) start() error {
	targets := make([]direct.Target, len(s.daemons))
	for i, d := range s.daemons {
		targets[i] = d.target
		s.wait.Go(func() { s.run(d) })
	}
	s.fabric = direct.NewFabric(targets)
	s.wait.Go(func() { _ = s.fabric.Run(s.ctx) })
	for end := time.Now().Add(15 * time.Second); s.fabric.ReadyCount() < len(targets); sleep(s.ctx, 50*time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d daemons are ready", s.fabric.ReadyCount(), len(targets))
		}
	}
	s.log("%d daemons are ready", len(targets))
	return nil
}

// call starts callers of a route.
func (s *system) call(number int, route netip.AddrPort, flows int) error {
	c, err := direct.NewCallers(direct.CallersConfig{
		Address: s.address(kindRequester, 0, number, 0).Addr(), Port: uint16(s.base + portEntry), Layout: platform.PacketLayout(), Fabric: s.fabric,
		Service: route, Flows: flows, RequestsPerFlow: 20, RequestPause: 100 * time.Millisecond, Deadline: 2 * time.Second,
		Violations: s.violations, ForbidResets: &s.resets,
	})
	if err != nil {
		return err
	}
	s.callers = append(s.callers, c)
	s.wait.Go(func() { _ = c.Run(s.ctx) })
	return nil
}

// publish writes a desired state with the next version.
func (s *system) publish(routes []directory.Route) {
	s.version += 3
	s.store.SetConfiguration(&directory.Configuration{Version: s.version, Routes: routes, IdleTimeout: 15 * time.Second})
	s.log("operator writes version %d with %d routes", s.version, len(routes))
}

// outcomes returns the counts of all callers.
func (s *system) outcomes() direct.Counts {
	var sum direct.Counts
	for _, c := range s.callers {
		n, _, _ := c.Outcomes()
		sum.Answered += n.Answered
		sum.Late += n.Late
		sum.Failed += n.Failed
		sum.Unopened += n.Unopened
		sum.Resets += n.Resets
	}
	return sum
}

// stop ends all processes and stand-ins.
func (s *system) stop() {
	s.cancel()
	for _, d := range s.daemons {
		d.mu.Lock()
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Kill()
		}
		d.mu.Unlock()
	}
	s.wait.Wait()
	_ = s.file.Close()
	_ = os.RemoveAll(s.dir)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// crash ends a host without a notice, and its entry after three heartbeats. It returns the callers whose flows were open there.
func (s *system) crash(host int) map[netip.AddrPort]bool {
	s.silent[host].Store(true)
	open := s.hosts[host].Crash()
	id := s.hosts[host].Server().ID
	time.AfterFunc(3*heartbeat, func() { s.store.RemoveServer(id) })
	return open
}
