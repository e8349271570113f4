package config

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// message is what replicas send each other.
type message struct {
	Kind messageKind `cbor:"kind"`
	// Version and Manifest are those in force at the sender, or those that
	// an answer belongs to.
	Version  uint64 `cbor:"version"`
	Manifest Digest `cbor:"manifest"`
	// PlatformAgeMS is the time since the platform last answered any VM that
	// the sender heard of, in milliseconds plus one; 0 is never.
	PlatformAgeMS uint64 `cbor:"platform_age_ms,omitempty"`
	// Answer asks the receiver of a messageHave for one in return.
	Answer    bool      `cbor:"answer,omitempty"`
	Summaries []Summary `cbor:"summaries,omitempty"`
	// Want lists the pieces asked for. From is the version in force at the
	// one who asks: the sender adds what it knows to have changed since.
	Want []piece `cbor:"want,omitempty"`
	From uint64  `cbor:"from,omitempty"`
	// Whole lists objects asked for from their first byte and without a
	// base, which takes half the bytes of Want. A VM that starts asks for
	// thousands.
	Whole []Digest `cbor:"whole,omitempty"`
	// Pieces lists what Data holds, and Bases what its dictionary is made of.
	Pieces []piece `cbor:"pieces,omitempty"`
	Bases  []piece `cbor:"bases,omitempty"`
	Data   []byte  `cbor:"data,omitempty"`
}

type messageKind uint8

const (
	// messageHave says which version is in force at the sender.
	messageHave messageKind = iota + 1
	// messageWant asks for pieces of objects.
	messageWant
	// messagePieces carries pieces.
	messagePieces
)

// piece is a range of an object. In an answer, one with a length alone is a
// whole object: its name is the digest of its bytes.
type piece struct {
	Digest Digest `cbor:"digest,omitzero"`
	Offset int    `cbor:"offset,omitempty"`
	Length int    `cbor:"length,omitempty"`
	// Total is the size of the object, where the sender knows it.
	Total int `cbor:"total,omitempty"`
	// Base is, in a want, the object that stood in this one's place.
	Base Digest `cbor:"base,omitzero"`
}

// Limits of one message.
const (
	// maxPieceBytes bounds the bytes of objects in one message, before
	// compression, and so what a receiver ever unpacks. With the margins it
	// stays within the 32 kB that the compression can refer back to.
	maxPieceBytes = 28 << 10
	// maxWants bounds the pieces asked for, or sent, in one message.
	maxWants = 96
	// maxBody bounds an encoded message.
	maxBody = 64 << 10
	// dictionaryMargin is how far before its place the base of a piece is
	// used, since an edit moves what follows it.
	dictionaryMargin = 2 << 10
)

var decodeMode = mustDecodeMode()

func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 64, MaxNestedLevels: 8, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func (m *message) encode() []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

func decodeMessage(body []byte) (*message, error) {
	if len(body) > maxBody {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "config.decode_message", "got %d bytes, want at most %d", len(body), maxBody)
	}
	var m message
	if err := decodeMode.Unmarshal(body, &m); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "config.decode_message", "%w", err)
	}
	if m.Kind < messageHave || m.Kind > messagePieces || len(m.Want)+len(m.Whole) > maxWants || len(m.Pieces) > maxWants || len(m.Bases) > maxWants {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "config.decode_message", "got kind %d with %d wants and %d pieces, want known kinds within the limits", m.Kind, len(m.Want)+len(m.Whole), len(m.Pieces))
	}
	total := 0
	for _, p := range m.Pieces {
		whole := p.Digest.IsZero() && p.Offset == 0 && p.Total == 0
		if p.Offset < 0 || p.Length < 0 || p.Total < 0 || p.Total > MaxDocument || !whole && p.Offset+p.Length > p.Total {
			return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "config.decode_message", "got a piece of %d bytes at %d of %d", p.Length, p.Offset, p.Total)
		}
		total += p.Length
	}
	if total > maxPieceBytes {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "config.decode_message", "got %d bytes of pieces, want at most %d", total, maxPieceBytes)
	}
	return &m, nil
}

// dictionary joins the base ranges that a message refers to, or reports that
// one of them is not here. Both ends must make the same one.
func dictionary(bases []piece, objects Objects) ([]byte, bool) {
	var out []byte
	for _, p := range bases {
		b, ok := objects(p.Digest)
		if !ok || p.Offset < 0 || p.Length < 0 || p.Offset+p.Length > len(b) {
			return nil, false
		}
		out = append(out, b[p.Offset:p.Offset+p.Length]...)
	}
	return out, true
}

// baseRange returns the part of base that most likely resembles a piece.
func baseRange(base Digest, p piece, objects Objects) (piece, bool) {
	b, ok := objects(base)
	if !ok || base.IsZero() || len(b) == 0 {
		return piece{}, false
	}
	from := min(max(0, p.Offset-dictionaryMargin), len(b))
	to := min(len(b), p.Offset+p.Length+dictionaryMargin)
	return piece{Digest: base, Offset: from, Length: to - from}, to > from
}

// pack compresses data against a dictionary.
func pack(data, dict []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriterDict(&out, flate.DefaultCompression, dict)
	if err != nil {
		panic(err)
	}
	_, err = w.Write(data)
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(err)
	}
	return out.Bytes()
}

// unpack reverses pack; it never yields more than size bytes.
func unpack(packed, dict []byte, size int) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(packed), dict)
	out, err := io.ReadAll(io.LimitReader(r, int64(size)+1))
	if err != nil || len(out) != size {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "config.unpack", "got %d bytes and %w, want %d", len(out), err, size)
	}
	return out, nil
}
