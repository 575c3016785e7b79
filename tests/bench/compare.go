package main

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/tests/bench/generator"
)

const (
	servers = 14
	flows   = 1024
	// window is the number of packets on the way. They fit the socket queues.
	window = 256
	warmUp = 500 * time.Millisecond
)

// subject is one thing that is measured.
type subject struct {
	name string
	// start returns the entry address and the process id of the subject.
	start func(e *generator.EchoServers) (entry netip.AddrPort, pid int, stop func(), err error)
	plain bool
}

// result is one measurement of a subject.
type result struct {
	packets, cores float64 // packets a second, cores used
	p50, p99       int64   // of the round trip, in microseconds
	dropped        uint64
}

func (r result) perCore() float64 { return r.packets / r.cores }

// round is one measurement of the generator alone and of each subject, one directly after the other: on a shared VM only
// neighbouring measurements compare well.
type round struct {
	direct  result
	results []result
}

func compare(o options) error {
	subjects := []subject{
		{"(a) relay, one packet a call", func(e *generator.EchoServers) (netip.AddrPort, int, func(), error) { return startRelay(e, "relay") }, true},
		{"(b) relay, batches", func(e *generator.EchoServers) (netip.AddrPort, int, func(), error) {
			return startRelay(e, "relay-batches")
		}, true},
		{"(c) daemon", func(e *generator.EchoServers) (netip.AddrPort, int, func(), error) { return startDaemon(o, e) }, false},
	}
	var rounds []round
	for range o.rounds {
		var r round
		var err error
		if r.direct, err = measureDirect(o); err != nil {
			return err
		}
		for _, s := range subjects {
			m, err := measure(o, s)
			if err != nil {
				return eris.Wrap(err, s.name)
			}
			r.results = append(r.results, m)
		}
		rounds = append(rounds, r)
	}
	printRounds(o, subjects, rounds)
	return nil
}

func startDaemon(o options, e *generator.EchoServers) (netip.AddrPort, int, func(), error) {
	s, err := generator.StartSystem(o.binaries, e)
	if err != nil {
		return netip.AddrPort{}, 0, nil, err
	}
	return s.EntryAddress, s.Daemon.Process.Pid, s.Stop, nil
}

func startRelay(e *generator.EchoServers, mode string) (netip.AddrPort, int, func(), error) {
	program, err := os.Executable()
	if err != nil {
		return netip.AddrPort{}, 0, nil, eris.Wrap(err, "find this program")
	}
	var list []string
	for _, a := range e.Addresses() {
		list = append(list, a.String())
	}
	c := exec.Command(program, "-mode", mode, "-servers", strings.Join(list, ","))
	c.Stderr = os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, err := c.StdoutPipe()
	if err != nil {
		return netip.AddrPort{}, 0, nil, eris.Wrap(err, "start the relay")
	}
	if err := c.Start(); err != nil {
		return netip.AddrPort{}, 0, nil, eris.Wrap(err, "start the relay")
	}
	stop := func() { _ = c.Process.Kill(); _ = c.Wait() }
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		stop()
		return netip.AddrPort{}, 0, nil, eris.Wrap(err, "read the relay's address")
	}
	entry, err := netip.ParseAddrPort(strings.TrimSpace(line))
	return entry, c.Process.Pid, stop, err
}

// measureDirect measures the round trip of the load generator alone.
func measureDirect(o options) (result, error) {
	e, err := generator.StartEchoServers(1, true)
	if err != nil {
		return result{}, err
	}
	defer e.Stop()
	c, err := generator.NewPlainCallers(o.sockets, flows/o.sockets, e.Addresses()[0])
	if err != nil {
		return result{}, err
	}
	defer c.Stop()
	var r result
	r.latency(c.MeasureLatency(o.rate, o.seconds, o.seed))
	return r, nil
}

func (r *result) latency(h *hdrhistogram.Histogram) {
	r.p50, r.p99 = h.ValueAtQuantile(50), h.ValueAtQuantile(99)
}

