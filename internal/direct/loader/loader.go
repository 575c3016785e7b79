// Package loader reads the process settings of a daemon that forwards with direct server return. The platform renders the settings file
// from deploy/direct.toml.template at each start and whenever a value in it changes.
package loader

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// Limits and defaults of settings.
const (
	minGrace = 100 * time.Millisecond
	maxGrace = time.Hour
	// minBound leaves room for a call to the platform that takes half a second and a retry.
	minBound = time.Second
	// defaultLinesPerSecond keeps the log lines of a busy daemon under 0.1% of a core.
	defaultLinesPerSecond = 20
	maxLinesPerSecond     = 100_000
	// defaultBytesPerSecond is the size of defaultLinesPerSecond lines of up to 450 bytes each.
	defaultBytesPerSecond = 9000
	// minBytesPerSecond exceeds the size of one flow line: with a smaller budget, none would be written.
	minBytesPerSecond = 500
	maxBytesPerSecond = 100_000_000
	maxBound          = time.Hour
	// maxOverage and maxSlack are far above any useful limit; they reject figures in wrong units.
	maxOverage = 100
	maxSlack   = 100_000
	// minLinkRate lets a quarter of the link carry a fragment of a document each 50 ms. It and maxLinkRate reject figures in wrong units.
	minLinkRate = 1e6
	maxLinkRate = 1e12
	// maxMargin exceeds the timeouts of requests.
	maxMargin = time.Minute
)

// Settings holds the process settings of a daemon.
type Settings struct {
	VMName           string
	AvailabilityZone string
	// AvailabilityZones are all availability zones of the fleet.
	AvailabilityZones []string
	// EntryBind is the address at which the fabric delivers packets of callers.
	EntryBind     netip.AddrPort
	ReadinessBind netip.AddrPort
	// MetricsBind is a further address of the metrics page, which the readiness address serves too. The zero value means none.
	MetricsBind netip.AddrPort
	// OperatorBind is the loopback address of the queries of operators. The zero value means none.
	OperatorBind netip.AddrPort
	Peer         Peer
	PlatformURL  string
	// GracePeriod is the time between the signal to stop and the forced end of the process.
	GracePeriod time.Duration
	// LeavingBound is the longest time until a leaving backend server gets no new flows. ConfigurationBound is the longest time until a
	// change of the configuration is in force.
	LeavingBound, ConfigurationBound time.Duration
	// EvacuationBound is the longest time until a change of the evacuated availability zones is in force. It is 0 if the deployment has
	// no evacuations, which are not read then.
	EvacuationBound time.Duration
	// ColdLimit limits the new flows of backend servers that warm up.
	ColdLimit ColdLimit
	// Admission switches admission control on, SpeedDigests the exchange of speed estimates, and Probes the on-demand probes of backend
	// servers.
	Admission, SpeedDigests, Probes bool
	// AdmissionShared switches on the reports with which the daemons of an availability zone detect an overload together.
	AdmissionShared bool
	// EvenTies switches on an order of each daemon among equally loaded backend servers.
	EvenTies bool
	// StartQueue switches on the queue of packets that arrive before the daemon is ready, and StartLimit the limit on new flows after a
	// loss of all daemons.
	StartQueue, StartLimit bool
	// CrossZoneMargin is by how much the expected time of a request must be shorter in another zone for a new flow to go there; 0 means that
	// only the load decides.
	CrossZoneMargin time.Duration
	Log             Log
	// Adjustments are the settings out of range that were replaced by the nearest permitted value.
	Adjustments []Adjustment
}

// Adjustment is a setting whose stated value is out of range. The platform renders these settings from its own figures, so that one out of
// range must not keep a daemon from starting.
type Adjustment struct{ Key, Stated, Used string }

// ColdLimit limits the new flows that a backend server gets in any second while it warms up, from all daemons together, to Overage times
// the rate that the configuration states for its service, plus Slack. The zero value means no limit.
type ColdLimit struct{ Overage, Slack float64 }

