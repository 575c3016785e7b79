// Command backend stands in for one backend server in tests and the demo. It serves requests and feeds of one service over
// the backend protocol and records everything that it ran or refused in a ledger.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/verifier"
)

// config holds the values of the flags.
type config struct {
	address, health, admin netip.AddrPort
	service                string
	slots, maxFeeds        int
	maxQueued              int
	meanServiceTime        time.Duration
	fixedServiceTime       bool
	seed                   uint64
	maxParts               int
	readingInterval        time.Duration
	coldStart              time.Duration
	faults                 admin.BackendFaults
}

func parseFlags() (config, error) {
	var c config
	addresses := map[string]*netip.AddrPort{"address": &c.address, "health": &c.health, "admin": &c.admin}
	texts := map[string]*string{}
	for name := range addresses {
		texts[name] = flag.String(name, "", name+" address (ip:port)")
	}
	flag.StringVar(&c.service, "service", "", "service name")
	flag.IntVar(&c.slots, "slots", 2, "concurrent requests")
	flag.IntVar(&c.maxFeeds, "connections", 2000, "concurrent feeds; more are shed")
	flag.IntVar(&c.maxQueued, "queue", 4, "requests that wait for a slot; more are shed")
	flag.DurationVar(&c.meanServiceTime, "service-time", 20*time.Millisecond, "mean service time")
	flag.BoolVar(&c.fixedServiceTime, "fixed", false, "every request takes the mean service time (default: exponential)")
	flag.Uint64Var(&c.seed, "seed", 1, "seed of the service times and of random shedding")
	flag.IntVar(&c.maxParts, "parts", 3, "largest number of parts of an answer")
	flag.DurationVar(&c.readingInterval, "period", verifier.DefaultReadingInterval, "time between two readings of a topic")
	flag.DurationVar(&c.coldStart, "cold-start", 0, "time of slower service after the start")
	flag.Float64Var(&c.faults.ShedRate, "shed-rate", 0, "probability that new work is shed")
	flag.StringVar(&c.faults.FakeLoad, "lie", "", "false load reports: idle or full")
	lag := flag.Duration("load-lag", 0, "age of the reported load")
	flag.Parse()
	c.faults.LoadLag = admin.Duration(*lag)
	for name, a := range addresses {
		var err error
		if *a, err = netip.ParseAddrPort(*texts[name]); err != nil {
			return c, eris.Wrapf(err, "-%s", name)
		}
	}
	if c.service == "" {
		return c, eris.New("-service is missing: name the service of this backend server")
	}
	return c, nil
}

func main() {
	c, err := parseFlags()
	if err == nil {
		err = run(c)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "backend:", err)
		os.Exit(1)
	}
}

func run(c config) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := newServer(c)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.readPackets(ctx) })
	g.Go(func() error { return s.runTicks(ctx) })
	g.Go(func() error { return admin.Serve(ctx, c.health.String(), s.health()) })
	g.Go(func() error { return admin.Serve(ctx, c.admin.String(), s.admin()) })
	return g.Wait()
}
