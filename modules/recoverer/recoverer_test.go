package recoverer_test

import (
	"strings"
	"testing"

	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
)

// TestRepeatedPanics guards against a panic that ends the process, and against log lines without bound or without the place of the panic.
func TestRepeatedPanics(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	r, err := recoverer.New(recoverer.Config{Logger: zap.New(core), Meter: noop.Meter{}})
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if r.Do("packet", 31, func() { panic(strings.Repeat("x", 10_000)) }) {
			t.Fatal("a panic is reported as success")
		}
	}
	if !r.Do("packet", 31, func() {}) || r.Panics("packet") != 100 || r.Panics("tick") != 0 {
		t.Errorf("%d panics counted", r.Panics("packet"))
	}
	if logs.Len() != 1 {
		t.Fatalf("%d log lines", logs.Len())
	}
	fields := logs.All()[0].ContextMap()
	if stack := fields["stack"].(string); len(stack) > 3000 || !strings.Contains(stack, "recoverer_test.go") {
		t.Errorf("stack of %d bytes: %s", len(stack), stack)
	}
	if text := fields["panic"].(string); len(text) > 300 {
		t.Errorf("value of %d bytes", len(text))
	}
}

// TestNothingContainedWithoutRecoverer guards against tests that pass although the code panics.
func TestNothingContainedWithoutRecoverer(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("a nil Recoverer contains a panic")
		}
	}()
	(*recoverer.Recoverer)(nil).Do("packet", 0, func() { panic("x") })
}
