package generator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

const (
	// ServiceName is the name of the only service of a System.
	ServiceName = "ovenwatch"
	// startTimeout is the time limit for the start of a process.
	startTimeout = 10 * time.Second
	pollInterval = 20 * time.Millisecond
	// secret is the hex form of the token key and the fleet key.
	secret = "141b222930373e454c535a61686f767d848b9299a0a7aeb5bcc3cad1d8dfe6ed"
)

// ServiceID is the id of the service ServiceName.
var ServiceID = framer.ServiceID(ServiceName)

var (
	loopback = netip.MustParseAddr("127.0.0.1")
	entryIP  = netip.MustParseAddr("127.1.9.1")
)

// System is a balancer process with the platform stand-in and a group of EchoServers.
type System struct {
	// EntryAddress is the address to which callers send their datagrams.
	EntryAddress netip.AddrPort
	// Daemon is the balancer process, nil after PrepareSystem.
	Daemon *exec.Cmd
	// PlatformAdminAddress is the admin address of the platform stand-in.
	PlatformAdminAddress netip.AddrPort
	// MetricsAddress is the address of the balancer's metrics page.
	MetricsAddress netip.AddrPort

	// SettingsFile is the path of the file with the process settings of the balancer.
	SettingsFile string

	directory string
	platform  *exec.Cmd
}

