package generator

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clockTick is the unit of processor times in /proc, which Linux fixes at 100 a second.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used so far.
type Usage struct {
	CPUTime       time.Duration
	ResidentBytes int64 // bytes
}

// ReadUsage reads the usage of a process.
func ReadUsage(pid int) (Usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, eris.Wrap(err, "read the usage of a process")
	}
	// The program's name stands in parentheses and may hold spaces; utime, stime and rss are fields 14, 15 and 24.
	fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	var user, system, pages int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages); err != nil {
		return Usage{}, eris.Wrap(err, "parse the usage of a process")
	}
	return Usage{CPUTime: time.Duration(user+system) * clockTick, ResidentBytes: pages * int64(os.Getpagesize())}, nil
}
