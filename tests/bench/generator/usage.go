package generator

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clockTick is the unit of CPU times in /proc, which Linux fixes at 100 ticks a second.
const clockTick = 10 * time.Millisecond

// Usage is the CPU time that a process has used and its resident memory.
type Usage struct {
	CPUTime       time.Duration
	ResidentBytes int64
}

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, eris.Wrap(err, "read the usage of a process")
	}
	// The program's name is in parentheses and may contain spaces; utime, stime and rss are fields 14, 15 and 24.
	fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	var user, system, pages int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages); err != nil {
		return Usage{}, eris.Wrap(err, "parse the usage of a process")
	}
	return Usage{CPUTime: time.Duration(user+system) * clockTick, ResidentBytes: pages * int64(os.Getpagesize())}, nil
}
