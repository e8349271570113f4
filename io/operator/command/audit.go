package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"baobabstep"
	"baobabstep/io/operator"
	"baobabstep/io/platform"
)

// Audit holds the commands for the audit trail.
type Audit struct {
	List   AuditList   `cmd:"" help:"Show who changed what, when and why."`
	Verify AuditVerify `cmd:"" help:"Check that no entry was changed, removed or reordered."`
}

// AuditList lists entries.
type AuditList struct {
	After uint64 `help:"Show entries after this number."`
	Limit int    `help:"Show at most so many, the latest." default:"50"`
}

// Run carries out the command.
func (c *AuditList) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		return s.entries(ctx, operator.AuditQuery{After: c.After, Limit: c.Limit})
	})
}

// entries prints audit entries.
func (s *session) entries(ctx context.Context, q operator.AuditQuery) error {
	a, err := s.client.Audit(ctx, q)
	if err != nil {
		return err
	}
	return s.print(a.Entries, func(w *tabwriter.Writer) {
		for i := range a.Entries {
			e := &a.Entries[i]
			row(w, fmt.Sprintf("%d  %s  %s  %s  %s: %s", e.Sequence, e.At.Format(time.RFC3339), e.Operator, e.Action, e.Subject, e.Reason))
			for _, line := range e.Difference {
				row(w, "    "+line)
			}
		}
	})
}

// AuditVerify verifies the trail.
type AuditVerify struct{}

// Run carries out the command.
func (*AuditVerify) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		a, err := s.client.Audit(ctx, operator.AuditQuery{Verify: true})
		if err != nil {
			return err
		}
		return s.print(a, func(w *tabwriter.Writer) {
			row(w, fmt.Sprintf("%d entries verified, up to the version that the platform has", a.Verified))
		})
	})
}

// Config holds the commands for the whole configuration.
type Config struct {
	Export ConfigExport `cmd:"" help:"Write the whole configuration as one JSON file."`
	Import ConfigImport `cmd:"" help:"Replace the whole configuration by an export."`
}

// ConfigExport writes an export.
type ConfigExport struct {
	File string `arg:"" optional:"" help:"File to write; the standard output if left out."`
}

// Run carries out the command.
func (c *ConfigExport) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		e, err := s.client.Export(ctx)
		if err != nil {
			return err
		}
		b, err := json.MarshalIndent(e, "", "  ")
		if err != nil {
			return baobabstep.Errorf(baobabstep.CodeInternal, "command.export", "%w", err)
		}
		b = append(b, '\n')
		if c.File == "" {
			_, err = s.Out.Write(b)
			return err
		}
		if err := os.WriteFile(c.File, b, 0o600); err != nil {
			return baobabstep.Errorf(baobabstep.CodeUsage, "command.export", "%w", err)
		}
		s.say("version %d written to %s", e.Version, c.File)
		return nil
	})
}

// ConfigImport replaces the whole configuration.
type ConfigImport struct {
	Path   string `arg:"" help:"An export, or a directory with template-*.json and account-*.json."`
	DryRun bool   `help:"Only check it and show the difference."`
	Change
}

// Run carries out the command.
func (c *ConfigImport) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		e, err := platform.LoadExport(c.Path)
		if err != nil {
			return err
		}
		q := c.query()
		q.Export, q.DryRun = &e, c.DryRun
		return s.carryOut(ctx, &c.Change, q)
	})
}
