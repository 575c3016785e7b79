package steerer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

// TestEverNewZones guards against memory that grows with each heartbeat of an entry that names another zone.
func TestEverNewZones(t *testing.T) {
	s := New(Config{AvailabilityZone: "souillac", Random: rand.New(rand.NewPCG(1, 1)), CrossZoneMargin: time.Millisecond, SpeedDigests: true})
	for i := range 1000 {
		s.SetBackendList(time.Unix(int64(i), 0), &directory.BackendList{Servers: []directory.BackendServer{{ID: 1, Service: "ovenwatch", Slots: 2, AvailabilityZone: fmt.Sprint("zone", i)}}})
	}
	if n := len(s.zoneRoundTrips); n > maxUnusedZones+1 {
		t.Errorf("estimates of %d zones are kept", n)
	}
	if s.zoneRoundTrips["souillac"] != s.ownZoneRoundTrip {
		t.Error("the estimate of the own zone is lost")
	}
}
