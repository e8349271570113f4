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

// Digest is the SHA-256 of an object's bytes, and its name.
type Digest [32]byte

// MakeDigest returns the name of an object.
func MakeDigest(object []byte) Digest { return sha256.Sum256(object) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero tells that the digest names nothing.
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

// MaxChangeIDs bounds the identifiers of recent changes in the head. A lost
// answer is read back within seconds; this many changes take minutes.
const MaxChangeIDs = 64

// Head is the one value that is overwritten. It is written by compare-and-swap
// only, so all changes form one sequence.
type Head struct {
	Format   int    `json:"format"`
	Version  uint64 `json:"version"`
	Manifest Digest `json:"manifest"`
	// Changes lists the identifiers of the latest changes, oldest first.
	Changes []ChangeID `json:"changes"`
	// Collections grows when garbage is about to be removed. It makes any
	// accept under way start again; see [Garbage].
	Collections uint64 `json:"collections"`
}

// next returns the head of a version that changes led to.
func (h *Head) next(s *Set, changes ...ChangeID) Head {
	all := append(slices.Clone(h.Changes), changes...)
	return Head{
		Format: Format, Version: s.Manifest.Version, Manifest: s.Digest, Collections: h.Collections,
		Changes: all[max(0, len(all)-MaxChangeIDs):],
	}
}

// ChangeID says which version a change became.
type ChangeID struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// find returns the version that a change became.
func (h *Head) find(id string) (uint64, bool) {
	for _, c := range h.Changes {
		if c.ID == id {
			return c.Version, true
		}
	}
	return 0, false
}

// Pages is the number of pages that references are dealt out to. A change
// rewrites the manifest and a page; 64 keeps both near 10 kB at 6,200 accounts.
const Pages = 64

// Manifest is the root of one version.
type Manifest struct {
	Format     int       `json:"format"`
	Version    uint64    `json:"version"`
	FlowSecret []byte    `json:"flow_secret"`
	Pages      []PageRef `json:"pages"`
	// Quarantine names the object with the list, if there is one.
	Quarantine Digest `json:"quarantine"`
	// Previous names the manifest of the version before, which holds the
	// audit entry before Entry until it is collected.
	Previous Digest `json:"previous"`
	// Entry is the audit entry of the change that made the version. It is
	// part of the version so that no crash can separate the two.
	Entry baobabstep.AuditEntry `json:"entry"`
}

// PageRef names one page that is not empty.
type PageRef struct {
	Number int    `json:"number"`
	Digest Digest `json:"digest"`
}

// Page lists references, sorted by kind and name.
type Page struct {
	Refs []Ref `json:"refs"`
}

// Ref names one document.
type Ref struct {
	Kind   ObjectKind `json:"kind"`
	Name   string     `json:"name"`
	Digest Digest     `json:"digest"`
	// Version is the version that last changed the document.
	Version uint64 `json:"version"`
}

// refKey identifies a document over versions.
type refKey struct {
	kind ObjectKind
	name string
}

func (r Ref) key() refKey { return refKey{r.Kind, r.Name} }

func (k refKey) page() int {
	return int(xxhash.Sum64String(k.kind.String()+"/"+k.name) % Pages)
}

// QuarantineItem is one address that recently left a service.
type QuarantineItem struct {
	Address string               `json:"address"`
	Service baobabstep.ServiceID `json:"service"`
	Until   uint64               `json:"until"`
	// Since bounds the life of the item; see nextQuarantine.
	Since time.Time `json:"since"`
}

// Objects looks up the bytes of an object.
type Objects func(Digest) ([]byte, bool)

// Missing is an object that a version needs and that is not here. Base is the
// object that stood in its place before, or zero.
type Missing struct {
	Digest Digest
	Base   Digest
}

// pageRefs returns the page references of refs, and adds the pages' bytes to
// objects.
func pageRefs(refs map[refKey]Ref, objects map[Digest][]byte) []PageRef {
	var pages [Pages]Page
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
		return baobabstep.Errorf(baobabstep.CodeInvalid, "config.manifest", "got format %d and a secret of %d bytes, want %d and %d",
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
