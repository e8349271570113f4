package heartbeat

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"baobabstep"
	"baobabstep/core/mix"
)

const (
	// NumBuckets is the number of buckets into which registrations are divided by the
	// upper bucketBits bits of the hash of their identifiers.
	NumBuckets = 1 << bucketBits
	bucketBits = 6
	// digestBytes is the size of the digest of a bucket.
	digestBytes = 4
	// sectionBytes limits the size of a Section of several rows, so that the encoded message
	// stays below MaxMessage.
	sectionBytes = 1100
	// maxRowBytes is the largest size of a row, without names.
	maxRowBytes = 64
	// sectionOverhead is the estimated size of an encoded Section without its Rows.
	sectionOverhead = 200
)

// targetHash returns the hash that determines a target's bucket and its position there.
func targetHash(id baobabstep.TargetID) uint64 { return mix.Uint64(uint64(id)) }

func bucketOf(id baobabstep.TargetID) int { return int(targetHash(id) >> (64 - bucketBits)) }

// Section holds all of the sender's registrations whose target hash is in a range
// within one bucket. Sections can be applied independently, in any order and from
// several senders; a lost one is retransmitted without the others.
type Section struct {
	// VersionInfo describes the sender's complete list.
	VersionInfo VersionInfo `cbor:"1,keyasint"`
	// First and Last are the bounds of the range, both inclusive.
	First uint64 `cbor:"2,keyasint,omitempty"`
	Last  uint64 `cbor:"3,keyasint,omitempty"`
	// Names are the services, data centres and releases that Rows refer to.
	Names []string `cbor:"4,keyasint,omitempty"`
	// Rows are the encoded registrations; see appendRow.
	Rows []byte `cbor:"5,keyasint,omitempty"`
	// End is set in the last section of a response.
	End bool `cbor:"6,keyasint,omitempty"`
}

// Digests returns the checksums of all buckets, each shortened to digestBytes.
func (r *Registrations) Digests() []byte {
	b := make([]byte, 0, NumBuckets*digestBytes)
	for i := range r.buckets {
		b = binary.BigEndian.AppendUint32(b, digest(r.buckets[i].checksum))
	}
	return b
}

func digest(sum uint64) uint32 { return uint32(sum ^ sum>>32) }

// Sections returns sections of the buckets whose digests differ from those in digests,
// beginning with firstBucket and wrapping around. It stops at about maxBytes but returns
// at least one section, or none if all digests are equal. complete reports whether the sections
// cover all buckets that differ.
func (r *Registrations) Sections(held VersionInfo, digests []byte, firstBucket, maxBytes int) (list []*Section, complete bool) {
	size := 0
	complete = true
	for i := range NumBuckets {
		bucket := (firstBucket + i) % NumBuckets
		if len(digests) == NumBuckets*digestBytes && binary.BigEndian.Uint32(digests[bucket*digestBytes:]) == digest(r.buckets[bucket].checksum) {
			continue
		}
		for _, s := range r.sectionsOf(bucket) {
			if size > 0 && size+s.size() > maxBytes {
				complete = false
				break
			}
			s.VersionInfo = held
			list = append(list, s)
			size += s.size() + sectionOverhead
		}
		if size >= maxBytes {
			complete = false
			break
		}
	}
	if len(list) > 0 {
		list[len(list)-1].End = true
	}
	return list, complete
}

// sectionsOf returns the sections of one bucket, at least one.
func (r *Registrations) sectionsOf(bucket int) (list []*Section) {
	all := make([]*baobabstep.Registration, 0, len(r.buckets[bucket].registrations))
	for _, s := range r.buckets[bucket].registrations {
		all = append(all, &s.Registration)
	}
	slices.SortFunc(all, func(a, b *baobabstep.Registration) int { return cmp.Compare(targetHash(a.ID), targetHash(b.ID)) })
	first := uint64(bucket) << (64 - bucketBits)
	last := first | (1<<(64-bucketBits) - 1)
	s := &Section{First: first, Last: last}
	list = append(list, s)
	for i, reg := range all {
		if i > 0 && s.size()+s.rowSize(reg) > sectionBytes && len(s.Rows) > 0 {
			s.Last = targetHash(all[i-1].ID)
			s = &Section{First: s.Last + 1, Last: last}
			list = append(list, s)
		}
		s.appendRow(reg)
	}
	return list
}

// size returns the bytes of the rows and names.
func (s *Section) size() (bytes int) {
	bytes = len(s.Rows)
	for _, name := range s.Names {
		bytes += len(name) + nameOverhead
	}
	return bytes
}

