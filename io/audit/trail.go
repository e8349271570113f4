// Package audit keeps the audit trail: who changed what, when, why, and from
// which version to which.
//
// Each accepted change carries its entry inside the version that it made, so
// that there is never a change without an entry or an entry without a change.
// The trail copies these entries, in order, into segments in the platform's
// store. Entries are linked by hashes and the last one is that of the version
// in force, so a changed, missing or reordered entry shows.
//
// Beside the trail, [Log] writes one line on each VM for each version that
// comes into force there.
package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"baobabstep"
	"baobabstep/core/config"
)

const (
	// Prefix starts the keys of the trail.
	Prefix = "audit/"
	// baseKey holds the anchor before the oldest entry that is kept.
	baseKey = Prefix + "base"
	// SegmentEntries is the number of entries in a segment. An entry has at
	// most some 10 kB, a value a megabyte.
	SegmentEntries = 64
	// defaultSegments is the number of segments kept.
	defaultSegments = 2048
	// maxAttempts bounds the writes of one entry that another VM writes too.
	maxAttempts = 8
	// maxBehind bounds the entries that are copied at once.
	maxBehind = 256
)

// Segment is the value of one key of the trail.
type Segment struct {
	Format  int                     `json:"format"`
	Entries []baobabstep.AuditEntry `json:"entries"`
}

// Trail is the audit trail in the platform's store.
type Trail struct {
	platform baobabstep.Platform
	segments uint64
}

var _ baobabstep.AuditSink = (*Trail)(nil)

// NewTrail returns the trail; segments is the number of segments to keep, 0
// for the standard number.
func NewTrail(p baobabstep.Platform, segments int) *Trail {
	if segments <= 0 {
		segments = defaultSegments
	}
	return &Trail{platform: p, segments: uint64(segments)}
}

func segmentNumber(sequence uint64) uint64 { return (sequence - 1) / SegmentEntries }

func segmentKey(number uint64) string { return fmt.Sprintf("%ssegment/%012d", Prefix, number) }

// Append adds the entry that follows the last one. An entry that is there
// already is left as it is, so a lost answer is repaired by appending again.
// CodeIncomplete says that an entry before it is missing.
func (t *Trail) Append(ctx context.Context, e baobabstep.AuditEntry) error {
	const op = "audit.append"
	if e.Sequence == 0 || config.EntryHash(e) != e.Hash {
		return baobabstep.Errorf(baobabstep.CodeAuditBroken, op, "got entry %d with a hash that is not its own", e.Sequence)
	}
	var err error
	for range maxAttempts {
		var done bool
		if done, err = t.tryAppend(ctx, e); done || err != nil && !repeatable(err) {
			return err
		}
	}
	return err
}

// repeatable says whether an append can be tried again: it starts by reading
// what is there.
func repeatable(err error) bool {
	code := baobabstep.CodeOf(err)
	return code == baobabstep.CodeConflict || code == baobabstep.CodePlatformUnknown
}

func (t *Trail) tryAppend(ctx context.Context, e baobabstep.AuditEntry) (done bool, err error) {
	const op = "audit.append"
	number := segmentNumber(e.Sequence)
	s, revision, err := t.segment(ctx, number)
	if err != nil {
		return false, err
	}
	first := number*SegmentEntries + 1
	at := e.Sequence - first
	switch n := uint64(len(s.Entries)); {
	case at < n && s.Entries[at].Hash == e.Hash:
		return true, nil
	case at < n:
		return false, baobabstep.Errorf(baobabstep.CodeAuditBroken, op, "the trail has another entry %d", e.Sequence)
	case at > n:
		return false, baobabstep.Errorf(baobabstep.CodeIncomplete, op, "the trail lacks entry %d, which goes before entry %d", first+n, e.Sequence)
	}
	if at == 0 {
		if err := t.startSegment(ctx, number, e); err != nil {
			return false, err
		}
	}
	s.Entries = append(s.Entries, e)
	_, err = t.platform.Put(ctx, segmentKey(number), config.Encode(s), revision)
	return err == nil, err
}

// startSegment checks that the segment before is full and drops the oldest.
func (t *Trail) startSegment(ctx context.Context, number uint64, e baobabstep.AuditEntry) error {
	if number == 0 {
		return nil
	}
	before, _, err := t.segment(ctx, number-1)
	if err != nil {
		return err
	}
	if len(before.Entries) < SegmentEntries {
		return baobabstep.Errorf(baobabstep.CodeIncomplete, "audit.append", "the trail lacks entry %d, which goes before entry %d", (number-1)*SegmentEntries+uint64(len(before.Entries))+1, e.Sequence)
	}
	if number < t.segments {
		return nil
	}
	return t.drop(ctx, number-t.segments)
}

// drop removes a segment after noting the anchor that the next one follows.
// The order matters: without the anchor the trail could not be verified.
func (t *Trail) drop(ctx context.Context, number uint64) error {
	s, revision, err := t.segment(ctx, number)
	if err != nil || len(s.Entries) == 0 {
		return err
	}
	last := s.Entries[len(s.Entries)-1]
	base, baseRevision, err := t.base(ctx)
	if err != nil {
		return err
	}
	if base.Sequence < last.Sequence {
		anchor := config.TrailPosition{Sequence: last.Sequence, Hash: last.Hash}
		if _, err := t.platform.Put(ctx, baseKey, config.Encode(anchor), baseRevision); err != nil {
			return err
		}
	}
	_, err = t.platform.Put(ctx, segmentKey(number), nil, revision)
	return err
}

func (t *Trail) segment(ctx context.Context, number uint64) (Segment, uint64, error) {
	s := Segment{Format: config.Format}
	revision, err := t.read(ctx, segmentKey(number), &s)
	return s, revision, err
}

