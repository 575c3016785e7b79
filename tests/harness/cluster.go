package harness

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

const (
	defaultGroup = "main"
	// startTimeout bounds the start of one process. A daemon serves only after it has received settings.
	startTimeout = 10 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// defaultGracePeriod bounds the graceful shutdown of a balancer. It exceeds the lifetime of gate tokens (10 s).
	defaultGracePeriod = 30 * time.Second
)

// places are the availability zones by number, from 1 on.
var places = []string{"souillac", "mahebourg", "bel-ombre"}

// Place returns the name of an availability zone.
func Place(zone int) string { return places[zone-1] }

// ServiceConfig describes one service of a cluster.
type ServiceConfig struct {
	Name    string
	PerZone []int    // number of backend servers in each availability zone
	Args    []string // additional flags of the backend server stand-in
}

// Config describes a cluster.
type Config struct {
	Binaries    string // directory with the built programs
	Directory   string // for logs and settings; empty: a temporary directory that Stop removes
	Seed        uint64
	Balancers   []int // number of balancers in each availability zone
	Services    []ServiceConfig
	Defaults    map[string]any // table of default values in the settings
	GracePeriod time.Duration  // of a graceful shutdown; 0 means 30 s
	LogLevel    string         // of the balancers; empty means info
}

// Cluster is a running platform and fabric with balancers and backend servers.
type Cluster struct {
	config          Config
	directory       string
	removeDirectory bool
	ports           *portBlock
	starter         *Starter
	peerKey         string

	platform, fabric           *Process
	platformAPI, platformAdmin netip.AddrPort
	fabricAdmin                netip.AddrPort

	mu              sync.Mutex
	random          *rand.Rand
	tree            Tree
	balancers       []*Balancer
	backends        []*Backend
	processes       []*Process
	lastHostNumbers map[string]int // last host number used, by kind of process and availability zone
	revisions       []Revision
}

// Revision is one published version of the settings.
type Revision struct {
	Number uint64
	At     time.Time
}

// Start starts a cluster and waits until all balancers serve.
func Start(c Config) (*Cluster, error) {
	if c.GracePeriod == 0 {
		c.GracePeriod = defaultGracePeriod
	}
	if c.LogLevel == "" {
		c.LogLevel = "info"
	}
	cluster := &Cluster{
		config: c, directory: c.Directory, random: rand.New(rand.NewPCG(c.Seed, 0x636c7573)), lastHostNumbers: map[string]int{},
		starter: NewStarter(),
	}
	err := cluster.start()
	if err != nil {
		err = eris.Wrapf(err, "start the cluster (logs in %s)", cluster.directory)
		cluster.removeDirectory = false // keep the logs
		cluster.Stop()
		return nil, err
	}
	return cluster, nil
}

func (c *Cluster) start() (err error) {
	if c.directory == "" {
		if c.directory, err = os.MkdirTemp("", "bluebelldyke-"); err != nil {
			return eris.Wrap(err, "create the directory of the cluster")
		}
		c.removeDirectory = true
	}
	if c.config.Binaries, err = filepath.Abs(c.config.Binaries); err != nil {
		return eris.Wrap(err, "resolve the directory of the programs")
	}
	if c.ports, err = reservePortBlock(); err != nil {
		return err
	}
	c.peerKey = NewTokenKey(0, c.random).Secret
	c.initTree()
	if err := c.startPlatform(); err != nil {
		return err
	}
	if err := c.startFabric(); err != nil {
		return err
	}
	for _, s := range c.config.Services {
		for zone, n := range s.PerZone {
			for range n {
				if _, err := c.startBackend(s.Name, zone+1); err != nil {
					return err
				}
			}
		}
	}
	return c.startBalancers()
}

