package spooler_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/spooler"
)

func ExampleSpooler() {
	var out bytes.Buffer
	s := spooler.New(&out, 2)
	for i := range 3 {
		fmt.Fprintln(s, "line", i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Run(ctx)
	fmt.Print(out.String())
	fmt.Println("dropped:", s.Dropped())
	// Output:
	// line 0
	// line 1
	// dropped: 1
}

// TestBlockedOutput guards against a daemon that blocks because nothing reads its output: writing 10,000 lines takes at most
// one second although the pipe behind them is never read.
func TestBlockedOutput(t *testing.T) {
	reader, writer := io.Pipe()
	s := spooler.New(writer, 0)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return s.Run(ctx) })
	start := time.Now()
	for range 10_000 {
		if n, err := s.Write([]byte("{}\n")); n != 3 || err != nil {
			t.Fatal(n, err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("10,000 lines took %s", took)
	}
	if dropped := s.Dropped(); dropped < 9000 {
		t.Errorf("only %d dropped lines counted", dropped)
	}
	cancel()
	_ = reader.Close()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// TestLastLine guards against a process whose cause of its end is lost because the ring buffer is full.
func TestLastLine(t *testing.T) {
	var out bytes.Buffer
	s := spooler.New(&out, 2)
	for i := range 5 {
		fmt.Fprintln(s, "line", i)
	}
	fmt.Fprintln(s.LastLine(), "cause")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := s.Run(ctx); err != nil {
		t.Error(err)
	}
	if got := out.String(); got != "line 0\nline 1\ncause\n" {
		t.Errorf("%q", got)
	}
}

func BenchmarkWrite(b *testing.B) {
	s := spooler.New(io.Discard, 0)
	line := bytes.Repeat([]byte("x"), 300)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = s.Write(line)
	}
}