// IsZero reports whether there is no limit.
func (l ColdLimit) IsZero() bool { return l == ColdLimit{} }

// Peer holds the settings of the socket for messages between daemons.
type Peer struct {
	Bind netip.AddrPort
	// Advertise is the address at which other daemons reach this one. The default is Bind.
	Advertise netip.AddrPort
	Key       [configurer.KeySize]byte
	Seeds     []netip.AddrPort
	// LinkRate is the rate of the VM's link in bits per second. Documents for other daemons take a quarter of it. 0 means that they are not
	// paced.
	LinkRate float64
	// Weak states that the VM has a slow link or little processor time: other daemons take the duties of its zone while there are any.
	Weak bool
	// FastDetection makes daemons find out sooner that others have failed, at the cost of more probes while datagrams are lost.
	FastDetection bool
}

// Log holds the settings of log lines.
type Log struct {
	configurer.Log
	// LinesPerSecond and BytesPerSecond limit the log lines of each kind; further ones are aggregated into one line.
	LinesPerSecond, BytesPerSecond int
}

// Load reads the settings file.
func Load(file string) (Settings, error) {
	content, err := configurer.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, content)
}

// NeedsRestart reports whether settings changed that take effect only after a restart: all but the seeds and the log level.
func (s *Settings) NeedsRestart(before *Settings) bool {
	a, b := *s, *before
	a.Peer.Seeds, a.Log.Level, a.Adjustments = nil, "", nil
	b.Peer.Seeds, b.Log.Level, b.Adjustments = nil, "", nil
	return !reflect.DeepEqual(a, b)
}

