package directory

import "math"

// Limits of what entries and configurations may state. Sums over all entries do not overflow, and messages between daemons can carry each
// value, so that all daemons have the same content.
const (
	MaxSlots           = math.MaxUint16 // of a backend server
	MaxWeight          = math.MaxInt32  // of a share
	MinPriority        = math.MinInt16
	MaxPriority        = math.MaxInt16
	MaxWarmUpPerSecond = 1e6
)
