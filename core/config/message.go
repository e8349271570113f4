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
	// Version and Manifest are those in force at the sender; in a
	// messageRequest, those that the sender wants to fetch.
	Version  uint64 `cbor:"version"`
	Manifest Digest `cbor:"manifest"`
	// PlatformAgeMS is the time since the platform last answered a VM, as far
	// as the sender knows, in milliseconds plus one; 0 means never.
	PlatformAgeMS uint64 `cbor:"platform_age_ms,omitempty"`
	// Answer asks the receiver of a messageAnnounce for one in return.
	Answer    bool      `cbor:"answer,omitempty"`
	Summaries []Summary `cbor:"summaries,omitempty"`
	// Want lists the requested pieces. From is the version in force at the
	// requester: the answer may include objects that changed since.
	Want []piece `cbor:"want,omitempty"`
	From uint64  `cbor:"from,omitempty"`
	// Whole lists objects requested from their first byte and without a
	// base, which takes half the bytes of Want. A VM that starts requests
	// thousands.
	Whole []Digest `cbor:"whole,omitempty"`
	// Pieces lists the contents of Data, which is compressed with a dictionary
	// made of Bases.
	Pieces []piece `cbor:"pieces,omitempty"`
	Bases  []piece `cbor:"bases,omitempty"`
	Data   []byte  `cbor:"data,omitempty"`
}

type messageKind uint8

const (
	// messageAnnounce announces the version in force at the sender.
	messageAnnounce messageKind = iota + 1
	// messageRequest requests pieces of objects.
	messageRequest
	// messagePieces carries pieces.
	messagePieces
)

// piece is a range of bytes of an object. In an answer, a piece with only Length
// set is a whole object, whose digest the receiver computes.
type piece struct {
	Digest Digest `cbor:"digest,omitzero"`
	Offset int    `cbor:"offset,omitempty"`
	Length int    `cbor:"length,omitempty"`
	// Total is the size of the object in bytes, if the sender knows it.
	Total int `cbor:"total,omitempty"`
	// Base is, in a request, the object that this one replaces.
	Base Digest `cbor:"base,omitzero"`
}

// Limits of one message.
const (
	// maxPieceBytes limits the object bytes in one message before compression,
	// and so what a receiver decompresses. With the margins it stays within the
	// 32 kB window of flate.
	maxPieceBytes = 28 << 10
	// maxPiecesPerMessage limits the pieces requested or sent in one message.
	maxPiecesPerMessage = 96
	// maxMessageBytes is the maximum size of an encoded message.
	maxMessageBytes = 64 << 10
	// dictionaryMargin is how many bytes of the base before and after a piece
	// are added to the dictionary, since an edit shifts what follows it.
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
	if len(body) > maxMessageBytes {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "config.decode_message", "got %d bytes, want at most %d", len(body), maxMessageBytes)
	}
	var m message
	if err := decodeMode.Unmarshal(body, &m); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "config.decode_message", "%w", err)
	}
	if m.Kind < messageAnnounce || m.Kind > messagePieces || len(m.Want)+len(m.Whole) > maxPiecesPerMessage || len(m.Pieces) > maxPiecesPerMessage || len(m.Bases) > maxPiecesPerMessage {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "config.decode_message", "got kind %d with %d wants and %d pieces, want known kinds within the limits", m.Kind, len(m.Want)+len(m.Whole), len(m.Pieces))
	}
	total := 0
	for _, p := range m.Pieces {
		whole := p.Digest.IsZero() && p.Offset == 0 && p.Total == 0
		if p.Offset < 0 || p.Length < 0 || p.Total < 0 || p.Total > MaxDocument || !whole && p.Offset+p.Length > p.Total {
			return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "config.decode_message", "got a piece of %d bytes at offset %d of an object of %d bytes", p.Length, p.Offset, p.Total)
		}
		total += p.Length
	}
	if total > maxPieceBytes {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "config.decode_message", "got %d bytes of pieces, want at most %d", total, maxPieceBytes)
	}
	return &m, nil
}

// dictionary concatenates the base ranges of a message, or returns false if one
// is not available. Sender and receiver must build the same dictionary.
func dictionary(bases []piece, objects ObjectLookup) ([]byte, bool) {
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

// baseRange returns the range of base that most likely resembles p, or false if
// there is none.
func baseRange(base Digest, p piece, objects ObjectLookup) (piece, bool) {
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

// unpack decompresses what pack returned. It returns CodeMalformed unless the
// result has exactly size bytes.
func unpack(packed, dict []byte, size int) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(packed), dict)
	out, err := io.ReadAll(io.LimitReader(r, int64(size)+1))
	if err != nil || len(out) != size {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "config.unpack", "got %d bytes and %w, want %d", len(out), err, size)
	}
	return out, nil
}
