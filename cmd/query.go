package cmd

import (
	"context"
	"net/netip"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bluebelldyke/bluebelldyke/routers/operator"
)

const (
	defaultOperatorAddress = "127.0.0.1:7402"
	defaultTimeout         = 5 * time.Second
)

// queryOptions holds the flags that the subcommands status and audit have in common.
type queryOptions struct {
	address string
	timeout time.Duration
	output  output
}

func (q *queryOptions) addFlags(s *flaggy.Subcommand) {
	q.address = defaultOperatorAddress
	q.timeout = defaultTimeout
	s.String(&q.address, "a", "address", "Operator address of the daemon.")
	s.Duration(&q.timeout, "t", "timeout", "Timeout of the query.")
	q.output.addFlags(s)
}

// run connects to the daemon and calls f. The context of f ends at the timeout.
func (q *queryOptions) run(ctx context.Context, f func(context.Context, *operator.Client) error) error {
	if err := q.output.validate(); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(q.address)
	if err != nil {
		return usageError("--address %q is not an IP address with a port: write one such as %s", q.address, defaultOperatorAddress)
	}
	if q.timeout <= 0 {
		return usageError("--timeout %s is not positive: write one such as %s", q.timeout, defaultTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	client, err := operator.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }() // the reply has been read already
	return f(ctx, client)
}
