package explainer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/explainer"
)

// log is recorded from a day on which a backend server died (isbc-grid trouble-2, shortened), with bad lines.
const log = `
  23.900 front-a {"level":"info","ts":1000.9,"msg":"flow decision","flow":"100.64.0.7:40001>198.18.0.1:443","outcome":"forward","cause":"placed","server":"7f","tag":0,"configuration":7,"listing":412}
  24.500 front-a {"level":"info","ts":1001.5,"msg":"condition of a backend server","server":"7f","condition":"silent","found-by":"self"}
  24.500 front-a {"level":"info","ts":1001.4,"msg":"condition of a backend server","server":"80","condition":"suspected","found-by":"self"}
  24.520 front-a {"level":"info","ts":1001.52,"msg":"flow decision","flow":"100.64.0.7:40001>198.18.0.1:443","outcome":"reset","cause":"backend-server-silent","server":"7f"}
  24.521 front-b {"level":"info","ts":1001.521,"msg":"flow decision","flow":"100.64.0.9:40002>198.18.0.1:443","outcome":"forward","cause":"placed","server":"81"}
not a line of ours
{"level":"info","msg":"no time"}
{"broken
`

func ExampleExplainer() {
	e := explainer.New()
	if err := e.Read(strings.NewReader(log)); err != nil {
		fmt.Println(err)
	}
	s := e.Explain(explainer.Query{Flow: "100.64.0.7:40001", Margin: time.Second})
	for _, l := range s.Decisions {
		fmt.Println(l.VM, l.Fields["outcome"], l.Fields["cause"])
	}
	for _, l := range s.StateChanges {
		fmt.Println(l.VM, l.Fields["server"], l.Fields["condition"])
	}
	fmt.Println(s.LinesRead, s.LinesMalformed)
	// Output:
	// front-a forward placed
	// front-a reset backend-server-silent
	// front-a 7f silent
	// 8 3
}

// TestServer guards against a query for a backend server that tells only of flows.
func TestServer(t *testing.T) {
	e := explainer.New()
	if err := e.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	if s := e.Explain(explainer.Query{Server: "80"}); len(s.StateChanges) != 1 || len(s.Decisions) != 0 {
		t.Errorf("%+v", s)
	}
	if s := e.Explain(explainer.Query{Flow: "10.9.9.9"}); len(s.Decisions)+len(s.StateChanges) != 0 {
		t.Errorf("a story of nobody: %+v", s)
	}
	if s := e.Explain(explainer.Query{From: 1001600 * time.Millisecond}); len(s.Decisions) != 0 {
		t.Errorf("decisions before the window: %+v", s.Decisions)
	}
}

// FuzzRead guards against a panic on any log.
func FuzzRead(f *testing.F) {
	f.Add([]byte(log))
	f.Fuzz(func(t *testing.T, b []byte) {
		e := explainer.New()
		if e.Read(strings.NewReader(string(b))) == nil {
			e.Explain(explainer.Query{Flow: ":"})
		}
	})
}
