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
	serverCount = 14
	flowCount   = 1024
	// packetsInFlight is the number of packets in flight over all callers. The socket buffers can hold this number.
	packetsInFlight = 256
	warmUpTime      = 500 * time.Millisecond
)

// subject is a program that is measured.
type subject struct {
	name string
	// start starts the subject and returns its entry address, its process id and a function that stops it.
	start        func(e *generator.EchoServers) (entry netip.AddrPort, pid int, stop func(), err error)
	isPlainRelay bool // the subject is a relay of plain packets
}

// result is one measurement of a subject.
type result struct {
	packetsPerSecond, cores float64 // cores is the CPU time per second
	p50, p99                int64   // of the round trip, in microseconds
	lostPackets             uint64
}

func (r result) packetsPerCore() float64 { return r.packetsPerSecond / r.cores }

// round is one measurement of the generator alone and of each subject, one directly after the other: on a shared VM, only
// measurements made shortly after each other are comparable.
type round struct {
	generatorOnly result
	results       []result
}

// compareSubjects measures all subjects in rounds and prints a table.
func compareSubjects(o options) error {
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
		if r.generatorOnly, err = measureGenerator(o); err != nil {
			return err
		}
		for _, s := range subjects {
			measured, err := measure(o, s)
			if err != nil {
				return eris.Wrap(err, s.name)
			}
			r.results = append(r.results, measured)
		}
		rounds = append(rounds, r)
	}
	printRounds(o, subjects, rounds)
	return nil
}

func startDaemon(o options, echo *generator.EchoServers) (netip.AddrPort, int, func(), error) {
	system, err := generator.StartSystem(o.binaryDir, echo)
	if err != nil {
		return netip.AddrPort{}, 0, nil, err
	}
	return system.EntryAddress, system.Daemon.Process.Pid, system.Stop, nil
}

// startRelay starts this program again in the mode of a relay, which prints its entry address.
func startRelay(echo *generator.EchoServers, mode string) (netip.AddrPort, int, func(), error) {
	program, err := os.Executable()
	if err != nil {
		return netip.AddrPort{}, 0, nil, eris.Wrap(err, "find the executable of this program")
	}
	var addresses []string
	for _, a := range echo.Addresses() {
		addresses = append(addresses, a.String())
	}
	command := exec.Command(program, "-mode", mode, "-servers", strings.Join(addresses, ","))
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, err := command.StdoutPipe()
	if err != nil {
		return netip.AddrPort{}, 0, nil, eris.Wrap(err, "start the relay")
	}
	if err := command.Start(); err != nil {
		return netip.AddrPort{}, 0, nil, eris.Wrap(err, "start the relay")
	}
	stop := func() { _ = command.Process.Kill(); _ = command.Wait() }
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		stop()
		return netip.AddrPort{}, 0, nil, eris.Wrap(err, "read the relay's address")
	}
	entry, err := netip.ParseAddrPort(strings.TrimSpace(line))
	return entry, command.Process.Pid, stop, err
}

// measureGenerator measures the round trip between callers and a backend server without a balancer.
func measureGenerator(o options) (result, error) {
	echo, err := generator.StartEchoServers(1, true)
	if err != nil {
		return result{}, err
	}
	defer echo.Stop()
	callers, err := generator.NewPlainCallers(o.callerSockets, flowCount/o.callerSockets, echo.Addresses()[0])
	if err != nil {
		return result{}, err
	}
	defer callers.Stop()
	var r result
	r.setLatency(callers.MeasureLatency(o.latencyRate, o.duration, o.seed))
	return r, nil
}

func (r *result) setLatency(histogram *hdrhistogram.Histogram) {
	r.p50, r.p99 = histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(99)
}

