package cmd

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/bluebelldyke/bluebelldyke/routers/operator"
	"github.com/bluebelldyke/bluebelldyke/routers/relayer"
)

func newStatus() *command {
	q := &queryOptions{}
	flags := newSubcommand("status", "Print the state of a daemon: revisions, peers, backend servers and counters.",
		"status --address 127.0.0.1:7402 --output json")
	q.addFlags(flags)
	return &command{flags: flags, run: func(ctx context.Context, out io.Writer) error {
		return q.run(ctx, func(ctx context.Context, c *operator.Client) error {
			s, err := c.Status(ctx)
			if err != nil {
				return err
			}
			if q.output == outputJSON {
				b, err := operator.EncodeStatus(s)
				return writeJSON(out, b, err)
			}
			return printStatus(out, s)
		})
	}}
}

func printStatus(out io.Writer, s operator.Status) error {
	t := newTable(out)
	t.row("name", s.Name)
	t.row("availability zone", s.AvailabilityZone)
	t.row("incarnation", s.Incarnation)
	t.row("state", s.State)
	t.row("settings revision", s.SettingsRevision)
	t.row("VM list revision", s.VMsRevision)
	for _, d := range s.Documents {
		if d.Name == relayer.SettingsDocument || d.Name == relayer.VMListDocument {
			continue
		}
		t.row(d.Name+" revision", d.Revision)
	}
	for _, d := range s.Documents {
		if d.HeldRevision > d.Revision {
			t.row(d.Name+" revision not in force yet", d.HeldRevision)
		}
	}
	if len(s.EvacuatedPlaces) > 0 {
		t.row("evacuated places", strings.Join(s.EvacuatedPlaces, ", "))
	}
	if len(s.Views) > 0 {
		printViews(t, s)
	}
	t.row("ended flows", s.EndedFlows)
	t.row("imbalance", fmt.Sprintf("%.2f", s.Imbalance))
	t.row()
	t.row("PEER", "AVAILABILITY ZONE", "STATE")
	for _, p := range s.Peers {
		t.row(p.Address, p.AvailabilityZone, p.State)
	}
	t.row()
	t.row("BACKEND SERVER", "SERVICE", "AVAILABILITY ZONE", "STATE", "IN FLIGHT", "OPEN FEEDS", "EJECTED")
	for _, b := range s.BackendServers {
		t.row(b.Address, b.Service, b.AvailabilityZone, b.State, b.InFlight, b.OpenFeeds, b.Ejected)
	}
	t.row()
	t.row("COUNTER", "VALUE")
	for _, name := range slices.Sorted(maps.Keys(s.Counters)) {
		t.row(name, s.Counters[name])
	}
	return t.flush()
}
