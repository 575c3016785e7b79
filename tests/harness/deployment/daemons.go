package deployment

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/direct"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/linker"
)

// Daemon is one daemon process.
type Daemon struct {
	*harness.Process
	Name   string
	Zone   string
	target direct.Target
	file   string
	Links
}

// Links are the ways to a daemon and its way to the store.
type Links struct {
	Entry, Peer *linker.DatagramLink
	Store       *linker.StreamLink
}

func (d *Deployment) addDaemon(zone, k int, store netip.AddrPort) error {
	x := &Daemon{Name: fmt.Sprintf("daemon-%d-%d", zone, k), Zone: zoneName(zone), target: direct.Target{
		Entry: d.at(kindLink, zone, k, portEntry), Readiness: d.at(kindDaemon, zone, k, portReadiness),
	}}
	if err := d.link(x, zone, k, store); err != nil {
		return err
	}
	var zones []string
	for z := range d.c.Zones {
		zones = append(zones, fmt.Sprintf("%q", zoneName(z)))
	}
	x.file = filepath.Join(d.dir, x.Name+".toml")
	content := fmt.Sprintf(`name = %q
availability-zone = %q
availability-zones = [%s]
[entry]
bind = %q
[readiness]
bind = %q
[peer]
bind = %q
advertise = %q
seeds = [%q]
key = "c0ffee00c0ffee00c0ffee00c0ffee00c0ffee00c0ffee00c0ffee00c0ffee00"
[platform]
url = "http://%s"
[stop]
grace = %q
[bounds]
leaving = %q
configuration = %q
`, x.Name, x.Zone, strings.Join(zones, ", "), d.at(kindDaemon, zone, k, portEntry), x.target.Readiness,
		d.at(kindDaemon, zone, k, portPeer), d.at(kindLink, zone, k, portPeer), d.at(kindLink, 0, 0, portPeer), d.at(kindLink, zone, k, portStore), GracePeriod, LeavingBound, ConfigurationBound)
	if err := os.WriteFile(x.file, []byte(content), 0o600); err != nil {
		return eris.Wrap(err, "settings of a daemon")
	}
	d.Daemons = append(d.Daemons, x)
	return d.StartDaemon(x)
}

// link puts links before a daemon's sockets and before the store.
func (d *Deployment) link(x *Daemon, zone, k int, store netip.AddrPort) error {
	seed := uint64(zone<<8 + k)
	var err error
	if x.Entry, err = linker.NewDatagramLink(d.at(kindLink, zone, k, portEntry), d.at(kindDaemon, zone, k, portEntry), seed); err != nil {
		return err
	}
	if x.Peer, err = linker.NewDatagramLink(d.at(kindLink, zone, k, portPeer), d.at(kindDaemon, zone, k, portPeer), seed); err != nil {
		return err
	}
	if x.Store, err = linker.NewStreamLink(d.at(kindLink, zone, k, portStore), store); err != nil {
		return err
	}
	d.group.Go(func() error { return x.Entry.Run(d.ctx) })
	d.group.Go(func() error { return x.Peer.Run(d.ctx) })
	d.group.Go(func() error { return x.Store.Run(d.ctx) })
	return nil
}

// StartDaemon starts the process of a daemon, also again after it has ended.
func (d *Deployment) StartDaemon(x *Daemon) error {
	p, err := d.starter.Start(d.dir, x.Name, filepath.Join(d.c.Binaries, "bluebelldyke"), "direct", "--config", x.file)
	x.Process = p
	return err
}

// SettingsFile returns the settings file of a daemon.
func (x *Daemon) SettingsFile() string { return x.file }
