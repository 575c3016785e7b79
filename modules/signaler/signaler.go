// Package signaler catches the signals that are sent to a daemon from the first moment on. Without it, a signal that arrives before the
// daemon is assembled ends the process by its default action.
//
// It imports only what is needed, because Go initialises a package as soon as its imports are initialised.
package signaler

import (
	"os"
	"os/signal"
	"syscall"
)

// capacity is the number of signals that are kept until the daemon handles them.
const capacity = 64

// early has the signals since the initialisation of the package. It is nil unless the command line starts a daemon.
var early = catchEarly(os.Args)

func catchEarly(args []string) chan os.Signal {
	if len(args) < 2 || (args[1] != "direct" && args[1] != "serve") {
		return nil
	}
	return catch()
}

func catch() chan os.Signal {
	signals := make(chan os.Signal, capacity)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE) // otherwise the Go runtime ends the process when the reader of its standard output is gone
	return signals
}

// Signals returns the channel of SIGHUP, SIGTERM and SIGINT, whose default actions are off from then on, as is that of SIGPIPE. It has the signals since the start
// of a process whose first argument is the subcommand of a daemon.
func Signals() <-chan os.Signal {
	if early == nil {
		early = catch()
	}
	return early
}
