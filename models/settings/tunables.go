package settings

import (
	"fmt"
	"strconv"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// Policies lists the accepted values of the tunable policy; services/scheduler implements them.
var Policies = []string{"random", "round-robin", "two-choices", "two-choices-reported", "least-loaded", "rendezvous-bounded"}

// Defaults returns the values in force where the document sets none.
func Defaults() Tunables {
	return Tunables{
		Slots:          2,
		Connections:    2000,
		DrainTime:      30 * time.Second,
		RequestTimeout: 5 * time.Second,
		RetryBudget:    0.1,
		Policy:         "least-loaded",
		SlowStart:      10 * time.Second,
		HealthInterval: time.Second,
		HealthTimeout:  500 * time.Millisecond,
		TokenLifetime:  10 * time.Second,
		Weight:         1,
	}
}

// Limits of the tunables.
const (
	maxSlots          = 1<<16 - 1 // the load TLV of the backend protocol has 2 bytes for slots
	maxConnections    = 1 << 20
	maxDrainTime      = 24 * time.Hour
	maxRequestTimeout = time.Hour
	maxSlowStart      = time.Hour
	minHealthInterval = 10 * time.Millisecond // shorter intervals would load the backend servers noticeably
	maxHealthInterval = time.Minute
	maxTokenLifetime  = time.Minute
	maxWeight         = 1000
	maxPriority       = 9
)

// tunable describes one key: how to read it from a table into an override, how to format it and how to copy it.
type tunable struct {
	key    string
	read   func(t *inspector.Table, key string) (func(*Tunables), bool)
	format func(*Tunables) string
	copy   func(dst, src *Tunables)
}

// overrides holds the values that one level sets, as functions that set them in Tunables, by key.
type overrides map[string]func(*Tunables)

// tunables lists all keys in the order in which EffectiveValues returns them.
var tunables = []tunable{
	integerTunable("slots", 1, maxSlots, func(t *Tunables) *int { return &t.Slots }),
	integerTunable("connections", 1, maxConnections, func(t *Tunables) *int { return &t.Connections }),
	durationTunable("drain-time", 0, maxDrainTime, func(t *Tunables) *time.Duration { return &t.DrainTime }),
	durationTunable("request-timeout", time.Millisecond, maxRequestTimeout, func(t *Tunables) *time.Duration { return &t.RequestTimeout }),
	numberTunable("retry-budget", 0, 1, func(t *Tunables) *float64 { return &t.RetryBudget }),
	policyTunable("policy", func(t *Tunables) *string { return &t.Policy }),
	durationTunable("slow-start", 0, maxSlowStart, func(t *Tunables) *time.Duration { return &t.SlowStart }),
	durationTunable("health-interval", minHealthInterval, maxHealthInterval, func(t *Tunables) *time.Duration { return &t.HealthInterval }),
	durationTunable("health-timeout", time.Millisecond, maxHealthInterval, func(t *Tunables) *time.Duration { return &t.HealthTimeout }),
	durationTunable("token-lifetime", time.Second, maxTokenLifetime, func(t *Tunables) *time.Duration { return &t.TokenLifetime }),
	numberTunable("weight", 0.001, maxWeight, func(t *Tunables) *float64 { return &t.Weight }),
	integerTunable("priority", 0, maxPriority, func(t *Tunables) *int { return &t.Priority }),
	durationTunable("target-latency", 0, maxRequestTimeout, func(t *Tunables) *time.Duration { return &t.TargetLatency }),
}

func integerTunable(key string, low, high int64, field func(*Tunables) *int) tunable {
	return tunable{
		key: key,
		read: func(t *inspector.Table, key string) (func(*Tunables), bool) {
			n, ok := t.Integer(key, low, high)
			if !ok {
				return nil, false
			}
			return func(t *Tunables) { *field(t) = int(n) }, true
		},
		copy:   func(dst, src *Tunables) { *field(dst) = *field(src) },
		format: func(t *Tunables) string { return strconv.Itoa(*field(t)) },
	}
}

func numberTunable(key string, low, high float64, field func(*Tunables) *float64) tunable {
	return tunable{
		key: key,
		read: func(t *inspector.Table, key string) (func(*Tunables), bool) {
			n, ok := t.Number(key, low, high)
			if !ok {
				return nil, false
			}
			return func(t *Tunables) { *field(t) = n }, true
		},
		copy:   func(dst, src *Tunables) { *field(dst) = *field(src) },
		format: func(t *Tunables) string { return fmt.Sprint(*field(t)) },
	}
}

func durationTunable(key string, low, high time.Duration, field func(*Tunables) *time.Duration) tunable {
	return tunable{
		key: key,
		read: func(t *inspector.Table, key string) (func(*Tunables), bool) {
			d, ok := t.Duration(key, low, high)
			if !ok {
				return nil, false
			}
			return func(t *Tunables) { *field(t) = d }, true
		},
		copy:   func(dst, src *Tunables) { *field(dst) = *field(src) },
		format: func(t *Tunables) string { return field(t).String() },
	}
}

func policyTunable(key string, field func(*Tunables) *string) tunable {
	return tunable{
		key: key,
		read: func(t *inspector.Table, key string) (func(*Tunables), bool) {
			s, ok := t.Choice(key, Policies...)
			if !ok {
				return nil, false
			}
			return func(t *Tunables) { *field(t) = s }, true
		},
		copy:   func(dst, src *Tunables) { *field(dst) = *field(src) },
		format: func(t *Tunables) string { return *field(t) },
	}
}

// readOverrides reads the tunables that the table sets.
func readOverrides(t *inspector.Table) overrides {
	var o overrides
	for _, d := range tunables {
		if set, ok := d.read(t, d.key); ok {
			if o == nil {
				o = overrides{}
			}
			o[d.key] = set
		}
	}
	return o
}

// apply returns t with the overrides of the levels applied in turn.
func apply(t Tunables, levels ...overrides) Tunables {
	for _, o := range levels {
		for _, set := range o {
			set(&t)
		}
	}
	return t
}
