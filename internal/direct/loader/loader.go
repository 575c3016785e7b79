// Package loader reads the process settings of a daemon that forwards with direct return. The platform renders the file
// from deploy/direct.toml.template at each start and whenever they change.
package loader

import (
	"fmt"
	"net/netip"
	"reflect"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// Bounds of durations.
const (
	minGrace = time.Second
	maxGrace = time.Hour
	// minBound leaves room for a call that takes half a second and its repetition.
	minBound = time.Second
	// defaultBudget keeps the lines of a busy daemon under 0.1% of a core.
	defaultBudget = 20
	maxBudget     = 100_000
	// defaultBytes is the size of defaultBudget lines; a line takes up to 450 bytes.
	defaultBytes = 9000
	minBytes     = 500
	maxBytes     = 100_000_000
	maxBound     = time.Hour
)

// Settings are the process settings.
type Settings struct {
	Name             string // of the VM
	AvailabilityZone string
	// Zones are all availability zones of the fleet.
	Zones     []string
	Entry     netip.AddrPort // where the fabric sends packets of callers
	Readiness netip.AddrPort
	// Metrics is where the metrics page is served beside the readiness address; the zero value means only there.
	Metrics     netip.AddrPort
	Peer        Peer
	PlatformURL string
	// Grace is the time between the signal to stop and the end of the process by force.
	Grace time.Duration
	// LeavingBound is the longest time until a backend server that leaves gets no new flows, ConfigurationBound that until
	// a change of the configuration is in force.
	LeavingBound, ConfigurationBound time.Duration
	Log                              Log
}

// Peer is the side that faces the other daemons.
type Peer struct {
	Bind netip.AddrPort
	// Advertise is the address at which other daemons reach this one; that of Bind unless the settings name another.
	Advertise netip.AddrPort
	Key       [configurer.KeySize]byte
	Seeds     []netip.AddrPort
}

// Log selects which log lines are written and how.
type Log struct {
	configurer.Log
	// Budget and Bytes are the number and the size of lines a second of each kind; further ones are joined into one line.
	Budget, Bytes int
}

// Load reads the settings file.
func Load(file string) (Settings, error) {
	content, err := configurer.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, content)
}

// NeedsRestart reports whether a change from before is in force only after the next start: all but seeds and the level of
// the log.
func (s *Settings) NeedsRestart(before *Settings) bool {
	a, b := *s, *before
	a.Peer.Seeds, a.Log.Level, b.Peer.Seeds, b.Log.Level = nil, "", nil, ""
	return !reflect.DeepEqual(a, b)
}

// Parse reads the TOML content of the named file. The error is an inspector.ErrInvalid that lists all problems found.
func Parse(file string, content []byte) (Settings, error) {
	report := inspector.NewReport(file)
	root := inspector.Parse(report, content)
	var s Settings
	root.Require("add the key; deploy/direct.toml.template shows it", "name", "availability-zone", "entry", "readiness", "peer", "platform", "stop", "bounds")
	s.Name, _ = root.Text("name")
	s.AvailabilityZone, _ = root.Text("availability-zone")
	s.Zones, _ = root.Texts("availability-zones")
	s.Entry = readBind(root.Table("entry"))
	s.Readiness = readBind(root.Table("readiness"))
	if root.Has("metrics") {
		s.Metrics = readBind(root.Table("metrics"))
	}
	s.Peer = readPeer(root.Table("peer"))
	s.PlatformURL = configurer.ReadPlatform(root.Table("platform")).URL
	s.Grace = readGrace(root.Table("stop"))
	s.LeavingBound, s.ConfigurationBound = readBounds(root.Table("bounds"))
	s.Log = readLog(root.Table("log"))
	root.RejectUnknownKeys()
	return s, report.Err()
}

func readBind(t *inspector.Table) netip.AddrPort {
	t.Require("write the IP address and port to listen on", "bind")
	bind, _ := t.AddrPort("bind")
	t.RejectUnknownKeys()
	return bind
}

func readPeer(t *inspector.Table) Peer {
	t.Require("write the IP address and port of the peer socket", "bind")
	t.Require("write the fleet key, the same 64 hexadecimal digits on every daemon", "key")
	var p Peer
	p.Bind, _ = t.AddrPort("bind")
	p.Advertise = p.Bind
	if t.Has("advertise") {
		p.Advertise, _ = t.AddrPort("advertise")
	}
	p.Key = configurer.ReadFleetKey(t)
	seeds, _ := t.Texts("seeds")
	for i, text := range seeds {
		seed, err := netip.ParseAddrPort(text)
		if err != nil || !seed.Addr().Is4() || seed.Port() == 0 {
			t.AddItemProblem("seeds", i, fmt.Sprintf("%q is not an IPv4 address with a port", text), `write one such as "10.0.0.1:7401"`)
			continue
		}
		p.Seeds = append(p.Seeds, seed)
	}
	t.RejectUnknownKeys()
	return p
}

func readGrace(t *inspector.Table) time.Duration {
	t.Require("write the time until the process is ended by force", "grace")
	grace, _ := t.Duration("grace", minGrace, maxGrace)
	t.RejectUnknownKeys()
	return grace
}

func readBounds(t *inspector.Table) (leaving, configuration time.Duration) {
	t.Require("write the longest time until a change is in force", "leaving", "configuration")
	leaving, _ = t.Duration("leaving", minBound, maxBound)
	configuration, _ = t.Duration("configuration", minBound, maxBound)
	t.RejectUnknownKeys()
	return leaving, configuration
}

func readLog(t *inspector.Table) Log {
	l := Log{Log: configurer.ReadLog(t), Budget: defaultBudget, Bytes: defaultBytes}
	if budget, ok := t.Integer("budget", 1, maxBudget); ok {
		l.Budget = int(budget)
	}
	if size, ok := t.Integer("bytes", minBytes, maxBytes); ok {
		l.Bytes = int(size)
	}
	t.RejectUnknownKeys()
	return l
}
