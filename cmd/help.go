package cmd

import (
	"text/template"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// captureHelp makes the parser store its help in captured instead of printing it.
func captureHelp(p *flaggy.Parser, captured **flaggy.Help) error {
	functions := template.FuncMap{"capture": func(h flaggy.Help) string {
		*captured = &h
		return ""
	}}
	t, err := template.New("capture").Funcs(functions).Parse("{{capture .}}")
	if err != nil {
		return eris.Wrap(err, "parse the help template")
	}
	p.HelpTemplate = t
	return nil
}
