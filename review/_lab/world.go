package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
	"github.com/bluebelldyke/bluebelldyke/platform/platformtest"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/linker"
)

// Ports relative to the base of a block.
const (
	portLock = iota
	portEntry
	portReadiness
	portPeer
	portStore
	portMetrics
	portHost
)

// The second byte of an address is the kind of its owner.
const (
	kindDaemon = iota + 21
	kindHost
	kindRequester
	kindLink
	kindStore
)

var zoneNames = []string{"souillac", "mahebourg", "bel-ombre"}

// world is a small deployment: daemons as processes, stand-ins for all else.
type world struct {
	base      int
	lock      net.Listener
	dir       string
	record    *record
	store     *platformtest.Store
	hosts     []*host
	daemons   []*daemon
	ended     chan struct{}
	cancel    context.CancelFunc
	ctx       context.Context
	version   uint64
	mu        sync.Mutex
	violation []string
	answers   atomic.Uint64
	totals    bool // the record has totals of each flow and host instead of lines for each request
}

// daemon is a process of the project with the links to it.
type daemon struct {
	name       string
	zone       int
	ip         netip.Addr
	entry      netip.AddrPort
	readiness  netip.AddrPort
	peer       *linker.DatagramLink
	storeLink  *linker.StreamLink
	settings   string
	process    *exec.Cmd
	inRotation bool
	misses     int
}

func (w *world) port(n int) uint16 { return uint16(w.base + n) }

func (w *world) address(kind, zone, number, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(kind), byte(zone), byte(number + 1)}), w.port(port))
}

// broken records that a rule was broken.
func (w *world) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.record.add("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violation = append(w.violation, text)
}

func newWorld(r *record) (*world, error) {
	w := &world{record: r, ended: make(chan struct{})}
	var err error
	for range 100 {
		w.base = 10_000 + 32*rand.IntN(600)
		if w.lock, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", w.base)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.store = platformtest.New()
	l, err := net.Listen("tcp4", w.storeAddress().String())
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, plainStore{w.store}) }()
	return w, nil
}

func (w *world) storeAddress() netip.AddrPort { return w.address(kindStore, 0, 0, portStore) }

// plainStore removes the header of the project's store stand-in that the pages do not name.
type plainStore struct{ http.Handler }

type plainWriter struct{ http.ResponseWriter }

func (p plainWriter) WriteHeader(status int) {
	p.Header().Del("Store-Era")
	p.ResponseWriter.WriteHeader(status)
}

func (p plainWriter) Write(b []byte) (int, error) {
	p.Header().Del("Store-Era")
	return p.ResponseWriter.Write(b)
}

func (p plainStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	p.Handler.ServeHTTP(plainWriter{rw}, r)
}

// configure writes a desired state.
func (w *world) configure(routes []directory.Route) {
	w.version += 3
	w.store.SetConfiguration(&directory.Configuration{Version: w.version, Routes: routes, IdleTimeout: 15 * time.Second})
	w.record.add("store: desired state %d acknowledged", w.version)
}

// addDaemon starts a daemon with the settings that the deploy template renders, apart from the address at which other daemons reach it.
func (w *world) addDaemon(zone, number int) error {
	d := &daemon{
		name: fmt.Sprintf("front-%s-%d", zoneNames[zone], number+1), zone: zone, ip: w.address(kindDaemon, zone, number, 0).Addr(),
		entry: w.address(kindDaemon, zone, number, portEntry), readiness: w.address(kindDaemon, zone, number, portReadiness),
	}
	var err error
	link, storeLink := w.address(kindLink, zone, number, portPeer), w.address(kindLink, zone, number, portStore)
	if d.peer, err = linker.NewDatagramLink(link, w.address(kindDaemon, zone, number, portPeer), 1); err != nil {
		return err
	}
	if d.storeLink, err = linker.NewStreamLink(storeLink, w.storeAddress()); err != nil {
		return err
	}
	go func() { _ = d.peer.Run(w.ctx) }()
	go func() { _ = d.storeLink.Run(w.ctx) }()
	d.settings = filepath.Join(w.dir, d.name+".toml")
	content := fmt.Sprintf(`requires-end = true
name = %q
availability-zone = %q
availability-zone-table = '''{"souillac": "mu-south", "mahebourg": "mu-south", "bel-ombre": "mu-south"}'''
[entry]
bind = %q
[readiness]
bind = %q
[metrics]
bind = %q
[peer]
bind = %q
advertise = %q
seed-list = ''' ["%s", "%s", "%s"]'''
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
[end]
`, d.name, zoneNames[zone], d.entry, d.readiness, w.address(kindDaemon, zone, number, portMetrics), w.address(kindDaemon, zone, number, portPeer), link,
		w.address(kindLink, 0, 0, portPeer), w.address(kindLink, 1, 0, portPeer), w.address(kindLink, 2, 0, portPeer), storeLink)
	if err := os.WriteFile(d.settings, []byte(content), 0o600); err != nil {
		return err
	}
	w.daemons = append(w.daemons, d)
	return w.start(d)
}

