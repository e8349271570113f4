package heartbeat

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"baobabstep"
)

// Guards against registrations that still differ from the sender's after all sections are applied.
func TestSectionsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) *Registrations {
			r := EmptyRegistrations()
			var d Difference
			for range rapid.IntRange(0, 300).Draw(t, name) {
				reg := registrationOf(baobabstep.TargetID(rapid.IntRange(1, 400).Draw(t, "id")))
				reg.Service = rapid.SampledFrom([]string{"a", "b", strings.Repeat("c", 50), strings.Repeat("d", 90)}).Draw(t, "service")
				reg.Draining = rapid.Bool().Draw(t, "draining")
				reg.WarmupLeft = time.Duration(rapid.IntRange(0, 3).Draw(t, "cold")) * time.Second
				reg.StartedMS = uint64(rapid.IntRange(0, 1<<40).Draw(t, "life"))
				d.Put = append(d.Put, reg)
			}
			if err := r.Apply(d); err != nil {
				t.Fatal(err)
			}
			return r
		}
		ours, theirs := draw("ours"), draw("theirs")
		maxBytes := rapid.IntRange(1, 20000).Draw(t, "maxBytes")
		for round := 0; ours.Checksum() != theirs.Checksum(); round++ {
			sections, complete := theirs.Sections(MakeVersionInfo(revisionOf(2), theirs.Checksum(), 0), ours.Digests(), round, maxBytes)
			if len(sections) == 0 || !sections[len(sections)-1].End {
				t.Fatalf("round %d: got %d sections, want at least one, the last with End set", round, len(sections))
			}
			for _, s := range sections {
				raw, err := Encode(&Message{Section: s})
				if err != nil {
					t.Fatal(err)
				}
				m, err := Decode(raw)
				if err != nil {
					t.Fatal(err)
				}
				d, err := m.Section.Difference(ours)
				if err != nil {
					t.Fatal(err)
				}
				if err := ours.Apply(d); err != nil {
					t.Fatal(err)
				}
			}
			if complete && ours.Checksum() != theirs.Checksum() {
				t.Fatalf("round %d: the sections do not cover all differences", round)
			}
		}
		if sections, complete := theirs.Sections(VersionInfo{}, ours.Digests(), 0, maxBytes); sections != nil || !complete {
			t.Fatalf("got %d sections of equal registrations, want none", len(sections))
		}
	})
}

// Guards against accepting sections that are truncated or inconsistent.
func TestMalformedSection(t *testing.T) {
	r := EmptyRegistrations()
	qt.Assert(t, r.Apply(Difference{Put: []baobabstep.Registration{registrationOf(1), registrationOf(2)}}), qt.IsNil)
	all, _ := r.Sections(VersionInfo{}, nil, bucketOf(1), 1)
	good := *all[0]
	for _, c := range []struct {
		name    string
		corrupt func(s *Section)
	}{
		{"truncated rows", func(s *Section) { s.Rows = s.Rows[:len(s.Rows)-1] }},
		{"name index out of range", func(s *Section) { s.Names = s.Names[:1] }},
		{"reversed range", func(s *Section) { s.First, s.Last = s.Last, s.First }},
		{"range over several buckets", func(s *Section) { s.First, s.Last = 0, 1<<64-1 }},
		{"target outside of the range", func(s *Section) { s.Last = s.First }},
		{"duplicate target", func(s *Section) { s.Rows = append(s.Rows[:len(s.Rows):len(s.Rows)], s.Rows...) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := good
			c.corrupt(&s)
			_, err := s.Difference(EmptyRegistrations())
			qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeMalformed)
		})
	}
}

// Guards against panics on arbitrary sections.
func FuzzSection(f *testing.F) {
	r := EmptyRegistrations()
	_ = r.Apply(Difference{Put: []baobabstep.Registration{registrationOf(1)}})
	all, _ := r.Sections(VersionInfo{}, nil, 0, 1)
	for _, s := range all {
		f.Add(s.First, s.Last, s.Rows)
	}
	f.Fuzz(func(_ *testing.T, first, last uint64, rows []byte) {
		s := Section{First: first, Last: last, Names: []string{"a", "b"}, Rows: rows}
		_, _ = s.Difference(r)
	})
}

// Guards against merged differences that keep an entry which the later one replaces.
func TestDifferenceMerge(t *testing.T) {
	one, two := registrationOf(1), registrationOf(2)
	d := Difference{Put: []baobabstep.Registration{one}, Removed: []baobabstep.TargetID{2}}
	d.Merge(Difference{Put: []baobabstep.Registration{two}, Removed: []baobabstep.TargetID{1}})
	qt.Assert(t, len(d.Put) == 1 && d.Put[0] == two, qt.IsTrue)
	qt.Assert(t, d.Removed, qt.DeepEquals, []baobabstep.TargetID{1})
}

// Guards against sections that exceed the message limit where targets have many service names.
func TestSectionsWithManyNamesFit(t *testing.T) {
	r := EmptyRegistrations()
	var d Difference
	for id := baobabstep.TargetID(1); id <= 10000; id++ {
		reg := registrationOf(id)
		reg.Service = fmt.Sprintf("service-%012d", id%200)
		d.Put = append(d.Put, reg)
	}
	qt.Assert(t, r.Apply(d), qt.IsNil)
	all, _ := r.Sections(MakeVersionInfo(revisionOf(2), 1, 0), nil, 0, 1e9)
	for _, s := range all {
		_, err := Encode(&Message{Section: s})
		qt.Assert(t, err, qt.IsNil)
	}
}
