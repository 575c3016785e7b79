package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// checkOptions holds the arguments of check.
type checkOptions struct {
	file, place, service, group string
	placeDocuments              []string // paths of files with place documents
	direct                      bool     // FILE contains process settings of the subcommand direct
	against                     string   // path of the tree in force; empty: no comparison
	inForce                     bool     // FILE is the tree in force
	output                      output
}

func newCheck() *command {
	var o checkOptions
	flags := newSubcommand("check", "Validate a settings tree and print the values in force at one of its nodes.",
		"check custom/settings/ile-solaire.toml --place souillac --service ovenwatch --group main")
	// Not marked as required, because flaggy would then report a missing FILE instead of an unknown flag.
	flags.AddPositionalValue(&o.file, "FILE", 1, false, "File with the settings tree. Required.")
	flags.StringSlice(&o.placeDocuments, "d", "place-document", "File with a place document that FILE lists; can be repeated.")
	flags.String(&o.against, "a", "against", "File with the settings tree in force: prints what differs, entries that can never match and limits that contradict each other.")
	flags.Bool(&o.direct, "", "direct", "FILE contains the process settings of the subcommand direct.")
	flags.String(&o.place, "p", "place", "Place of the node. Without it, the node is the root.")
	flags.String(&o.service, "s", "service", "Service of the node, in the place.")
	flags.String(&o.group, "g", "group", "Group of the node, in the service.")
	o.output.addFlags(flags)
	return &command{flags: flags, run: func(_ context.Context, out io.Writer) error { return check(o, out) }}
}

func check(o checkOptions, out io.Writer) error {
	if err := o.output.validate(); err != nil {
		return err
	}
	if o.file == "" {
		return usageError("no FILE: name the file with the settings tree, such as custom/settings/ile-solaire.toml")
	}
	if o.direct {
		if o.against != "" {
			return usageError("--against compares settings trees: use it without --direct")
		}
		return checkDirect(o, out)
	}
	tree, missing, err := o.composeTree()
	if err != nil {
		return err
	}
	if o.against != "" {
		return o.compare(tree, out)
	}
	values, err := tree.EffectiveValues(o.place, o.service, o.group)
	if err != nil {
		return err
	}
	if o.output == outputJSON {
		b, err := json.MarshalIndent(checkToWire(o, tree, values), "", "  ")
		return writeJSON(out, b, err)
	}
	t := newTable(out)
	t.row(fmt.Sprintf("%s: valid: %d services, %d backend servers", o.file, len(tree.Services), len(tree.BackendServers)))
	for _, name := range missing {
		t.row(fmt.Sprintf("%s: not given: name its file with --place-document to check it too", name))
	}
	for _, place := range tree.EvacuatedPlaces() {
		t.row(fmt.Sprintf("place %s: evacuated", place))
	}
	t.row()
	t.row("KEY", "VALUE", "INHERITED FROM")
	for _, v := range values {
		t.row(v.Key, v.Value, v.Origin)
	}
	return t.flush()
}

// checkDirect validates the process settings of the subcommand direct.
func checkDirect(o checkOptions, out io.Writer) error {
	s, err := loader.Load(o.file)
	if err != nil {
		return err
	}
	if o.output == outputJSON {
		b, err := json.MarshalIndent(map[string]string{"file": o.file, "name": s.VMName, "availability-zone": s.AvailabilityZone}, "", "  ")
		return writeJSON(out, b, err)
	}
	for _, a := range s.Adjustments {
		if _, err := fmt.Fprintf(out, "%s: %s: %s is out of range: %s is used\n", o.file, a.Key, a.Stated, a.Used); err != nil {
			return eris.Wrap(err, "write the output")
		}
	}
	_, err = fmt.Fprintf(out, "%s: valid: daemon %s in availability zone %s\n", o.file, s.VMName, s.AvailabilityZone)
	return eris.Wrap(err, "write the output")
}

// composeTree composes the settings tree of the files. It also returns the names of place documents for which no file is given. The tree in
// force may not list a place document yet, which is then left out.
func (o checkOptions) composeTree() (*settings.Tree, []string, error) {
	content, err := configurer.ReadFile(o.file)
	if err != nil {
		return nil, nil, err
	}
	root, err := settings.Parse(o.file, 0, content)
	if err != nil {
		return nil, nil, err
	}
	report := inspector.NewReport(o.file)
	var documents []*settings.PlaceDocument
	given := map[string]bool{}
	for _, file := range o.placeDocuments {
		if content, err = configurer.ReadFile(file); err != nil {
			return nil, nil, err
		}
		d, err := settings.ParsePlaceDocument(file, "", 0, content)
		if err != nil {
			return nil, nil, err
		}
		if !slices.Contains(root.DelegatedPlaces, d.Place) {
			if o.inForce {
				continue
			}
			report.Add("place-documents", fmt.Sprintf("%s defines place %q, which is not listed", file, d.Place), "add it to place-documents")
		}
		if given[d.Place] {
			report.Add("place-documents", fmt.Sprintf("%s is the second file for place %q", file, d.Place), "give one file for each place")
		}
		given[d.Place] = true
		documents = append(documents, d)
	}
	tree, conflicts := settings.Compose(root, documents)
	for _, c := range conflicts {
		report.Add(c.Document, c.Cause, c.Remedy)
	}
	var missing []string
	for _, place := range root.DelegatedPlaces {
		if !given[place] {
			missing = append(missing, settings.PlaceDocumentName(place))
		}
	}
	return tree, missing, report.Err()
}

// wireCheck is the JSON form of the result of check.
type wireCheck struct {
	File            string      `json:"file"`
	PlaceDocuments  []string    `json:"place-documents,omitempty"` // paths of the files
	Services        int         `json:"services"`
	BackendServers  int         `json:"backend-servers"`
	EvacuatedPlaces []string    `json:"evacuated-places,omitempty"`
	Place           string      `json:"place,omitempty"`
	Service         string      `json:"service,omitempty"`
	Group           string      `json:"group,omitempty"`
	Values          []wireValue `json:"values"`
}

type wireValue struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Origin string `json:"origin"`
}

func checkToWire(o checkOptions, tree *settings.Tree, values []settings.Value) wireCheck {
	w := wireCheck{
		File: o.file, PlaceDocuments: o.placeDocuments, Services: len(tree.Services), BackendServers: len(tree.BackendServers),
		EvacuatedPlaces: tree.EvacuatedPlaces(),
		Place:           o.place, Service: o.service, Group: o.group, Values: make([]wireValue, len(values)),
	}
	for i, v := range values {
		w.Values[i] = wireValue(v)
	}
	return w
}
