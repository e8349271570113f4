package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"baobabstep"
)

// EntryHash returns the hash that links an audit entry to those before it: the
// SHA-256 of the entry's JSON with an empty hash.
func EntryHash(e baobabstep.AuditEntry) string {
	e.Hash = ""
	sum := sha256.Sum256(Encode(e))
	return hex.EncodeToString(sum[:])
}

// Anchor is a place in the trail that is known to be right: the hash of the
// entry with the given sequence number. The zero value stands before the first
// entry.
type Anchor struct {
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
}

// VerifyTrail checks that entries follow start without a gap, that none was
// changed, and that they end at end. It returns CodeAuditBroken with the first
// fault, which is a changed, a missing or a reordered entry.
func VerifyTrail(start Anchor, entries []baobabstep.AuditEntry, end Anchor) error {
	at := start
	for i := range entries {
		e := &entries[i]
		switch {
		case e.Sequence != at.Sequence+1:
			return broken("entry %d follows entry %d: one is missing or they were reordered", e.Sequence, at.Sequence)
		case EntryHash(*e) != e.Hash:
			return broken("entry %d was changed: its hash is %s, the recorded one %s", e.Sequence, short(EntryHash(*e)), short(e.Hash))
		case e.PreviousHash != at.Hash:
			return broken("entry %d names %s as its predecessor, which is %s: an entry before it was replaced", e.Sequence, short(e.PreviousHash), short(at.Hash))
		}
		at = Anchor{e.Sequence, e.Hash}
	}
	if at != end {
		return broken("the trail ends with entry %d %s, the version in force with entry %d %s", at.Sequence, short(at.Hash), end.Sequence, short(end.Hash))
	}
	return nil
}

const shortHash = 12

func short(hash string) string { return hash[:min(len(hash), shortHash)] }

func broken(format string, args ...any) error {
	return baobabstep.Errorf(baobabstep.CodeAuditBroken, "audit.verify", "%s", fmt.Sprintf(format, args...))
}