// Parse reads the TOML content of the named file. The error is an inspector.ErrInvalid that lists all problems found.
func Parse(file string, content []byte) (Settings, error) {
	report := inspector.NewReport(file)
	root := inspector.Parse(report, joinSurrogates(content))
	var s Settings
	readEnd(root)
	root.Require("add the key; deploy/direct.toml.template shows it", "name", "availability-zone", "entry", "readiness", "peer", "platform", "stop", "bounds")
	s.VMName, _ = root.Text("name")
	s.AvailabilityZone, _ = root.Text("availability-zone")
	s.AvailabilityZones, _ = root.Texts("availability-zones")
	if root.Has("availability-zone-table") {
		s.AvailabilityZones = readZoneTable(root)
	}
	s.EntryBind = readBind(root.Table("entry"))
	s.ReadinessBind = readBind(root.Table("readiness"))
	if root.Has("metrics") {
		s.MetricsBind = readBind(root.Table("metrics"))
	}
	if root.Has("operator") {
		s.OperatorBind = readOperator(root.Table("operator"))
	}
	s.Peer = readPeer(root.Table("peer"), &s)
	s.PlatformURL = configurer.ReadPlatform(root.Table("platform")).URL
	s.GracePeriod = readGracePeriod(root.Table("stop"), &s)
	readBounds(root.Table("bounds"), &s)
	readAdmission(root.Table("admission"), &s)
	readPlacement(root.Table("placement"), &s)
	readStart(root.Table("start"), &s)
	s.Probes = readSwitch(root.Table("health"), "probe")
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

// readOperator reads the operator address. Its queries have no authentication, so that it must be a loopback address.
func readOperator(t *inspector.Table) netip.AddrPort {
	t.Require("write the IP address and port to listen on", "bind")
	bind, ok := t.AddrPort("bind")
	if ok && !bind.Addr().IsLoopback() {
		t.AddProblem("bind", fmt.Sprintf("%s is not a loopback address", bind), `write one such as "127.0.0.1:7402"`)
	}
	t.RejectUnknownKeys()
	return bind
}

func readPeer(t *inspector.Table, s *Settings) Peer {
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
	if t.Has("seed-list") {
		p.Seeds = append(p.Seeds, s.readSeedList(t)...)
	}
	if t.Has("link-rate") {
		p.LinkRate, _ = t.Number("link-rate", minLinkRate, maxLinkRate)
	}
	p.Weak, _ = t.Boolean("weak")
	p.FastDetection, _ = t.Boolean("fast-detection")
	t.RejectUnknownKeys()
	return p
}

func readGracePeriod(t *inspector.Table, s *Settings) time.Duration {
	t.Require("write the time between the signal to stop and the forced end of the process", "grace")
	grace := s.readDuration(t, "stop", "grace", minGrace, maxGrace)
	t.RejectUnknownKeys()
	return grace
}

func readBounds(t *inspector.Table, s *Settings) {
	t.Require("write the longest time until a change is in force", "leaving", "configuration")
	s.LeavingBound = s.readDuration(t, "bounds", "leaving", minBound, maxBound)
	s.ConfigurationBound = s.readDuration(t, "bounds", "configuration", minBound, maxBound)
	if t.Has("evacuation") {
		s.EvacuationBound = s.readDuration(t, "bounds", "evacuation", minBound, maxBound)
	}
	if t.Has("warm-up-overage") || t.Has("warm-up-slack") {
		t.Require("write both figures of the limit, or none of them", "warm-up-overage", "warm-up-slack")
		s.ColdLimit.Overage = s.readNumber(t, "bounds", "warm-up-overage", 0, maxOverage)
		s.ColdLimit.Slack = s.readNumber(t, "bounds", "warm-up-slack", 1, maxSlack)
	}
	t.RejectUnknownKeys()
}

// readDuration reads a duration that is not negative and adjusts it to the limits.
func (s *Settings) readDuration(t *inspector.Table, table, key string, low, high time.Duration) time.Duration {
	stated, ok := t.Duration(key, 0, math.MaxInt64)
	if !ok {
		return 0
	}
	used := min(max(stated, low), high)
	if used != stated {
		s.Adjustments = append(s.Adjustments, Adjustment{Key: table + "." + key, Stated: stated.String(), Used: used.String()})
	}
	return used
}

// readNumber reads a number that is not negative and adjusts it to the limits.
func (s *Settings) readNumber(t *inspector.Table, table, key string, low, high float64) float64 {
	stated, ok := t.Number(key, 0, math.MaxFloat64)
	if !ok {
		return 0
	}
	used := min(max(stated, low), high)
	if used != stated {
		s.Adjustments = append(s.Adjustments, Adjustment{Key: table + "." + key, Stated: fmt.Sprint(stated), Used: fmt.Sprint(used)})
	}
	return used
}

// readSwitch reads a table whose only key switches a feature on.
func readSwitch(t *inspector.Table, key string) bool {
	on, _ := t.Boolean(key)
	t.RejectUnknownKeys()
	return on
}

func readAdmission(t *inspector.Table, s *Settings) {
	s.Admission, _ = t.Boolean("enabled")
	s.AdmissionShared, _ = t.Boolean("shared")
	t.RejectUnknownKeys()
}

func readPlacement(t *inspector.Table, s *Settings) {
	s.SpeedDigests, _ = t.Boolean("speed-digests")
	s.EvenTies, _ = t.Boolean("even-ties")
	s.CrossZoneMargin, _ = t.Duration("cross-zone-margin", 0, maxMargin)
	t.RejectUnknownKeys()
}

func readStart(t *inspector.Table, s *Settings) {
	s.StartQueue, _ = t.Boolean("queue")
	s.StartLimit, _ = t.Boolean("limit")
	t.RejectUnknownKeys()
}

func readLog(t *inspector.Table) Log {
	l := Log{Log: configurer.ReadLog(t), LinesPerSecond: defaultLinesPerSecond, BytesPerSecond: defaultBytesPerSecond}
	if lines, ok := t.Integer("budget", 1, maxLinesPerSecond); ok {
		l.LinesPerSecond = int(lines)
	}
	if size, ok := t.Integer("bytes", minBytesPerSecond, maxBytesPerSecond); ok {
		l.BytesPerSecond = int(size)
	}
	t.RejectUnknownKeys()
	return l
}