func (t *Trail) base(ctx context.Context) (config.TrailPosition, uint64, error) {
	var a config.TrailPosition
	revision, err := t.read(ctx, baseKey, &a)
	return a, revision, err
}

// read decodes a key; one that does not exist leaves the value as it is.
func (t *Trail) read(ctx context.Context, key string, to any) (uint64, error) {
	kv, err := t.platform.Get(ctx, key)
	if baobabstep.CodeOf(err) == baobabstep.CodeNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(kv.Value, to); err != nil {
		return 0, baobabstep.Errorf(baobabstep.CodeAuditBroken, "audit.read", "got %s that cannot be read: %w", key, err)
	}
	return kv.Revision, nil
}

// CatchUp copies the entries of accepted versions that the trail lacks. It is
// called after each accept and by whoever finds the trail behind; several may
// do so at once.
func (t *Trail) CatchUp(ctx context.Context) error {
	kv, err := t.platform.Get(ctx, config.HeadKey)
	if baobabstep.CodeOf(err) == baobabstep.CodeNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	head, err := config.DecodeHead(kv.Value)
	if err != nil {
		return err
	}
	var behind []baobabstep.AuditEntry
	next := head.Manifest
	for !next.IsZero() && len(behind) < maxBehind {
		object, err := t.platform.Get(ctx, config.ObjectKey(next))
		if err != nil {
			return err
		}
		m, err := config.DecodeManifest(object.Value)
		if err != nil {
			return err
		}
		err = t.Append(ctx, m.Entry)
		if err == nil {
			break
		}
		if baobabstep.CodeOf(err) != baobabstep.CodeIncomplete {
			return err
		}
		behind = append(behind, m.Entry)
		next = m.Previous
	}
	for _, e := range slices.Backward(behind) {
		if err := t.Append(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// Latest returns the latest entries after a sequence number that keep selects,
// oldest first: at most limit of them, 0 for all. It reads from the end, so that
// a look at the latest entries costs few calls however long the trail is.
func (t *Trail) Latest(ctx context.Context, after uint64, limit int, keep func(*baobabstep.AuditEntry) bool) ([]baobabstep.AuditEntry, error) {
	end, err := t.end(ctx)
	if err != nil || end.Sequence == 0 {
		return nil, err
	}
	var out []baobabstep.AuditEntry
	for group := int64(segmentNumber(end.Sequence) / groupSegments); group >= 0; group-- {
		entries, err := t.group(ctx, uint64(group))
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 && uint64(group) < segmentNumber(end.Sequence)/groupSegments {
			break
		}
		for _, e := range slices.Backward(entries) {
			if e.Sequence <= after || limit > 0 && len(out) == limit {
				slices.Reverse(out)
				return out, nil
			}
			if keep == nil || keep(&e) {
				out = append(out, e)
			}
		}
	}
	slices.Reverse(out)
	return out, nil
}

// groupSegments is the number of segments that are read by one call: those
// whose keys differ in the last two digits only.
const groupSegments = 100

// group reads the segments of one group.
func (t *Trail) group(ctx context.Context, number uint64) ([]baobabstep.AuditEntry, error) {
	prefix := strings.TrimSuffix(segmentKey(number*groupSegments), "00")
	values, err := t.platform.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var out []baobabstep.AuditEntry
	for _, kv := range values {
		var s Segment
		if err := json.Unmarshal(kv.Value, &s); err != nil {
			return nil, baobabstep.Errorf(baobabstep.CodeAuditBroken, "audit.read", "got %s that cannot be read: %w", kv.Key, err)
		}
		out = append(out, s.Entries...)
	}
	return out, nil
}

// Verify checks the whole trail against the version that the platform has. It
// returns the number of entries, and CodeAuditBroken with the first fault.
func (t *Trail) Verify(ctx context.Context) (int, error) {
	end, err := t.end(ctx)
	if err != nil {
		return 0, err
	}
	base, _, err := t.base(ctx)
	if err != nil {
		return 0, err
	}
	entries, err := t.all(ctx, base.Sequence, end.Sequence)
	if err != nil {
		return 0, err
	}
	return len(entries), config.VerifyTrail(base, entries, end)
}

// all reads every segment from the base to one group past the end, as they are:
// the check has to see a gap, and entries that should not be there.
func (t *Trail) all(ctx context.Context, base, end uint64) ([]baobabstep.AuditEntry, error) {
	var out []baobabstep.AuditEntry
	last := end/SegmentEntries/groupSegments + 1
	for number := base / SegmentEntries / groupSegments; number <= last; number++ {
		entries, err := t.group(ctx, number)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if e.Sequence > base {
				out = append(out, e)
			}
		}
	}
	return out, nil
}

// end returns the entry of the version that the platform has.
func (t *Trail) end(ctx context.Context) (config.TrailPosition, error) {
	kv, err := t.platform.Get(ctx, config.HeadKey)
	if baobabstep.CodeOf(err) == baobabstep.CodeNotFound {
		return config.TrailPosition{}, nil
	}
	if err != nil {
		return config.TrailPosition{}, err
	}
	head, err := config.DecodeHead(kv.Value)
	if err != nil {
		return config.TrailPosition{}, err
	}
	object, err := t.platform.Get(ctx, config.ObjectKey(head.Manifest))
	if err != nil {
		return config.TrailPosition{}, err
	}
	m, err := config.DecodeManifest(object.Value)
	if err != nil {
		return config.TrailPosition{}, err
	}
	return config.TrailPosition{Sequence: m.Entry.Sequence, Hash: m.Entry.Hash}, nil
}
