package main

import (
	"fmt"
	"os"
	"strings"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(folder string, trouble bool) (int, error){"priorities": runPriorities, "resets": runResets, "burst": runBurst}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins CASE FOLDER")
		os.Exit(failed)
	}
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = failed
	}
	os.Exit(code)
}

// cause returns the line of a log file that tells why the process has ended.
func cause(file string) string {
	content, err := os.ReadFile(file)
	if err != nil {
		return ""
	}
	lines := strings.Split(string(content), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.HasPrefix(lines[i], "panic:") {
			for _, l := range lines[i:] {
				if strings.Contains(l, "/services/") || strings.Contains(l, "/internal/") {
					l = l[strings.LastIndex(l, "/bluebelldyke/")+1:]
					return lines[i] + ", in " + strings.TrimSpace(strings.TrimPrefix(l, "bluebelldyke/"))
				}
			}
			return lines[i]
		}
	}
	return ""
}