// start starts the process of a daemon with the command of the deploy file.
func (w *world) start(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.process = exec.Command("target/bluebelldyke", "direct")
	d.process.Env = append(os.Environ(), "BLUEBELLDYKE_BOOT="+d.settings)
	d.process.Stdout, d.process.Stderr = log, log
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return d.process.Start()
}

// terminate stops a daemon as the platform does, and waits for its end.
func (w *world) terminate(d *daemon) {
	w.record.add("platform: SIGTERM to %s", d.name)
	_ = d.process.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(6*time.Second, func() { _ = d.process.Process.Kill() })
	err := d.process.Wait()
	kill.Stop()
	w.record.add("platform: %s ended (%v)", d.name, err)
}

// route checks the readiness of the daemons until the end.
func (w *world) checkReadiness() {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		var all sync.WaitGroup
		for _, d := range w.daemons {
			all.Go(func() {
				ok := false
				if r, err := client.Get("http://" + d.readiness.String() + "/readiness"); err == nil {
					ok = r.StatusCode == http.StatusOK
					_ = r.Body.Close()
				}
				w.mu.Lock()
				defer w.mu.Unlock()
				switch {
				case ok:
					d.misses, d.inRotation = 0, true
				default:
					if d.misses++; d.misses >= 2 {
						d.inRotation = false
					}
				}
			})
		}
		all.Wait()
		select {
		case <-w.ended:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// choose returns the daemon to which the routers of a zone send the packets of a flow.
func (w *world) choose(zone int, k flowKey) *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	var best *daemon
	var bestScore uint64
	all, in := 0, 0
	for _, d := range w.daemons {
		if d.zone == zone {
			all++
			if d.inRotation {
				in++
			}
		}
	}
	flow := ranker.PairScore(ranker.Hash(k.requester), ranker.Hash(k.route))
	for _, d := range w.daemons {
		if d.zone != zone || !d.inRotation && 2*in >= all {
			continue
		}
		if score := ranker.PairScore(flow, ranker.Hash(d.entry)); best == nil || score > bestScore {
			best, bestScore = d, score
		}
	}
	return best
}

// waitReady waits until all daemons are in rotation.
func (w *world) waitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		w.mu.Lock()
		for _, d := range w.daemons {
			if d.inRotation {
				ready++
			}
		}
		w.mu.Unlock()
		if ready == len(w.daemons) {
			return nil
		}
	}
	return fmt.Errorf("not all daemons are in rotation")
}

// stop ends all processes and removes the temporary folder.
func (w *world) stop() {
	select {
	case <-w.ended:
	default:
		close(w.ended)
	}
	for _, d := range w.daemons {
		if d.process != nil && d.process.Process != nil {
			_ = d.process.Process.Kill()
			_, _ = d.process.Process.Wait()
		}
	}
	w.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// logs returns the lines of all daemons' logs that contain a text.
func (w *world) logs(text string) []string {
	var list []string
	for _, d := range w.daemons {
		b, _ := os.ReadFile(filepath.Join(w.dir, d.name+".log"))
		for _, line := range strings.Split(string(b), "\n") {
			if strings.Contains(line, text) {
				list = append(list, d.name+" "+line)
			}
		}
	}
	return list
}

// cutOf returns which senders do not reach a daemon while d is cut off.
func (w *world) cutOf(d, receiver *daemon) func(from netip.Addr) bool {
	return func(from netip.Addr) bool { return receiver == d || from.Unmap() == d.ip }
}

// addRequest records what happened to one request, unless the record has totals.
func (w *world) addRequest(format string, args ...any) {
	if !w.totals {
		w.record.add(format, args...)
	}
}
