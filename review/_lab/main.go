// Command lab plays the cases of the second review that are no days of the bench. It starts daemons as processes and plays the platform's
// store, hosts, routers and requesters itself, all on loopback addresses.
//
//	lab CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(w *world, trouble bool) error{
	"tag-collision": tagCollision, "cut-rejoin": cutRejoin,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(w *world, trouble bool) error, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.stop()
	if err := play(w, os.Getenv("TROUBLE") != "0"); err != nil {
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, text := range []string{"backend-server-silent", "idle flow reset"} {
		for _, line := range w.logs(text) {
			r.add("log: %s", line)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violation) > 0 {
		fmt.Println("rule broken:", len(w.violation), "times; first:", w.violation[0])
		return 1
	}
	fmt.Println("rule held")
	return 0
}

// settle is how long the daemons run before the first flow: traffic starts 10 s after the machines.
const settle = 8 * time.Second
