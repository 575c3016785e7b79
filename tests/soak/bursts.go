package main

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/tests/harness/deployment"
)

// With -bursts each zone has one backend server of a service, whose slots are busy for 0.85 of the time. For burstDuration 1.7 times the callers
// come. The backend servers run all the time, so that each reset of an open flow by a daemon is a violation.
const (
	burstServiceTime = 120 * time.Millisecond // 60 to 180 ms
	burstQueueLength = 8
	burstPause       = 500 * time.Millisecond
	burstBaseFlows   = 28
	burstFlows       = 20
	burstDuration    = 3 * time.Second
	// burstIDBlock is the first block of request ids of the callers of bursts; below are those of the callers of routes.
	burstIDBlock = 16
)

// applyBursts sets what the deployment of a run with bursts needs.
func applyBursts(c *deployment.Config) {
	c.QueueLength, c.ServiceTime, c.RequestPause, c.AsDeployed = burstQueueLength, burstServiceTime, burstPause, true
}

// burst lets more callers come to a service.
func (in *injector) burst() {
	in.burstCount++
	callers, err := in.AddCallers(deployment.Ovenwatch, burstFlows, burstIDBlock+in.burstCount)
	if err != nil {
		in.err = err
		return
	}
	in.schedule(burstDuration, burstDuration+time.Millisecond, callers.Leave)
}
