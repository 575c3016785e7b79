package configurer

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// Values in force where the file sets none.
const (
	defaultOperatorBind = "127.0.0.1:7402"
	defaultMetricsBind  = "127.0.0.1:7403"
	// defaultGrace exceeds the token lifetime (10 s), during which a stopping daemon must answer for its gate tokens.
	defaultGrace = 60 * time.Second
)

// Bounds of the time of a planned stop.
const (
	minGrace = time.Second
	maxGrace = 24 * time.Hour
)

// Parse reads the TOML content of the named file. The error is an inspector.ErrInvalid that lists all problems found.
func Parse(file string, content []byte) (Settings, error) {
	report := inspector.NewReport(file)
	root := inspector.Parse(report, content)
	var s Settings
	root.Require("write the availability zone of this VM, as the settings tree names it", "availability-zone")
	s.AvailabilityZone, _ = root.Text("availability-zone")
	root.Require("add the table; custom/conf/app.example.toml shows it", "entry", "peer", "platform")
	s.Entry = readEntry(root.Table("entry"))
	s.Peer = readPeer(root.Table("peer"))
	s.Platform = ReadPlatform(root.Table("platform"))
	s.Operator.Bind = readBind(root.Table("operator"), defaultOperatorBind)
	s.Metrics.Bind = readBind(root.Table("metrics"), defaultMetricsBind)
	s.Stop = readStop(root.Table("stop"))
	logging := root.Table("log")
	s.Log = ReadLog(logging)
	logging.RejectUnknownKeys()
	root.RejectUnknownKeys()
	if s.Operator.Bind == s.Metrics.Bind && s.Operator.Bind.Port() != 0 {
		report.Add("metrics.bind", fmt.Sprintf("%s is also operator.bind", s.Metrics.Bind), "give each its own address or port")
	}
	if err := report.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func readEntry(t *inspector.Table) Entry {
	e := Entry{Bind: EntryIP}
	if bind, ok := t.Choice("bind", string(EntryIP), string(ServiceAddress)); ok {
		e.Bind = EntryBind(bind)
	}
	if e.Bind == EntryIP {
		t.Require(`write the IP address on which callers reach this VM, or set bind = "service-address"`, "ip")
	}
	e.IP, _ = t.Addr("ip")
	t.RejectUnknownKeys()
	return e
}

func readPeer(t *inspector.Table) Peer {
	t.Require("write the address and port of the peer socket", "bind")
	t.Require("write the fleet key, the same 64 hexadecimal digits on every daemon", "key")
	var p Peer
	p.Bind, _ = t.ListenAddrPort("bind")
	p.Advertise = p.Bind
	if t.Has("advertise") {
		p.Advertise, _ = t.AddrPort("advertise")
	} else if p.Bind.IsValid() && (p.Bind.Addr().IsUnspecified() || p.Bind.Port() == 0) {
		t.AddProblem("advertise", "missing, and bind names no single address", "write the address at which other daemons reach this one")
	}
	p.Key = ReadFleetKey(t)
	seeds, _ := t.Texts("seeds")
	for i, text := range seeds {
		seed, err := netip.ParseAddrPort(text)
		if err != nil || seed.Addr().IsUnspecified() || seed.Port() == 0 {
			t.AddItemProblem("seeds", i, fmt.Sprintf("%q is not a concrete address", text), `write an IP address and a port, such as "10.0.0.1:7401"`)
			continue
		}
		p.Seeds = append(p.Seeds, netip.AddrPortFrom(seed.Addr().Unmap(), seed.Port()))
	}
	t.RejectUnknownKeys()
	return p
}

// ReadFleetKey returns the fleet key. Problems do not repeat the text, which is confidential.
func ReadFleetKey(t *inspector.Table) (key [KeySize]byte) {
	text, ok := t.Secret("key")
	if !ok {
		return key
	}
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != KeySize {
		t.AddProblem("key", fmt.Sprintf("not %d bytes in hex", KeySize), fmt.Sprintf("write %d hexadecimal digits", 2*KeySize))
		return key
	}
	return [KeySize]byte(b)
}

// ReadPlatform reads where the platform is.
func ReadPlatform(t *inspector.Table) Platform {
	t.Require("write the base URL of the platform's configuration service", "url")
	text, ok := t.Text("url")
	if ok {
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			t.AddProblem("url", fmt.Sprintf("%q is not an HTTP URL", text), `write a URL such as "http://10.0.0.1:7400"`)
		}
	}
	t.RejectUnknownKeys()
	return Platform{URL: text}
}

func readBind(t *inspector.Table, fallback string) netip.AddrPort {
	bind, ok := t.ListenAddrPort("bind")
	if !ok {
		bind = netip.MustParseAddrPort(fallback)
	}
	t.RejectUnknownKeys()
	return bind
}

func readStop(t *inspector.Table) Stop {
	s := Stop{Grace: defaultGrace}
	if grace, ok := t.Duration("grace", minGrace, maxGrace); ok {
		s.Grace = grace
	}
	t.RejectUnknownKeys()
	return s
}

// ReadLog returns what a table selects of log lines. The caller closes the table, which may have further keys.
func ReadLog(t *inspector.Table) Log {
	l := Log{Level: "info", Format: "json"}
	if level, ok := t.Choice("level", "debug", "info", "warn", "error"); ok {
		l.Level = level
	}
	if format, ok := t.Choice("format", "json", "text"); ok {
		l.Format = format
	}
	return l
}
