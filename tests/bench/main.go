// Command bench measures the data path on loopback. In mode compare it measures a minimal relay, the same relay with batched
// system calls, and the daemon with the same load generator. In mode load it measures one balancer with many open feeds.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

type options struct {
	binaryDir     string
	duration      time.Duration
	latencyRate   float64
	seed          uint64
	callerSockets int
	rounds        int
}

func main() {
	var o options
	mode := flag.String("mode", "compare", "compare, load, relay or relay-batches (compare starts the last two itself)")
	servers := flag.String("servers", "", "addresses of the backend servers, for the modes relay and relay-batches")
	flag.StringVar(&o.binaryDir, "bin", "bin", "directory with the built programs")
	flag.DurationVar(&o.duration, "duration", 1500*time.Millisecond, "length of each measurement")
	flag.IntVar(&o.rounds, "rounds", 3, "measurements of each subject in mode compare")
	flag.Float64Var(&o.latencyRate, "rate", 10_000, "round trips a second for the latency measurement")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the generator")
	flag.IntVar(&o.callerSockets, "callers", 4, "number of callers' addresses in mode compare, at most 256")
	levels := flag.String("feeds", "0,10000,25000,50000,100000", "numbers of open feeds, the levels of mode load")
	churn := flag.Float64("churn", 2000, "new feeds a second in mode load")
	flag.Parse()
	var err error
	switch *mode {
	case "compare":
		err = compareSubjects(o)
	case "load":
		err = runLoad(o, parseNumbers(*levels), *churn)
	case "relay", "relay-batches":
		err = runRelay(*servers, *mode == "relay-batches")
	default:
		err = fmt.Errorf("unknown mode %q: use compare, load, relay or relay-batches", *mode)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// parseNumbers parses a comma-separated list of numbers and skips other entries.
func parseNumbers(text string) (list []int) {
	for _, field := range strings.Split(text, ",") {
		if v, err := strconv.Atoi(field); err == nil {
			list = append(list, v)
		}
	}
	return list
}
