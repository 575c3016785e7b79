// Package cmd implements the command line of bluebelldyke, with one file for each subcommand.
//
// Exit codes: 0 success, 1 failure (such as an address that is not permitted or a daemon that does not answer), 2 usage or invalid input
// (such as an unknown flag, a missing file or invalid settings). The subcommand call adds 3 and 4 for requests that were
// not answered.
package cmd

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/runner"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2 // usage or invalid input
)

// errorWriteLimit is the longest wait for the error output at the end of the process.
const errorWriteLimit = 400 * time.Millisecond

const (
	program   = "bluebelldyke"
	exitCodes = "Exit codes: 0 success, 1 failure, 2 usage or invalid input."
)

// Version is the version that --version prints; a release build sets it with -ldflags.
var Version = "development"

// command is one subcommand.
type command struct {
	flags *flaggy.Subcommand
	run   func(ctx context.Context, out io.Writer) error
}

// errUsage matches all errors of usageError.
var errUsage = eris.New("usage")

// usageError returns an error that matches errUsage. Its text is only the formatted message.
func usageError(format string, args ...any) error { return invalidUsage{fmt.Sprintf(format, args...)} }

type invalidUsage struct{ message string }

func (i invalidUsage) Error() string        { return i.message }
func (i invalidUsage) Is(target error) bool { return target == errUsage }

func newSubcommand(name, description, example string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	s.AdditionalHelpAppend = "\n  Example:\n    " + program + " " + example + "\n\n  " + exitCodes
	return s
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	commands := []*command{newServe(), newDirect(), newCheck(), newStatus(), newAudit(), newCall(), newExplain()}
	c, err := parse(commands, args, out)
	if err == nil && c != nil {
		err = c.run(ctx, out)
	}
	if err != nil && !runner.IsErrLogged(err) {
		printError(errOut, err)
	}
	return exitCode(err)
}

// exitCode returns the exit code that follows from an error.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	if isInvalidInput(err) {
		return exitUsage
	}
	if o := (outcomeError{}); eris.As(err, &o) {
		return o.exitCode()
	}
	return exitFailure
}

// printError writes the error. It gives up when nothing reads the output, so that the process ends; a failed write cannot be reported.
func printError(out io.Writer, err error) {
	written := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(written)
		_, _ = fmt.Fprintln(out, prefixLines(err.Error()))
		return nil
	})
	select {
	case <-written:
	case <-time.After(errorWriteLimit):
	}
}

// prefixLines puts the name of the program before each line, as is usual for error messages.
func prefixLines(text string) string {
	return program + ": " + strings.ReplaceAll(text, "\n", "\n"+program+": ")
}

func isInvalidInput(err error) bool {
	return eris.Is(err, errUsage) || inspector.IsErrInvalid(err) || configurer.IsErrUnreadable(err) || settings.IsErrUnknownNode(err)
}

// parse returns the command that the arguments select. It returns nil if it has printed the output of --help or --version.
func parse(commands []*command, args []string, out io.Writer) (*command, error) {
	names := make([]string, len(commands))
	for i, c := range commands {
		names[i] = c.flags.Name
	}
	if len(args) == 0 {
		return nil, usageError("no subcommand: use one of %s, or --help", strings.Join(names, ", "))
	}
	if args[0] == "--version" {
		_, err := fmt.Fprintln(out, program, Version)
		return nil, eris.Wrap(err, "write the version")
	}
	if !strings.HasPrefix(args[0], "-") && !slices.Contains(names, args[0]) {
		return nil, usageError("unknown subcommand %q: use one of %s, or --help", args[0], strings.Join(names, ", "))
	}
	help, err := parseFlags(commands, args)
	if err != nil {
		return nil, err
	}
	if help != nil {
		_, err := fmt.Fprintln(out, strings.Trim(strings.Join(help.Lines, "\n"), "\n"))
		return nil, eris.Wrap(err, "write the help")
	}
	for _, c := range commands {
		if c.flags.Used {
			return c, nil
		}
	}
	return nil, usageError("no subcommand: use one of %s, or --help", strings.Join(names, ", "))
}

// panicInsteadOfExit sets a variable of flaggy once, because flaggy has no lock for it.
var panicInsteadOfExit = sync.OnceFunc(func() { flaggy.PanicInsteadOfExit = true })

// parseFlags sets the flags of the command that the arguments select. It returns the help if the arguments contain --help.
//
// By itself, flaggy prints help and errors and exits. captureHelp has it store them instead, and with PanicInsteadOfExit it panics,
// which is recovered here. An error message thus takes one line, and the exit codes are those of this package.
func parseFlags(commands []*command, args []string) (help *flaggy.Help, err error) {
	parser := flaggy.NewParser(program)
	parser.Description = "layer-4 load balancer"
	parser.AdditionalHelpAppend = "\n  Example:\n    " + program + " serve --config custom/conf/app.toml\n\n  " + exitCodes
	parser.Version = Version
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	for _, c := range commands {
		parser.AttachSubcommand(c.flags, 1)
	}
	var captured *flaggy.Help
	if err := captureHelp(parser, &captured); err != nil {
		return nil, err
	}
	panicInsteadOfExit()
	defer func() {
		panicValue := recover()
		switch {
		case panicValue == nil:
		case captured == nil:
			panic(panicValue)
		case captured.Message != "":
			err = usageError("%s: see %s --help", oneLine(captured.Message), helpCommand(captured))
		default:
			help = captured
		}
	}()
	if err := parser.ParseArgs(args); err != nil {
		return nil, usageError("%s: see --help of the subcommand", oneLine(err.Error()))
	}
	return nil, nil
}

// oneLine removes line breaks, repeated spaces and the final full stop from a message of flaggy.
func oneLine(message string) string {
	return strings.TrimSuffix(strings.Join(strings.Fields(message), " "), ".")
}

// helpCommand returns the command line up to the subcommand to which the help belongs.
func helpCommand(h *flaggy.Help) string {
	if h.CommandName == program {
		return program
	}
	return program + " " + h.CommandName
}
