// Command flows simulates four ways to keep established flows on their backend servers while balancers are replaced, backend
// servers are added and drained, views arrive late and an availability zone is partitioned from the others.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the scenario")
	flows := flag.Int("flows", 20_000, "number of flows")
	churn := flag.Int("churn", 100, "flows a second that end and are replaced by new ones")
	tokenless := flag.Int("tokenless", 2_000, "number of flows in the run whose callers return no tokens")
	policies := flag.Bool("policies", false, "compare the placement policies under the option with tokens instead of the four options")
	flag.Parse()
	compare := func() error { return compareOptions(*seed, *flows, *churn, *tokenless) }
	if *policies {
		compare = func() error { return comparePolicies(*seed, *flows, *churn) }
	}
	if err := compare(); err != nil {
		fmt.Fprintln(os.Stderr, "flows:", err)
		os.Exit(1)
	}
}

// compareOptions runs each option through the same scenario, and the option with tokens once more with callers that return none.
func compareOptions(seed uint64, flows, churn, tokenlessFlows int) error {
	t := newTimeline(rand.New(rand.NewPCG(seed, 1)))
	byToken, err := newTokenOption(t, seed, true, settings.Defaults().Policy)
	if err != nil {
		return err
	}
	withoutTokens, err := newTokenOption(t, seed, false, settings.Defaults().Policy)
	if err != nil {
		return err
	}
	byHash := hashOption{t}
	fmt.Printf("%d flows, %d new ones a second, %d balancers, %d backend servers, seed %d\n\n", flows, churn, balancerCount, serverCount, seed)
	fmt.Println("| option | opened | broken flows | breaks: drain | replacement | partition | after | lost | moved | left on the drained server | entries peak | at the end | bytes an entry | memory at the end |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	byOwner := &ownerOption{tableOption: tableOption{hashOption: byHash, flowTables: newFlowTables(t)}}
	packets := 0
	for _, o := range []option{&byHash, &tableOption{hashOption: byHash, flowTables: newFlowTables(t)}, byOwner, byToken} {
		result := simulate(o, t, flows, churn, seed)
		packets = result.sentPackets
		printRow(o, result)
	}
	fmt.Printf("\nWith option C, a packet was forwarded between balancers %.2f times on average.\n", float64(byOwner.forwardedPackets)/float64(packets))
	result := simulate(withoutTokens, t, tokenlessFlows, 0, seed)
	fmt.Printf("Without tokens, %d flows: %d of %d packets reached another backend server than the one that held the flow; "+
		"%d flows broke at least once.\n", tokenlessFlows, result.breaks, result.sentPackets, result.brokenFlows)
	return nil
}

// comparePolicies runs the option with tokens once for each placement policy.
func comparePolicies(seed uint64, flows, churn int) error {
	fmt.Println("| policy | opened | broken flows | moved on a move datagram | lost packets |")
	fmt.Println("|---|---|---|---|---|")
	for _, policy := range settings.Policies {
		t := newTimeline(rand.New(rand.NewPCG(seed, 1)))
		byToken, err := newTokenOption(t, seed, true, policy)
		if err != nil {
			return err
		}
		result := simulate(byToken, t, flows, churn, seed)
		fmt.Printf("| %s | %d | %d | %d | %d |\n", policy, result.openedFlows, result.brokenFlows, result.movedFlows, result.lostPackets)
	}
	return nil
}

func printRow(o option, result tally) {
	size := o.entrySize()
	fmt.Printf("| %s | %d | %d (%d breaks, %d silent) | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d KB |\n", o.name(),
		result.openedFlows, result.brokenFlows, result.breaks, result.silenceBreaks, result.breaksByPhase["drain"],
		result.breaksByPhase["replacement"], result.breaksByPhase["partition"], result.breaksByPhase["after"],
		result.lostPackets, result.movedFlows, result.flowsOnDrainedServer, result.peakEntries, result.finalEntries, size, size*result.finalEntries/1000)
}
