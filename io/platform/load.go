package platform

import (
	"context"
	"crypto/rand"
	"os"
	"path/filepath"
	"strings"

	"baobabstep"
	"baobabstep/core/config"
)

// LoadExport reads the file of an export, or a directory of documents named
// template-NAME.json and account-NAME.json.
func LoadExport(path string) (config.Export, error) {
	const op = "platform.load_export"
	e := config.Export{Format: config.Format}
	info, err := os.Stat(path)
	if err != nil {
		return e, baobabstep.Errorf(baobabstep.CodeNotFound, op, "%w", err)
	}
	if !info.IsDir() {
		b, err := os.ReadFile(path)
		if err != nil {
			return e, baobabstep.Errorf(baobabstep.CodeNotFound, op, "%w", err)
		}
		return config.DecodeExport(b)
	}
	files, err := filepath.Glob(filepath.Join(path, "*.json"))
	if err != nil {
		return e, baobabstep.Errorf(baobabstep.CodeNotFound, op, "%w", err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return e, baobabstep.Errorf(baobabstep.CodeNotFound, op, "%w", err)
		}
		switch name := filepath.Base(f); {
		case strings.HasPrefix(name, "template-"):
			e.Templates = append(e.Templates, b)
		case strings.HasPrefix(name, "account-"):
			e.Accounts = append(e.Accounts, b)
		}
	}
	return e, nil
}

// Import replaces the whole configuration by an export. It talks to the
// platform directly and so works before any VM runs.
func Import(ctx context.Context, p baobabstep.Platform, e config.Export, c config.Change) config.Result {
	o := config.AcceptOptions{FlowSecret: NewFlowSecret()}
	current, err := readSet(ctx, p)
	if err != nil {
		return config.Result{ChangeID: c.ID, Err: err}
	}
	if c.Edits, err = e.Edits(current); err != nil {
		return config.Result{ChangeID: c.ID, Err: err}
	}
	return Accept(ctx, p, nil, c, o)
}

// NewFlowSecret draws the key of the flow hash. It cannot be guessed by
// callers, who could otherwise choose flows that all fall to one VM.
func NewFlowSecret() (secret [16]byte) {
	if _, err := rand.Read(secret[:]); err != nil {
		panic(err)
	}
	return secret
}

// readSet reads the version that the platform has, or nil if it has none.
func readSet(ctx context.Context, p baobabstep.Platform) (*config.Set, error) {
	kv, err := p.Get(ctx, config.HeadKey)
	if baobabstep.CodeOf(err) == baobabstep.CodeNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	head, err := config.DecodeHead(kv.Value)
	if err != nil {
		return nil, err
	}
	values, err := p.List(ctx, config.ObjectPrefix)
	if err != nil {
		return nil, err
	}
	objects := make(map[config.Digest][]byte, len(values))
	for _, v := range values {
		objects[config.MakeDigest(v.Value)] = v.Value
	}
	set, missing, err := config.NewBuilder().Build(head.Manifest, func(d config.Digest) ([]byte, bool) { b, ok := objects[d]; return b, ok }, nil)
	if err == nil && len(missing) > 0 {
		err = baobabstep.Errorf(baobabstep.CodeIncomplete, "platform.read_set", "got a store that lacks %d objects of version %d", len(missing), head.Version)
	}
	return set, err
}
