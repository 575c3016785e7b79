// Command backend stands in for one backend server in tests and the demo. It runs requests and feeds of one service
// under the backend protocol and keeps a ledger of everything that it ran or refused.
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

// config is what the flags say.
type config struct {
	address, health, admin netip.AddrPort
	service                string
	slots, connections     int
	queue                  int
	mean                   time.Duration
	fixed                  bool
	seed                   uint64
	parts                  int
	period                 time.Duration
	cold                   time.Duration
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
	flag.IntVar(&c.slots, "slots", 2, "requests that run at once")
	flag.IntVar(&c.connections, "connections", 2000, "feeds held at once")
	flag.IntVar(&c.queue, "queue", 4, "requests that wait for a slot; more are shed")
	flag.DurationVar(&c.mean, "service-time", 20*time.Millisecond, "mean service time")
	flag.BoolVar(&c.fixed, "fixed", false, "every request takes the mean service time (default: exponential)")
	flag.Uint64Var(&c.seed, "seed", 1, "seed of the service times and of shedding at random")
	flag.IntVar(&c.parts, "parts", 3, "most parts of an answer")
	flag.DurationVar(&c.period, "period", verifier.DefaultReadingInterval, "time between two readings of a topic")
	flag.DurationVar(&c.cold, "cold-start", 0, "how long after its start the server is slower")
	flag.Float64Var(&c.faults.ShedRate, "shed-rate", 0, "share of new work that is shed at random")
	flag.StringVar(&c.faults.FakeLoad, "lie", "", "load reports: idle or full")
	lag := flag.Duration("load-lag", 0, "age of the load that is reported")
	flag.Parse()
	c.faults.LoadLag = admin.Duration(*lag)
	for name, a := range addresses {
		var err error
		if *a, err = netip.ParseAddrPort(*texts[name]); err != nil {
			return c, eris.Wrapf(err, "-%s", name)
		}
	}
	if c.service == "" {
		return c, eris.New("-service is missing")
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
	g.Go(func() error { return s.read(ctx) })
	g.Go(func() error { return s.tick(ctx) })
	g.Go(func() error { return admin.Serve(ctx, c.health.String(), s.health()) })
	g.Go(func() error { return admin.Serve(ctx, c.admin.String(), s.admin()) })
	return g.Wait()
}