// rowSize returns the most bytes by which appendRow increases the size.
func (s *Section) rowSize(r *baobabstep.Registration) (bytes int) {
	for _, name := range []string{r.Service, r.DataCentre, r.Release} {
		if !slices.Contains(s.Names, name) {
			bytes += len(name) + nameOverhead
		}
	}
	return bytes + maxRowBytes
}

// nameOverhead is the size in bytes of the length of a name in Names.
const nameOverhead = 2

// appendRow appends a registration to Rows: identifier, length-prefixed address, indexes of
// service, data centre and release in Names, slots, draining flag, WarmupLeft and
// StartedMS. All but the address and its length byte are unsigned varints.
func (s *Section) appendRow(r *baobabstep.Registration) {
	b := binary.AppendUvarint(s.Rows, uint64(r.ID))
	address, _ := r.Address.MarshalBinary() // never fails
	b = append(b, byte(len(address)))
	b = append(b, address...)
	for _, name := range []string{r.Service, r.DataCentre, r.Release} {
		b = binary.AppendUvarint(b, uint64(s.nameIndex(name)))
	}
	draining := uint64(0)
	if r.Draining {
		draining = 1
	}
	for _, v := range []uint64{uint64(r.Slots), draining, uint64(r.WarmupLeft), r.StartedMS} {
		b = binary.AppendUvarint(b, v)
	}
	s.Rows = b
}

func (s *Section) nameIndex(name string) int {
	if i := slices.Index(s.Names, name); i >= 0 {
		return i
	}
	s.Names = append(s.Names, name)
	return len(s.Names) - 1
}

// Difference returns the changes that make from equal to the sender's registrations
// within the range. Errors: CodeMalformed.
func (s *Section) Difference(from *Registrations) (d Difference, err error) {
	if s.First > s.Last || s.First>>(64-bucketBits) != s.Last>>(64-bucketBits) {
		return d, malformedSection("range %x to %x", s.First, s.Last)
	}
	listed := make(map[baobabstep.TargetID]bool)
	for rest := s.Rows; len(rest) > 0; {
		var r baobabstep.Registration
		if r, rest, err = s.nextRow(rest); err != nil {
			return Difference{}, err
		}
		if h := targetHash(r.ID); h < s.First || h > s.Last || listed[r.ID] {
			return Difference{}, malformedSection("target %x out of range or duplicated", uint64(r.ID))
		}
		listed[r.ID] = true
		if old, known := from.Get(r.ID); !known || old != r {
			d.Put = append(d.Put, r)
		}
	}
	for id := range from.buckets[s.First>>(64-bucketBits)].registrations {
		if h := targetHash(id); h >= s.First && h <= s.Last && !listed[id] {
			d.Removed = append(d.Removed, id)
		}
	}
	slices.Sort(d.Removed)
	return d, nil
}

// nextRow decodes the first registration in b and returns the remaining bytes.
func (s *Section) nextRow(b []byte) (r baobabstep.Registration, rest []byte, err error) {
	in := rowReader{b: b}
	r.ID = baobabstep.TargetID(in.uvarint())
	r.Address = in.address()
	r.Service, r.DataCentre, r.Release = in.name(s.Names), in.name(s.Names), in.name(s.Names)
	slots, draining, warmup, startedMS := in.uvarint(), in.uvarint(), in.uvarint(), in.uvarint()
	r.Slots, r.Draining, r.WarmupLeft, r.StartedMS = int(slots), draining == 1, time.Duration(warmup), startedMS
	if in.failed || draining > 1 || r.Check() != nil {
		return r, nil, malformedSection("invalid registration in the last %d bytes", len(b))
	}
	return r, in.b, nil
}

// rowReader decodes values from b. failed is set once a value is missing or invalid.
type rowReader struct {
	b      []byte
	failed bool
}

func (in *rowReader) uvarint() uint64 {
	v, n := binary.Uvarint(in.b)
	if n <= 0 {
		in.failed, in.b = true, nil
		return 0
	}
	in.b = in.b[n:]
	return v
}

func (in *rowReader) address() (a netip.AddrPort) {
	if len(in.b) == 0 || len(in.b) <= int(in.b[0]) {
		in.failed, in.b = true, nil
		return a
	}
	length := int(in.b[0])
	if a.UnmarshalBinary(in.b[1:1+length]) != nil {
		in.failed = true
	}
	in.b = in.b[1+length:]
	return a
}

func (in *rowReader) name(names []string) string {
	i := in.uvarint()
	if i >= uint64(len(names)) {
		in.failed = true
		return ""
	}
	return names[i]
}

func malformedSection(format string, args ...any) error {
	return baobabstep.Errorf(baobabstep.CodeMalformed, "heartbeat.section", "got "+format, args...)
}
