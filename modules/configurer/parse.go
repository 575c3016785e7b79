package configurer

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// Defaults for keys that the file does not set.
const (
	defaultOperatorBind = "127.0.0.1:7402"
	defaultMetricsBind  = "127.0.0.1:7403"
	// defaultGracePeriod exceeds the token lifetime of 10 s, during which a stopping daemon must still answer requests that
	// carry its gate tokens.
	defaultGracePeriod = 60 * time.Second
)

// Bounds of the grace period of a graceful shutdown.
const (
	minGracePeriod = time.Second
	maxGracePeriod = 24 * time.Hour
)

// Parse validates the TOML content of the named file. The error is an inspector.ErrInvalid that lists all problems.
func Parse(file string, content []byte) (Settings, error) {
	report := inspector.NewReport(file)
	root := inspector.Parse(report, content)
	var s Settings
	root.Require("write the availability zone of this VM, as it is named in the settings tree", "availability-zone")
	s.AvailabilityZone, _ = root.Text("availability-zone")
	root.Require("add the table; see custom/conf/app.example.toml", "entry", "peer", "platform")
	s.Entry = readEntry(root.Table("entry"))
	s.Peer = readPeer(root.Table("peer"))
	s.Platform = ReadPlatform(root.Table("platform"))
	s.Operator.Bind = readBind(root.Table("operator"), defaultOperatorBind)
	s.Metrics.Bind = readBind(root.Table("metrics"), defaultMetricsBind)
	s.Stop = readStop(root.Table("stop"))
	logTable := root.Table("log")
	s.Log = ReadLog(logTable)
	logTable.RejectUnknownKeys()
	root.RejectUnknownKeys()
	if s.Operator.Bind == s.Metrics.Bind && s.Operator.Bind.Port() != 0 {
		report.Add("metrics.bind", fmt.Sprintf("%s is also operator.bind", s.Metrics.Bind), "use different addresses or ports")
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

// ReadFleetKey reads the fleet key from the peer table. The key is secret, so problems do not contain it.
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

// ReadPlatform reads the platform table.
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

func readBind(t *inspector.Table, defaultAddress string) netip.AddrPort {
	bind, ok := t.ListenAddrPort("bind")
	if !ok {
		bind = netip.MustParseAddrPort(defaultAddress)
	}
	t.RejectUnknownKeys()
	return bind
}

func readStop(t *inspector.Table) Stop {
	s := Stop{Grace: defaultGracePeriod}
	if grace, ok := t.Duration("grace", minGracePeriod, maxGracePeriod); ok {
		s.Grace = grace
	}
	t.RejectUnknownKeys()
	return s
}

// ReadLog reads the level and the format of log lines. The table may have further keys, so it is the caller that rejects
// unknown ones.
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
