// Command fabric stands in for the network fabric in tests and the demo. It distributes the datagrams of callers randomly over
// all live balancers, relays the control traffic between balancers and to the platform, and injects loss, delay and partitions.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

func main() {
	path := flag.String("config", "", "configuration file (JSON)")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *path); err != nil {
		fmt.Fprintln(os.Stderr, "fabric:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read the configuration")
	}
	var c admin.FabricConfig
	if err := json.Unmarshal(b, &c); err != nil {
		return eris.Wrap(err, "decode the configuration")
	}
	g, ctx := errgroup.WithContext(ctx)
	f := newFabric(ctx, g, c)
	for _, s := range c.Services {
		if err := f.addService(s); err != nil {
			return err
		}
	}
	for _, b := range c.Balancers {
		if err := f.addBalancer(b); err != nil {
			return err
		}
	}
	g.Go(func() error { return f.closeIdleCallers() })
	g.Go(func() error { return admin.Serve(ctx, c.Admin.String(), f.admin()) })
	return g.Wait()
}
