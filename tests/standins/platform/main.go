// Command platform stands in for the platform's configuration service in tests and the demo. It serves documents with long
// polls, counts the calls, and injects stale answers, delays and outages on request.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "address of the platform API")
	control := flag.String("admin", "127.0.0.1:0", "address of the admin API")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := newStore()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return admin.Serve(ctx, *listen, s.api()) })
	g.Go(func() error { return admin.Serve(ctx, *control, s.admin()) })
	if err := g.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}