func (c *Cluster) startBalancers() error {
	// All balancers get their addresses first, so that the first settings and VM list contain all of them.
	for zone, n := range c.config.Balancers {
		for range n {
			c.newBalancer(zone + 1)
		}
	}
	for _, p := range []func() error{c.publishSettings, c.publishVMs} {
		if err := p(); err != nil {
			return err
		}
	}
	for _, b := range c.Balancers() {
		if err := c.startBalancer(b); err != nil {
			return err
		}
	}
	for _, b := range c.Balancers() {
		if err := c.WaitServing(b); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) initTree() {
	t := Tree{
		SealWith: 1, TokenKeys: []TokenKey{NewTokenKey(1, c.random)}, Defaults: c.config.Defaults,
		Services: map[string]TreeService{}, Places: map[string]TreePlace{},
		CallerGroups: map[string][]string{}, Regions: map[string]TreeRegion{},
	}
	for _, s := range c.config.Services {
		t.Services[s.Name] = TreeService{Address: c.ServiceAddress(s.Name).String()}
	}
	used := places[:len(c.config.Balancers)]
	for _, p := range used {
		t.Places[p] = TreePlace{Services: map[string]TreePlaceService{}}
	}
	t.Regions["mu-south"] = TreeRegion{Places: slices.Clone(used), ZoneDelay: "4ms", CallerDelay: "1ms"}
	for g := 1; g <= callerGroups; g++ {
		t.CallerGroups["group-"+strconv.Itoa(g)] = []string{netip.PrefixFrom(callerIP(g, 0), 24).String()}
	}
	c.tree = t
}

// ServiceAddress returns the address of a service.
func (c *Cluster) ServiceAddress(name string) netip.AddrPort {
	i := slices.IndexFunc(c.config.Services, func(s ServiceConfig) bool { return s.Name == name })
	return c.ports.address(serviceIP(i+1), portFirstService+i)
}

func (c *Cluster) startProcess(name, program string, args ...string) (*Process, error) {
	p, err := c.starter.Start(c.directory, name, filepath.Join(c.config.Binaries, program), args...)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	return p, nil
}

func (c *Cluster) startPlatform() (err error) {
	c.platformAPI, c.platformAdmin = c.ports.address(loopback, portPlatform), c.ports.address(loopback, portPlatformAdmin)
	c.platform, err = c.startProcess("platform", "platform", "-listen", c.platformAPI.String(), "-admin", c.platformAdmin.String())
	if err != nil {
		return err
	}
	return c.awaitStart(c.platform, func() bool { _, err := c.PlatformCalls(); return err == nil })
}

func (c *Cluster) startFabric() error {
	c.fabricAdmin = c.ports.address(loopback, portFabricAdmin)
	f := admin.FabricConfig{Seed: c.config.Seed, Admin: c.fabricAdmin, Platform: c.platformAPI}
	for _, s := range c.config.Services {
		f.Services = append(f.Services, admin.FabricService{Name: s.Name, Address: c.ServiceAddress(s.Name)})
	}
	b, err := json.Marshal(f)
	if err != nil {
		return eris.Wrap(err, "encode the fabric's configuration")
	}
	path := filepath.Join(c.directory, "fabric.json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return eris.Wrap(err, "write the fabric's configuration")
	}
	if c.fabric, err = c.startProcess("fabric", "fabric", "-config", path); err != nil {
		return err
	}
	return c.awaitStart(c.fabric, func() bool { _, err := c.FabricCounters(); return err == nil })
}

// awaitStart waits until ok returns true for a started process. It fails when the process exits or startTimeout passes.
func (c *Cluster) awaitStart(p *Process, ok func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return nil
		}
		if !p.Running() {
			return eris.Errorf("%s exited during its start: %v; log:\n%s", p.Name, p.err, logTail(p.LogFile))
		}
	}
	return eris.Errorf("%s is not serving after %s; log:\n%s", p.Name, startTimeout, logTail(p.LogFile))
}

// logTail returns the end of a log file.
func logTail(path string) string {
	const maxBytes = 2000
	b, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-maxBytes):])
}

// Stop kills all processes of the cluster and releases its ports.
func (c *Cluster) Stop() {
	c.mu.Lock()
	processes := slices.Clone(c.processes)
	c.mu.Unlock()
	for _, p := range slices.Backward(processes) {
		p.Kill()
	}
	c.starter.Close()
	if c.ports != nil {
		c.ports.close()
	}
	if c.removeDirectory {
		_ = os.RemoveAll(c.directory)
	}
}

// Directory returns the directory with the logs and settings.
func (c *Cluster) Directory() string { return c.directory }

// KeepLogs makes Stop leave the directory in place.
func (c *Cluster) KeepLogs() { c.removeDirectory = false }

