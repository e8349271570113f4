package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/io/operator"
)

// Template holds the commands for templates.
type Template struct {
	List TemplateList `cmd:"" help:"List the templates."`
	Show TemplateShow `cmd:"" help:"Show a template and its parameters."`
	Put  TemplatePut  `cmd:"" help:"Add or replace a template, from a file."`
}

// TemplateList lists the templates.
type TemplateList struct{}

// Run carries out the command.
func (*TemplateList) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		all, err := s.client.Documents(ctx, operator.DocumentQuery{Kind: config.ObjectTemplate})
		if err != nil {
			return err
		}
		return s.print(all, func(w *tabwriter.Writer) {
			row(w, "TEMPLATE", "VERSION", "USED BY", "PURPOSE")
			for _, d := range all {
				row(w, d.Name, d.Version, fmt.Sprintf("%d accounts", d.UsedBy), d.Doc)
			}
		})
	})
}

// TemplateShow shows one template.
type TemplateShow struct {
	Name string `arg:"" help:"The template."`
}

// Run carries out the command.
func (c *TemplateShow) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		d, err := one(ctx, s, config.ObjectTemplate, c.Name)
		if err != nil {
			return err
		}
		var t config.Template
		if err := config.Decode(d.Document, &t); err != nil {
			return err
		}
		return s.print(t, func(w *tabwriter.Writer) { templateTable(w, &t) })
	})
}

func templateTable(w *tabwriter.Writer, t *config.Template) {
	row(w, fmt.Sprintf("%s, schema version %d: %s", t.Name, t.SchemaVersion, t.Doc))
	row(w, "PARAMETER", "TYPE", "DEFAULT", "ALLOWED", "MEANING")
	for i := range t.Parameters {
		p := &t.Parameters[i]
		standard := "(required)"
		if p.Default != nil {
			standard = string(p.Default)
		}
		row(w, p.Name, p.Type, standard, allowedText(p), p.Doc)
	}
}

func allowedText(p *config.Parameter) string {
	var parts []string
	if p.Min != nil {
		parts = append(parts, "from "+string(p.Min))
	}
	if p.Max != nil {
		parts = append(parts, "to "+string(p.Max))
	}
	if len(p.Allowed) > 0 {
		parts = append(parts, strings.Join(p.Allowed, "|"))
	}
	return strings.Join(parts, " ")
}

// TemplatePut adds or replaces a template.
type TemplatePut struct {
	File   string `arg:"" help:"File with the template, - for the standard input."`
	DryRun bool   `help:"Only show what would change."`
	Change
}

// Run carries out the command.
func (c *TemplatePut) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		b, err := readFile(c.File)
		if err != nil {
			return err
		}
		q := c.query()
		q.Template, q.DryRun = b, c.DryRun
		return s.carryOut(ctx, &c.Change, q)
	})
}

// one returns one document with its contents.
func one(ctx context.Context, s *session, kind config.ObjectKind, name string) (operator.Document, error) {
	all, err := s.client.Documents(ctx, operator.DocumentQuery{Kind: kind, Name: name})
	if err != nil {
		return operator.Document{}, err
	}
	if len(all) != 1 {
		return operator.Document{}, baobabstep.Errorf(baobabstep.CodeNotFound, "command.show", "got %d documents called %q, want 1", len(all), name)
	}
	return all[0], nil
}

func indent(document []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, document, "", "  ") != nil {
		return string(document)
	}
	return out.String()
}
