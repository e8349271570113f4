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

// TrailPosition is a trusted position in the audit trail: the hash of the entry with the
// given sequence number. The zero value is the position before the first entry.
type TrailPosition struct {
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
}

// VerifyTrail checks that entries form an unmodified hash chain from start to end.
// It returns CodeAuditBroken for the first changed, missing or reordered entry.
func VerifyTrail(start TrailPosition, entries []baobabstep.AuditEntry, end TrailPosition) error {
	position := start
	for i := range entries {
		e := &entries[i]
		switch {
		case e.Sequence != position.Sequence+1:
			return auditBroken("entry %d follows entry %d: one is missing or they were reordered", e.Sequence, position.Sequence)
		case EntryHash(*e) != e.Hash:
			return auditBroken("entry %d was changed: its hash is %s, the recorded one %s", e.Sequence, abbreviate(EntryHash(*e)), abbreviate(e.Hash))
		case e.PreviousHash != position.Hash:
			return auditBroken("entry %d names %s as its predecessor, which is %s: an entry before it was replaced", e.Sequence, abbreviate(e.PreviousHash), abbreviate(position.Hash))
		}
		position = TrailPosition{e.Sequence, e.Hash}
	}
	if position != end {
		return auditBroken("the trail ends with entry %d (hash %s), the version in force with entry %d (hash %s)", position.Sequence, abbreviate(position.Hash), end.Sequence, abbreviate(end.Hash))
	}
	return nil
}

// shownHashLength is the number of hexadecimal digits of a hash in errors.
const shownHashLength = 12

func abbreviate(hash string) string { return hash[:min(len(hash), shownHashLength)] }

func auditBroken(format string, args ...any) error {
	return baobabstep.Errorf(baobabstep.CodeAuditBroken, "audit.verify", "%s", fmt.Sprintf(format, args...))
}
