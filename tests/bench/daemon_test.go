package main

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/routers/daemon"
	"github.com/bluebelldyke/bluebelldyke/tests/bench/generator"
)

// BenchmarkDaemon forwards packets of established feeds, in both directions, through a daemon in this process. With -cpuprofile
// the profile shows the data path and the load generator.
func BenchmarkDaemon(b *testing.B) {
	echo, err := generator.StartEchoServers(serverCount, false)
	if err != nil {
		b.Fatal(err)
	}
	defer echo.Stop()
	system, err := generator.PrepareSystem("../../bin", echo)
	if err != nil {
		b.Skipf("run make build first: %v", err)
	}
	defer system.Stop()
	settings, err := configurer.Load(system.SettingsFile)
	if err != nil {
		b.Fatal(err)
	}
	settings.Stop.Grace = time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return daemon.Run(ctx, settings) })
	defer func() {
		cancel()
		if err := group.Wait(); err != nil {
			b.Error(err)
		}
	}()
	if err := system.WaitServing(); err != nil {
		b.Fatal(err)
	}
	callers, err := generator.NewFeedCallers(4, flowCount/4, system.EntryAddress, 1)
	if err != nil {
		b.Fatal(err)
	}
	defer callers.Stop()
	load := callers.Saturate(packetsInFlight / 4)
	receivedBefore, target := callers.ReceivedPackets.Load(), uint64(b.N)
	b.ResetTimer()
	for callers.ReceivedPackets.Load()-receivedBefore < target {
		time.Sleep(time.Millisecond)
	}
	b.StopTimer()
	callers.Stop()
	_ = load.Wait()
}
