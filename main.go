// Command bluebelldyke is a layer-4 load balancer.
package main

import (
	"context"
	"os"

	"github.com/bluebelldyke/bluebelldyke/cmd"
)

func main() {
	os.Exit(cmd.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
