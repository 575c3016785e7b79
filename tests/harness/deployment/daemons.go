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
	Name         string
	Zone         string
	fabricTarget direct.Target
	settingsFile string
	// OperatorAddress is where the daemon answers the queries of operators.
	OperatorAddress netip.AddrPort
	// EntryAddress and PeerAddress are where the daemon receives packets of callers and messages of other daemons.
	EntryAddress, PeerAddress netip.AddrPort
	Links
}

// Links forward the traffic to a daemon, and its connections to the store.
type Links struct {
	Entry, Peer *linker.DatagramLink
	Store       *linker.StreamLink
}

func (d *Deployment) addDaemon(zone, number int, store netip.AddrPort) error {
	daemon := &Daemon{Name: fmt.Sprintf("daemon-%d-%d", zone, number), Zone: zoneName(zone), fabricTarget: direct.Target{
		Entry: d.address(kindLink, zone, number, portEntry), Readiness: d.address(kindDaemon, zone, number, portReadiness),
	}, OperatorAddress: d.address(kindDaemon, zone, number, portOperator), EntryAddress: d.address(kindDaemon, zone, number, portEntry),
		PeerAddress: d.address(kindDaemon, zone, number, portPeer)}
	if err := d.openLinks(daemon, zone, number, store); err != nil {
		return err
	}
	var zones []string
	for z := range d.config.Zones {
		zones = append(zones, fmt.Sprintf("%q", zoneName(z)))
	}
	daemon.settingsFile = filepath.Join(d.dir, daemon.Name+".toml")
	content := fmt.Sprintf(`name = %q
availability-zone = %q
availability-zones = [%s]
[entry]
bind = %q
[readiness]
bind = %q
[operator]
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
[health]
probe = true
[bounds]
leaving = %q
configuration = %q
`, daemon.Name, daemon.Zone, strings.Join(zones, ", "), daemon.EntryAddress, daemon.fabricTarget.Readiness, daemon.OperatorAddress,
		daemon.PeerAddress, d.address(kindLink, zone, number, portPeer), d.address(kindLink, 0, 0, portPeer), d.address(kindLink, zone, number, portStore), GracePeriod, LeavingBound, ConfigurationBound)
	if d.config.Evacuations {
		content += fmt.Sprintf("evacuation = %q\nwarm-up-overage = 1.5\nwarm-up-slack = %d\n", EvacuationBound, ColdLimit)
	}
	if err := os.WriteFile(daemon.settingsFile, []byte(content), 0o600); err != nil {
		return eris.Wrap(err, "write the settings of a daemon")
	}
	d.Daemons = append(d.Daemons, daemon)
	return d.StartDaemon(daemon)
}

// openLinks opens the links to the sockets of a daemon, and its link to the store.
func (d *Deployment) openLinks(daemon *Daemon, zone, number int, store netip.AddrPort) error {
	seed := uint64(zone<<8 + number)
	var err error
	if daemon.Entry, err = linker.NewDatagramLink(d.address(kindLink, zone, number, portEntry), d.address(kindDaemon, zone, number, portEntry), seed); err != nil {
		return err
	}
	if daemon.Peer, err = linker.NewDatagramLink(d.address(kindLink, zone, number, portPeer), d.address(kindDaemon, zone, number, portPeer), seed); err != nil {
		return err
	}
	if daemon.Store, err = linker.NewStreamLink(d.address(kindLink, zone, number, portStore), store); err != nil {
		return err
	}
	d.group.Go(func() error { return daemon.Entry.Run(d.ctx) })
	d.group.Go(func() error { return daemon.Peer.Run(d.ctx) })
	d.group.Go(func() error { return daemon.Store.Run(d.ctx) })
	return nil
}

// StartDaemon starts the process of a daemon. It can be called again after the process has exited.
func (d *Deployment) StartDaemon(daemon *Daemon) error {
	p, err := d.starter.Start(d.dir, daemon.Name, filepath.Join(d.config.Binaries, "bluebelldyke"), "direct", "--config", daemon.settingsFile)
	daemon.Process = p
	return err
}

// ReadinessAddress returns where the daemon answers readiness checks.
func (d *Daemon) ReadinessAddress() netip.AddrPort { return d.fabricTarget.Readiness }

// SettingsFile returns the settings file of a daemon.
func (d *Daemon) SettingsFile() string { return d.settingsFile }