// EditSettings changes the settings tree and publishes it. It returns the new revision.
func (c *Cluster) EditSettings(edit func(*Tree)) (uint64, error) {
	c.mu.Lock()
	edit(&c.tree)
	c.mu.Unlock()
	if err := c.publishSettings(); err != nil {
		return 0, err
	}
	return c.LastRevision(), nil
}

// EditPlace changes the settings tree and publishes the document of one place alone. It returns the new revision of that
// document. The root document refers to it only if PlaceDocuments of the tree contains the place.
func (c *Cluster) EditPlace(place string, edit func(*Tree)) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	edit(&c.tree)
	b, err := c.tree.encodePlace(place)
	if err != nil {
		return 0, err
	}
	return c.PutDocument("settings-"+place, 0, b)
}

// LastRevision returns the revision of the settings that were published last.
func (c *Cluster) LastRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions[len(c.revisions)-1].Number
}

// publishSettings publishes the current tree. The lock is held during the call, so that revisions have the order of the edits.
func (c *Cluster) publishSettings() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, err := c.tree.encode()
	if err != nil {
		return err
	}
	n, err := c.PutDocument("settings", 0, b)
	if err != nil {
		return err
	}
	c.revisions = append(c.revisions, Revision{Number: n, At: time.Now()})
	return nil
}

func (c *Cluster) publishVMs() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var vms []VM
	for _, b := range c.balancers {
		vms = append(vms, VM{Address: b.PeerAddress.String(), AvailabilityZone: Place(b.Zone), Role: "balancer", State: vmState(b.IsLeaving())})
	}
	for _, b := range c.backends {
		vms = append(vms, VM{Address: b.Address.String(), AvailabilityZone: Place(b.Zone), Role: "backend-server", State: vmState(b.vmLeaving)})
	}
	content, err := encodeVMs(vms)
	if err != nil {
		return err
	}
	_, err = c.PutDocument("vms", 0, content)
	return err
}

func vmState(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "live"
}

// PutDocument stores a document on the platform, at the given revision or, for 0, at the next one, and returns its revision.
func (c *Cluster) PutDocument(name string, revision uint64, content []byte) (uint64, error) {
	query := url.Values{}
	if revision != 0 {
		query.Set("revision", strconv.FormatUint(revision, 10))
	}
	return c.putDocument(name, query, content)
}

// PutSettingsForZone publishes an edited copy of the settings tree to the balancers of one availability zone only. Other
// balancers may hold different content under the same revision. The tree of the cluster does not change.
func (c *Cluster) PutSettingsForZone(zone int, revision uint64, edit func(*Tree)) error {
	c.mu.Lock()
	b, err := c.tree.encode()
	c.mu.Unlock()
	if err != nil {
		return err
	}
	var tree Tree
	if err := toml.Unmarshal(b, &tree); err != nil {
		return eris.Wrap(err, "copy the settings tree")
	}
	edit(&tree)
	if b, err = tree.encode(); err != nil {
		return err
	}
	callers := netip.PrefixFrom(balancerIP(zone, 0), 24)
	_, err = c.putDocument("settings", url.Values{
		"revision": {strconv.FormatUint(revision, 10)}, "callers": {callers.String()},
	}, b)
	return err
}

func (c *Cluster) putDocument(name string, query url.Values, content []byte) (uint64, error) {
	to := fmt.Sprintf("http://%s/v1/documents/%s?%s", c.platformAdmin, name, query.Encode())
	b, err := admin.Do(http.MethodPut, to, content)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(string(b), 10, 64)
}

// SetPlatformFaults replaces the faults of the platform.
func (c *Cluster) SetPlatformFaults(f admin.PlatformFaults) error {
	return admin.Post(c.platformAdmin, "/admin/faults", f)
}

// SetFabricFaults replaces the faults of the fabric.
func (c *Cluster) SetFabricFaults(f admin.FabricFaults) error {
	return admin.Post(c.fabricAdmin, "/admin/faults", f)
}

// PlatformCalls returns the counts of document calls that the platform received.
func (c *Cluster) PlatformCalls() (calls admin.PlatformCalls, err error) {
	err = admin.Get(c.platformAdmin, "/admin/calls", &calls)
	return calls, err
}

// FabricCounters returns the counters of the fabric.
func (c *Cluster) FabricCounters() (counters admin.FabricCounters, err error) {
	err = admin.Get(c.fabricAdmin, "/admin/counters", &counters)
	return counters, err
}
