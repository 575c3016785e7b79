// Package layers_test checks the direction of imports between the layers of the product.
package layers_test

import (
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"strings"
	"testing"
)

const module = "github.com/bluebelldyke/bluebelldyke/"

// rank gives each layer its height. A package imports only from its own layer or from lower ones.
var rank = map[string]int{"modules": 0, "models": 1, "services": 2, "routers": 3, "internal": 3, "platform": 4, "cmd": 5, "": 6}

// callerLayers are the layers that the public caller library may import: other programs embed it.
var callerLayers = map[string]bool{"modules": true}

type listed struct {
	ImportPath string
	Imports    []string
}

// TestImportsGoDown guards against an import against the direction cmd, routers, services, models, modules, and against
// product code that imports test code.
func TestImportsGoDown(t *testing.T) {
	command := exec.Command("go", "list", "-json=ImportPath,Imports", module+"...")
	out, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(out)))
	packages := 0
	for {
		var p listed
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		packages++
		for _, imported := range p.Imports {
			check(t, p.ImportPath, imported)
		}
	}
	if packages < 10 {
		t.Fatalf("only %d packages listed", packages)
	}
}

func check(t *testing.T, from, to string) {
	t.Helper()
	if !strings.HasPrefix(to, module) {
		return
	}
	lower, upper := layer(to), layer(from)
	switch {
	case upper == "tests":
	case lower == "tests":
		t.Errorf("%s imports %s: product code must not need test code", from, to)
	case upper == "caller":
		if !callerLayers[lower] {
			t.Errorf("%s imports %s: the caller library imports only modules", from, to)
		}
	case lower == "caller":
		if upper != "cmd" {
			t.Errorf("%s imports %s: only cmd uses the caller library", from, to)
		}
	case rank[lower] > rank[upper]:
		t.Errorf("%s imports %s: imports go down from cmd over routers, services and models to modules", from, to)
	}
}

// layer returns the first path element of a package within the module, "" for the main package.
func layer(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path+"/", module), "/")
	return name
}