// measure measures the latency and then the throughput of a subject.
func measure(o options, s subject) (result, error) {
	echo, err := generator.StartEchoServers(serverCount, s.isPlainRelay)
	if err != nil {
		return result{}, err
	}
	defer echo.Stop()
	entry, pid, stop, err := s.start(echo)
	if err != nil {
		return result{}, err
	}
	defer stop()
	open := func() (*generator.Callers, error) {
		if s.isPlainRelay {
			return generator.NewPlainCallers(o.callerSockets, flowCount/o.callerSockets, entry)
		}
		return generator.NewFeedCallers(o.callerSockets, flowCount/o.callerSockets, entry, o.seed)
	}
	callers, err := open()
	if err != nil {
		return result{}, err
	}
	defer callers.Stop()
	var r result
	r.setLatency(callers.MeasureLatency(o.latencyRate, o.duration, o.seed))
	err = r.measureThroughput(o, callers, pid)
	return r, err
}

// measureThroughput measures how many packets a subject forwards under full load, and the CPU time for them.
func (r *result) measureThroughput(o options, c *generator.Callers, pid int) error {
	load := c.Saturate(packetsInFlight / o.callerSockets)
	time.Sleep(warmUpTime)
	startedAt, receivedBefore := time.Now(), c.ReceivedPackets.Load()
	before, err := generator.ReadUsage(pid)
	if err != nil {
		return err
	}
	time.Sleep(o.duration)
	after, err := generator.ReadUsage(pid)
	if err != nil {
		return err
	}
	elapsed := time.Since(startedAt).Seconds()
	// The subject forwards two packets in each round trip.
	r.packetsPerSecond = 2 * float64(c.ReceivedPackets.Load()-receivedBefore) / elapsed
	r.cores = (after.CPUTime - before.CPUTime).Seconds() / elapsed
	c.Stop()
	_ = load.Wait()
	r.lostPackets = c.SentPackets.Load() - min(c.SentPackets.Load(), c.ReceivedPackets.Load()+packetsInFlight)
	return nil
}

// spread holds the median, the minimum and the maximum of a value over all rounds.
type spread struct{ median, low, high float64 }

func spreadOf(rounds []round, value func(round) float64) spread {
	var values []float64
	for _, r := range rounds {
		values = append(values, value(r))
	}
	slices.Sort(values)
	return spread{median: values[len(values)/2], low: values[0], high: values[len(values)-1]}
}

func (s spread) String() string { return s.format("%.0f") }

func (s spread) format(f string) string {
	return fmt.Sprintf(f+" ("+f+" to "+f+")", s.median, s.low, s.high)
}

func printRounds(o options, subjects []subject, rounds []round) {
	fmt.Printf("%d rounds of %s for each measurement, %d callers with %d flows and %d packets in flight together, "+
		"%d backend servers, seed %d; median (lowest to highest)\n", o.rounds, o.duration, o.callerSockets, flowCount, packetsInFlight, serverCount, o.seed)
	fmt.Printf("round trip without a balancer at %.0f a second: p50 %s us, p99 %s us\n\n", o.latencyRate,
		spreadOf(rounds, func(r round) float64 { return float64(r.generatorOnly.p50) }),
		spreadOf(rounds, func(r round) float64 { return float64(r.generatorOnly.p99) }))
	fmt.Println("| subject | packets/s | cores | packets/s per core | per core, ratio to (a) | per core, ratio to (b) | added p50 us | added p99 us | lost |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for i, subject := range subjects {
		column := func(value func(m, generatorOnly result) float64) spread {
			return spreadOf(rounds, func(r round) float64 { return value(r.results[i], r.generatorOnly) })
		}
		ratio := func(base int) string {
			return spreadOf(rounds, func(r round) float64 { return r.results[i].packetsPerCore() / r.results[base].packetsPerCore() }).format("%.2f")
		}
		fmt.Printf("| %s | %s | %s | %s | %s | %s | %s | %s | %.0f |\n", subject.name,
			column(func(m, _ result) float64 { return m.packetsPerSecond }), column(func(m, _ result) float64 { return m.cores }).format("%.2f"),
			column(func(m, _ result) float64 { return m.packetsPerCore() }), ratio(0), ratio(1),
			column(func(m, generatorOnly result) float64 { return float64(m.p50 - generatorOnly.p50) }),
			column(func(m, generatorOnly result) float64 { return float64(m.p99 - generatorOnly.p99) }),
			column(func(m, _ result) float64 { return float64(m.lostPackets) }).high)
	}
}
