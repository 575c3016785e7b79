package signaler

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"testing"
)

// TestSubcommands guards against queries that SIGINT does not end because their process catches the signals of a daemon.
func TestSubcommands(t *testing.T) {
	for _, args := range [][]string{{"bluebelldyke"}, {"bluebelldyke", "status"}, {"bluebelldyke", "--version"}} {
		if catchEarly(args) != nil {
			t.Errorf("%v: signals are caught", args)
		}
	}
	for _, name := range []string{"direct", "serve"} {
		if catchEarly([]string{"bluebelldyke", name}) == nil {
			t.Errorf("%s: signals are not caught", name)
		}
	}
}

// TestOutputWithoutReader guards against a daemon that ends by SIGPIPE when it logs a line after the reader of its output has ended.
func TestOutputWithoutReader(t *testing.T) {
	const variable = "SIGNALER_TEST_WRITER"
	if os.Getenv(variable) != "" {
		catchEarly([]string{"bluebelldyke", "direct"})
		if _, err := os.Stdout.WriteString("line\n"); !errors.Is(err, syscall.EPIPE) {
			os.Exit(3)
		}
		os.Exit(0)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = writer.Close() }()
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	c := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestOutputWithoutReader$")
	c.Env, c.Stdout = append(os.Environ(), variable+"=1"), writer
	if err := c.Run(); err != nil {
		t.Errorf("the process that wrote ended with: %v", err)
	}
}
