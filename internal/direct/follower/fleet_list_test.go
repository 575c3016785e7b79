package follower

import "slices"

// setDaemons replaces the daemons while they run.
func (f *fleet) setDaemons(list []*daemon) {
	f.daemonsMu.Lock()
	defer f.daemonsMu.Unlock()
	f.daemons = list
}

// list returns the daemons, for goroutines of the daemons themselves.
func (f *fleet) list() []*daemon {
	f.daemonsMu.Lock()
	defer f.daemonsMu.Unlock()
	return slices.Clone(f.daemons)
}
