package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"baobabstep"
)

// Digest is the SHA-256 of an object's bytes. It names the object.
type Digest [32]byte

// MakeDigest returns the digest of an object's bytes.
func MakeDigest(object []byte) Digest { return sha256.Sum256(object) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a digest in hexadecimal.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != 2*len(d) {
		return baobabstep.Errorf(baobabstep.CodeInvalid, "config.digest", "got %d characters, want %d", len(text), 2*len(d))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return baobabstep.Errorf(baobabstep.CodeInvalid, "config.digest", "%w", err)
	}
	return nil
}

// Keys of the platform's store.
const (
	HeadKey      = "config/head"
	ObjectPrefix = "config/object/"
	DraftPrefix  = "config/draft/"
)

// ObjectKey returns the key of an object.
func ObjectKey(d Digest) string { return ObjectPrefix + d.String() }

// DraftKey returns the key of an operator's draft of an account.
func DraftKey(account, operator string) string { return DraftPrefix + account + "/" + operator }

// MaxChangeIDs limits the identifiers of recent changes in the head. A head is read
// back within seconds of a lost answer; this many changes take minutes.
const MaxChangeIDs = 64

// Head refers to the current version. It is the only value that is overwritten,
// always by compare-and-swap, so all changes form one sequence.
type Head struct {
	Format   int    `json:"format"`
	Version  uint64 `json:"version"`
	Manifest Digest `json:"manifest"`
	// Changes lists the identifiers of the latest changes, oldest first.
	Changes []ChangeID `json:"changes"`
	// Collections is incremented before garbage is removed, which restarts
	// concurrent accepts; see [UnusedObjects].
	Collections uint64 `json:"collections"`
}

// next returns the head of version s, with changes appended to the latest ones.
func (h *Head) next(s *Set, changes ...ChangeID) Head {
	all := append(slices.Clone(h.Changes), changes...)
	return Head{
		Format: Format, Version: s.Manifest.Version, Manifest: s.Digest, Collections: h.Collections,
		Changes: all[max(0, len(all)-MaxChangeIDs):],
	}
}

// ChangeID maps a change to the version that it created.
type ChangeID struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// find returns the version that a change created, or false.
func (h *Head) find(id string) (uint64, bool) {
	for _, c := range h.Changes {
		if c.ID == id {
			return c.Version, true
		}
	}
	return 0, false
}

// PageCount is the number of pages that references are hashed to. A change rewrites
// the manifest and a page; 64 keeps both near 10 kB at 6,200 accounts.
const PageCount = 64

// Manifest is the root of one version.
type Manifest struct {
	Format     int       `json:"format"`
	Version    uint64    `json:"version"`
	FlowSecret []byte    `json:"flow_secret"`
	Pages      []PageRef `json:"pages"`
	// Quarantine is the digest of the list of [QuarantineItem], zero if empty.
	Quarantine Digest `json:"quarantine"`
	// Previous is the digest of the previous version's manifest, which holds
	// the audit entry before Entry until it is collected.
	Previous Digest `json:"previous"`
	// Entry is the audit entry of the change that created the version. It is
	// part of the manifest so that both are committed atomically.
	Entry baobabstep.AuditEntry `json:"entry"`
}

// PageRef refers to a non-empty page.
type PageRef struct {
	Number int    `json:"number"`
	Digest Digest `json:"digest"`
}

// Page lists references, sorted by kind and name.
type Page struct {
	Refs []Ref `json:"refs"`
}

// Ref refers to one document.
type Ref struct {
	Kind   ObjectKind `json:"kind"`
	Name   string     `json:"name"`
	Digest Digest     `json:"digest"`
	// Version is the version in which the document last changed.
	Version uint64 `json:"version"`
}

// refKey identifies a document across versions.
type refKey struct {
	kind ObjectKind
	name string
}

func (r Ref) key() refKey { return refKey{r.Kind, r.Name} }

func (k refKey) page() int {
	return int(xxhash.Sum64String(k.kind.String()+"/"+k.name) % PageCount)
}

// QuarantineItem is an address that version Until removed from a service.
type QuarantineItem struct {
	Address string               `json:"address"`
	Service baobabstep.ServiceID `json:"service"`
	Until   uint64               `json:"until"`
	// Since limits the age of the item; see nextQuarantine.
	Since time.Time `json:"since"`
}

// ObjectLookup looks up the bytes of an object.
type ObjectLookup func(Digest) ([]byte, bool)

// MissingObject is an object of a version that is not available locally. Base is the
// object that it replaces, or zero.
type MissingObject struct {
	Digest Digest
	Base   Digest
}

// pageRefs returns the page references of refs, and adds the pages' bytes to
// objects.
func pageRefs(refs map[refKey]Ref, objects map[Digest][]byte) []PageRef {
	var pages [PageCount]Page
	for k, r := range refs {
		n := k.page()
		pages[n].Refs = append(pages[n].Refs, r)
	}
	var out []PageRef
	for n := range pages {
		page := &pages[n]
		if len(page.Refs) == 0 {
			continue
		}
		sort.Slice(page.Refs, func(i, j int) bool {
			a, b := page.Refs[i], page.Refs[j]
			if a.Kind != b.Kind {
				return a.Kind < b.Kind
			}
			return a.Name < b.Name
		})
		b := Encode(page)
		d := MakeDigest(b)
		objects[d] = b
		out = append(out, PageRef{Number: n, Digest: d})
	}
	return out
}

func (m *Manifest) check() error {
	if m.Format != Format || len(m.FlowSecret) != flowSecretSize {
		return baobabstep.Errorf(baobabstep.CodeInvalid, "config.manifest", "got format %d and a flow secret of %d bytes, want %d and %d",
			m.Format, len(m.FlowSecret), Format, flowSecretSize)
	}
	return nil
}

// flowSecretSize is the length of the key of the flow hash, in bytes.
const flowSecretSize = 16

// DecodeManifest reads the bytes of a manifest.
func DecodeManifest(b []byte) (*Manifest, error) {
	var m Manifest
	if err := Decode(b, &m); err != nil {
		return nil, err
	}
	return &m, m.check()
}

// DecodeHead reads the value of [HeadKey].
func DecodeHead(b []byte) (*Head, error) {
	var h Head
	if err := Decode(b, &h); err != nil {
		return nil, err
	}
	if h.Format != Format || h.Manifest.IsZero() {
		return nil, baobabstep.Errorf(baobabstep.CodeInvalid, "config.head", "got format %d and manifest %v, want format %d and a manifest", h.Format, h.Manifest, Format)
	}
	return &h, nil
}

func (k refKey) String() string { return fmt.Sprintf("%v %s", k.kind, k.name) }
