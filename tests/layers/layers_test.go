// Package layers_test checks that imports between the layers of the product go in one direction.
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

// layerRank holds the rank of each layer. A package imports only packages of layers with the same or a lower rank.
var layerRank = map[string]int{"modules": 0, "models": 1, "services": 2, "routers": 3, "internal": 3, "platform": 4, "cmd": 5, "": 6}

// callerLayers are the layers that the public caller library may import. They are few because other programs embed the library.
var callerLayers = map[string]bool{"modules": true}

// listedPackage is the part of the output of go list that the test reads.
type listedPackage struct {
	ImportPath string
	Imports    []string
}

// TestImportsGoDown guards against an import of a layer with a higher rank, against product code that imports test code, and
// against forbidden imports by or of the caller library.
func TestImportsGoDown(t *testing.T) {
	command := exec.Command("go", "list", "-json=ImportPath,Imports", module+"...")
	out, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(out)))
	packages := 0
	for {
		var p listedPackage
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		packages++
		for _, imported := range p.Imports {
			checkImport(t, p.ImportPath, imported)
		}
	}
	if packages < 10 {
		t.Fatalf("go list returned only %d packages, want at least 10", packages)
	}
}

// checkImport reports an import that the rules of the layers forbid.
func checkImport(t *testing.T, from, to string) {
	t.Helper()
	if !strings.HasPrefix(to, module) {
		return
	}
	importedLayer, importingLayer := layer(to), layer(from)
	switch {
	case importingLayer == "tests":
	case importedLayer == "tests":
		t.Errorf("%s imports %s: product code must not import test code; move the code that both need to a product package", from, to)
	case importingLayer == "caller":
		if !callerLayers[importedLayer] {
			t.Errorf("%s imports %s: the caller library may import only modules", from, to)
		}
	case importedLayer == "caller":
		if importingLayer != "cmd" {
			t.Errorf("%s imports %s: only cmd may import the caller library", from, to)
		}
	case layerRank[importedLayer] > layerRank[importingLayer]:
		t.Errorf("%s imports %s: a layer may import only layers of the same or a lower rank, in the order cmd, platform, routers and internal, services, models, modules", from, to)
	}
}

// layer returns the first path element of a package within the module, "" for the main package.
func layer(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path+"/", module), "/")
	return name
}
