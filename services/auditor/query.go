package auditor

// NewestEntries returns the newest n entries, newest first, or all entries if there are fewer.
func (a *Auditor) NewestEntries(n int) []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	n = max(0, min(n, len(a.entries)))
	entries := make([]Entry, n)
	for i := range entries {
		index := a.next - 1 - i
		if index < 0 {
			index += len(a.entries)
		}
		entries[i] = a.entries[index]
	}
	return entries
}

// Total returns the number of recorded entries, including those that were dropped since.
func (a *Auditor) Total() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}