// StartSystem starts the platform stand-in and the balancer from the directory binaries.
func StartSystem(binaries string, echo *EchoServers) (*System, error) {
	s, err := PrepareSystem(binaries, echo)
	if err != nil {
		return nil, err
	}
	s.Daemon, err = s.startProcess("daemon", filepath.Join(binaries, "bluebelldyke"), "serve", "--config", s.SettingsFile)
	if err == nil {
		err = eris.Wrapf(s.WaitServing(), "start the daemon:\n%s", s.daemonLog())
	}
	if err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// PrepareSystem starts only the platform stand-in, for a balancer that runs in this process.
func PrepareSystem(binaries string, echo *EchoServers) (*System, error) {
	s := &System{}
	var err error
	if s.directory, err = os.MkdirTemp("", "bluebelldyke-bench-"); err != nil {
		return nil, eris.Wrap(err, "create a temporary directory")
	}
	if err := s.prepare(binaries, echo); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// WaitServing waits until the balancer reports that it serves.
func (s *System) WaitServing() error { return waitUntil(s.isServing) }

// prepare starts the platform stand-in, publishes the settings and the VM list, and writes the process settings of the balancer.
func (s *System) prepare(binaries string, echo *EchoServers) error {
	var ports [6]netip.AddrPort
	for i := range ports {
		ip := loopback
		if i >= 2 {
			ip = entryIP
		}
		var err error
		if ports[i], err = freePort(ip); err != nil {
			return err
		}
	}
	platform, platformAdmin, peer, operator, metrics, entry := ports[0], ports[1], ports[2], ports[3], ports[4], ports[5]
	s.EntryAddress, s.PlatformAdminAddress, s.MetricsAddress = entry, platformAdmin, metrics
	var err error
	s.platform, err = s.startProcess("platform", filepath.Join(binaries, "platform"), "-listen", platform.String(), "-admin", platformAdmin.String())
	if err != nil {
		return err
	}
	if err := waitUntil(func() bool { _, err := s.PlatformCalls(); return err == nil }); err != nil {
		return eris.Wrap(err, "start the platform stand-in")
	}
	for name, content := range map[string]string{"settings": s.settingsDocument(echo), "vms": `{"vms":[]}`} {
		url := fmt.Sprintf("http://%s/v1/documents/%s", platformAdmin, name)
		if _, err := admin.Do(http.MethodPut, url, []byte(content)); err != nil {
			return err
		}
	}
	s.SettingsFile = filepath.Join(s.directory, "daemon.toml")
	settings := processSettings(platform, peer, operator, metrics)
	return eris.Wrap(os.WriteFile(s.SettingsFile, []byte(settings), 0o600), "write the process settings")
}

// serviceAddress returns the address of the service. The fabric would route it to the entry address.
func (s *System) serviceAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.53.1"), s.EntryAddress.Port())
}

func (s *System) settingsDocument(echo *EchoServers) string {
	var servers []string
	for i, a := range echo.Addresses() {
		servers = append(servers, fmt.Sprintf(`{ name = "b%d", address = "%s", health = "%s" }`, i, a, echo.HealthAddress(i)))
	}
	return fmt.Sprintf(`
seal-with = 1
[[token-keys]]
id = 1
secret = "%s"
[defaults]
connections = 1000000
[services.%s]
address = "%s"
[regions.mu-south]
places = ["souillac"]
zone-delay = "4ms"
caller-delay = "1ms"
[places.souillac.services.%s.groups.main]
backend-servers = [%s]
`, secret, ServiceName, s.serviceAddress(), ServiceName, strings.Join(servers, ", "))
}

func processSettings(platform, peer, operator, metrics netip.AddrPort) string {
	return fmt.Sprintf(`
availability-zone = "souillac"
[entry]
ip = "%s"
bind = "entry-ip"
[peer]
bind = "%s"
advertise = "%s"
key = "%s"
[platform]
url = "http://%s"
[operator]
bind = "%s"
[metrics]
bind = "%s"
[log]
level = "info"
format = "json"
`, entryIP, peer, peer, secret, platform, operator, metrics)
}

// startProcess starts a program in a process group of its own, with its output in a log file.
func (s *System) startProcess(name, program string, args ...string) (*exec.Cmd, error) {
	log, err := os.Create(filepath.Join(s.directory, name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create the log file")
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, args...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return command, eris.Wrapf(command.Start(), "start %s", name)
}

func (s *System) isServing() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s/healthz", s.MetricsAddress))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (s *System) daemonLog() string {
	b, _ := os.ReadFile(filepath.Join(s.directory, "daemon.log"))
	return string(b)
}

// PlatformCalls returns the number of calls that the platform stand-in has answered.
func (s *System) PlatformCalls() (uint64, error) {
	var calls admin.PlatformCalls
	err := admin.Get(s.PlatformAdminAddress, "/admin/calls", &calls)
	return calls.Total, err
}

// Keys of MetricSums.
const (
	// RingDrops is the number of batches and outputs that were dropped because a ring buffer was full.
	RingDrops = "drops"
	// ControlBytes is the number of bytes from and to peers and the platform.
	ControlBytes = "bytes"
)

// controlMetrics are the beginnings of the metrics that are added up as ControlBytes.
var controlMetrics = []string{
	"peer_bytes_total", `relay_events_total{event="bytes-`, `relay_events_total{event="platform-bytes"`,
}

// MetricSums reads the metrics page of the balancer and adds up the metrics of each key.
func (s *System) MetricSums() (map[string]float64, error) {
	b, err := admin.Do(http.MethodGet, fmt.Sprintf("http://%s/metrics", s.MetricsAddress), nil)
	if err != nil {
		return nil, err
	}
	sums := map[string]float64{}
	for line := range strings.Lines(string(b)) {
		var v float64
		if _, err := fmt.Sscan(line[strings.LastIndexByte(line, ' ')+1:], &v); err != nil {
			continue
		}
		if strings.HasPrefix(line, "bluebelldyke_ring_") && strings.Contains(line, "_drops") {
			sums[RingDrops] += v
		}
		for _, name := range controlMetrics {
			if strings.HasPrefix(line, name) {
				sums[ControlBytes] += v
			}
		}
	}
	return sums, nil
}

// Stop kills the processes and removes their files.
func (s *System) Stop() {
	for _, c := range []*exec.Cmd{s.Daemon, s.platform} {
		if c != nil && c.Process != nil {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}
	_ = os.RemoveAll(s.directory)
}

func waitUntil(condition func() bool) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return eris.Errorf("started process is not ready after %s: see its log", startTimeout)
}

// freePort returns a port that is free for both TCP and UDP. Another process may take it before it is used.
func freePort(ip netip.Addr) (netip.AddrPort, error) {
	for range 50 {
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
		if err != nil {
			return netip.AddrPort{}, eris.Wrap(err, "find a free port")
		}
		address := l.Addr().(*net.TCPAddr).AddrPort()
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address, nil
		}
	}
	return netip.AddrPort{}, eris.Errorf("no free port at %s", ip)
}

// healthStatus is the JSON document of a backend server's health endpoint.
type healthStatus struct {
	Service     string `json:"service"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Slots       int    `json:"slots"`
	Feeds       int    `json:"feeds"`
}

func (e *EchoServers) serveHealth(i int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(healthStatus{
			Service: ServiceName, State: "live", Incarnation: e.incarnation, Slots: 2, Feeds: int(e.servers[i].openFeeds.Load()),
		})
	}
}