func measure(o options, s subject) (result, error) {
	e, err := generator.StartEchoServers(servers, s.plain)
	if err != nil {
		return result{}, err
	}
	defer e.Stop()
	entry, pid, stop, err := s.start(e)
	if err != nil {
		return result{}, err
	}
	defer stop()
	open := func() (*generator.Callers, error) {
		if s.plain {
			return generator.NewPlainCallers(o.sockets, flows/o.sockets, entry)
		}
		return generator.NewFeedCallers(o.sockets, flows/o.sockets, entry, o.seed)
	}
	c, err := open()
	if err != nil {
		return result{}, err
	}
	defer c.Stop()
	var r result
	r.latency(c.MeasureLatency(o.rate, o.seconds, o.seed))
	err = r.saturate(o, c, pid)
	return r, err
}

func (r *result) saturate(o options, c *generator.Callers, pid int) error {
	load := c.Saturate(window / o.sockets)
	time.Sleep(warmUp)
	begun, count := time.Now(), c.ReceivedPackets.Load()
	before, err := generator.ReadUsage(pid)
	if err != nil {
		return err
	}
	time.Sleep(o.seconds)
	after, err := generator.ReadUsage(pid)
	if err != nil {
		return err
	}
	took := time.Since(begun).Seconds()
	// A round trip is two packets that the subject forwards.
	r.packets = 2 * float64(c.ReceivedPackets.Load()-count) / took
	r.cores = (after.CPUTime - before.CPUTime).Seconds() / took
	c.Stop()
	_ = load.Wait()
	r.dropped = c.SentPackets.Load() - min(c.SentPackets.Load(), c.ReceivedPackets.Load()+window)
	return nil
}

// spread is the median, the lowest and the highest of one value over all rounds.
type spread struct{ median, low, high float64 }

func spreadOf(rounds []round, value func(round) float64) spread {
	var list []float64
	for _, r := range rounds {
		list = append(list, value(r))
	}
	slices.Sort(list)
	return spread{median: list[len(list)/2], low: list[0], high: list[len(list)-1]}
}

func (s spread) String() string { return s.format("%.0f") }

func (s spread) format(f string) string {
	return fmt.Sprintf(f+" ("+f+" to "+f+")", s.median, s.low, s.high)
}

func printRounds(o options, subjects []subject, rounds []round) {
	fmt.Printf("%d rounds of %s for each measurement, %d callers with %d flows and %d packets on the way together, "+
		"%d backend servers, seed %d; median (lowest to highest)\n", o.rounds, o.seconds, o.sockets, flows, window, servers, o.seed)
	fmt.Printf("round trip without anything between at %.0f a second: p50 %s us, p99 %s us\n\n", o.rate,
		spreadOf(rounds, func(r round) float64 { return float64(r.direct.p50) }),
		spreadOf(rounds, func(r round) float64 { return float64(r.direct.p99) }))
	fmt.Println("| subject | packets/s | cores | packets/s per core | per core, ratio to (a) | per core, ratio to (b) | added p50 us | added p99 us | lost |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for i, s := range subjects {
		of := func(value func(m, direct result) float64) spread {
			return spreadOf(rounds, func(r round) float64 { return value(r.results[i], r.direct) })
		}
		ratio := func(to int) string {
			return spreadOf(rounds, func(r round) float64 { return r.results[i].perCore() / r.results[to].perCore() }).format("%.2f")
		}
		fmt.Printf("| %s | %s | %s | %s | %s | %s | %s | %s | %.0f |\n", s.name,
			of(func(m, _ result) float64 { return m.packets }), of(func(m, _ result) float64 { return m.cores }).format("%.2f"),
			of(func(m, _ result) float64 { return m.perCore() }), ratio(0), ratio(1),
			of(func(m, d result) float64 { return float64(m.p50 - d.p50) }),
			of(func(m, d result) float64 { return float64(m.p99 - d.p99) }),
			of(func(m, _ result) float64 { return float64(m.dropped) }).high)
	}
}
