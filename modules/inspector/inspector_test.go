package inspector_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

func Example() {
	report := inspector.NewReport("app.toml")
	root := inspector.Parse(report, []byte("[stop]\ngrace = 5\ngrave = 1"))
	stop := root.Table("stop")
	stop.Duration("grace", 0, time.Hour)
	stop.RejectUnknownKeys()
	root.RejectUnknownKeys()
	fmt.Println(report.Err())
	// Output:
	// app.toml: stop.grace: wrong type or unit (5): write a string with a unit, such as "250ms" or "10s"
	// app.toml: stop.grave: unknown key: remove it or use one of: grace
}

// TestProblems guards against values of the wrong type, unit or range that are accepted or that stop the validation
// early.
func TestProblems(t *testing.T) {
	tests := []struct {
		content string
		read    func(t *inspector.Table)
		want    string
	}{
		{`k = "3"`, func(t *inspector.Table) { t.Integer("k", 0, 9) }, `k: wrong type or unit ("3")`},
		{`k = 3.0`, func(t *inspector.Table) { t.Integer("k", 0, 9) }, `k: wrong type or unit (3)`},
		{`k = 10`, func(t *inspector.Table) { t.Integer("k", 0, 9) }, `k: 10 is out of range`},
		{`k = nan`, func(t *inspector.Table) { t.Number("k", 0, 1) }, `k: NaN is out of range`},
		{`k = "20%"`, func(t *inspector.Table) { t.Number("k", 0, 1) }, `k: wrong type or unit ("20%")`},
		{`k = "5"`, func(t *inspector.Table) { t.Duration("k", 0, time.Hour) }, `k: wrong type or unit ("5")`},
		{`k = "-5s"`, func(t *inspector.Table) { t.Duration("k", 0, time.Hour) }, `k: -5s is out of range`},
		{`k = ""`, func(t *inspector.Table) { t.Text("k") }, `k: empty`},
		{`k = "c"`, func(t *inspector.Table) { t.Choice("k", "a", "b") }, `k: unknown value "c": use one of: a, b`},
		{`k = "10.0.0.1"`, func(t *inspector.Table) { t.AddrPort("k") }, `k: "10.0.0.1" is not an address`},
		{`k = "0.0.0.0:1"`, func(t *inspector.Table) { t.AddrPort("k") }, `k: 0.0.0.0:1 names no single address`},
		{`k = "fe80::1%eth0"`, func(t *inspector.Table) { t.Addr("k") }, `k: "fe80::1%eth0" is not a concrete IP address`},
		{`k = ["a", 1]`, func(t *inspector.Table) { t.Texts("k") }, `k[1]: wrong type or empty (1)`},
		{`k = "secret!"`, func(t *inspector.Table) { t.Integer("k", 0, 9) }, `k: wrong type`},
		{`k = 3`, func(t *inspector.Table) { t.Table("k") }, `k: wrong type or unit (3): write a table, [k]`},
		{`k = [{}, 3]`, func(t *inspector.Table) { t.Tables("k") }, `k[1]: wrong type (3)`},
		{`"a b".c = 1`, func(t *inspector.Table) { t.Table("a b").RejectUnknownKeys() }, `"a b".c: unknown key`},
		{`k = `, func(*inspector.Table) {}, `line 1, column `},
	}
	for _, test := range tests {
		g := NewWithT(t)
		report := inspector.NewReport("f")
		test.read(inspector.Parse(report, []byte(test.content)))
		err := report.Err()
		g.Expect(inspector.IsErrInvalid(err)).To(BeTrue(), test.content)
		g.Expect(err.Error()).To(HavePrefix("f: " + test.want))
	}
}
