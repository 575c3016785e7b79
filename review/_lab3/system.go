// Command _lab3 runs a small deployment of the project's daemons for the scripts of the third review: each daemon is a process of its own, started
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
	"syscall"
	"time"

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

// daemon is a daemon process.
type daemon struct {
	name, zone, settings, logFile string
	target                        direct.Target

	mu  sync.Mutex
	cmd *exec.Cmd
}

// system is a running deployment.
type system struct {
	*recorder
	base     int
	dir      string
	ctx      context.Context
	cancel   context.CancelFunc
	store    *platformtest.Store
	zones    []string
	daemons  []*daemon
	fabrics  []*direct.Fabric // by zone
	version  uint64
	lastHost int
	wait     sync.WaitGroup
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
	s := &system{recorder: &recorder{started: time.Now(), file: file}, dir: dir, zones: zones, store: platformtest.New()}
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
		s.log("%s ended: %v", d.name, err)
		sleep(s.ctx, restartDelay)
	}
}

// start starts all daemons and waits until they are in rotation. Each zone has routers of its own.
func (s *system) start() error {
	byZone := make([][]direct.Target, len(s.zones))
	for _, d := range s.daemons {
		for i, z := range s.zones {
			if z == d.zone {
				byZone[i] = append(byZone[i], d.target)
			}
		}
		s.wait.Go(func() { s.run(d) })
	}
	for _, targets := range byZone {
		f := direct.NewFabric(targets)
		f.SetPanicShare(0.5)
		s.fabrics = append(s.fabrics, f)
		s.wait.Go(func() { _ = f.Run(s.ctx) })
	}
	ready := func() int {
		n := 0
		for _, f := range s.fabrics {
			n += f.ReadyCount()
		}
		return n
	}
	for end := time.Now().Add(15 * time.Second); ready() < len(s.daemons); sleep(s.ctx, 50*time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d daemons are ready", ready(), len(s.daemons))
		}
	}
	s.log("%d daemons are ready", len(s.daemons))
	return nil
}

// stop ends all processes and stand-ins.
func (s *system) stop() {
	s.cancel()
	for _, d := range s.daemons {
		d.mu.Lock()
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
		}
		d.mu.Unlock()
	}
	s.wait.Wait()
	_ = s.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
