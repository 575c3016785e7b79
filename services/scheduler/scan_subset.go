package scheduler

const (
	// fullScanLimit is the largest number of backend servers of one availability zone that are all compared for a placement.
	fullScanLimit = 64
	// Of a larger availability zone, a placement compares the backend servers of the latest subsetReporters load reports,
	// because a report is most accurate when it is new, and the next subsetRotation backend servers in rotation.
	subsetReporters = 16
	subsetRotation  = 32
)

// scanSubset chooses the backend servers of a large availability zone that a placement compares.
type scanSubset struct {
	recentReporters [subsetReporters]*backend // a ring buffer
	nextReporter    int
	cursor          int    // index of the last backend server taken in rotation
	generation      uint64 // number of subsets chosen; marks the backend servers of the current one
	selected        []*backend
}

// addReporter records a backend server that has just sent a load report.
func (s *scanSubset) addReporter(b *backend) {
	s.recentReporters[s.nextReporter] = b
	s.nextReporter = (s.nextReporter + 1) % subsetReporters
}

// selectFrom returns the backend servers to compare: all, or those of the latest reports and some in rotation. The result
// is valid until the next call.
func (s *scanSubset) selectFrom(servers []*backend) []*backend {
	if len(servers) <= fullScanLimit {
		return servers
	}
	s.generation++
	s.selected = s.selected[:0]
	for _, b := range s.recentReporters {
		if b != nil {
			s.add(b)
		}
	}
	for range subsetRotation {
		s.cursor = (s.cursor + 1) % len(servers)
		s.add(servers[s.cursor])
	}
	return s.selected
}

// add appends a backend server to the current subset once.
func (s *scanSubset) add(b *backend) {
	if b.subsetGeneration != s.generation {
		b.subsetGeneration = s.generation
		s.selected = append(s.selected, b)
	}
}
