// Package wire is the datagram form of [baobabstep.Packet]: a CBOR sequence
// followed by the payload as it is.
//
//	version | header | wide? | detail? | report? | route? | record? | payload | mac?
//
// Each part marked with a question mark is present if its flag is set in the
// header, so that the packets that matter most, data of an established flow,
// carry and cost only the header. The payload is the rest of the datagram and
// is never copied. A route may be sent only by VMs: it comes with a message
// authentication code over the whole datagram, under a key that the VMs share.
//
// docs/PROTOCOLS.md gives the fields, limits and rules for new versions.
package wire

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"sync"

	"github.com/dchest/siphash"
	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// Version is the protocol version, the first item of each datagram.
const Version = 1

// Limits in bytes. MaxPayload leaves room for every part, so that a payload
// that a caller could send always fits on the way between two VMs as well.
const (
	MaxDatagram = 1400
	MaxPayload  = 1100
)

// MinKeySize is the least size of a shared key in bytes.
const MinKeySize = 16

const macSize = 16

// Key authenticates datagrams between VMs. The zero value is no key.
type Key struct{ k0, k1 uint64 }

// NewKey makes a key from a secret of at least MinKeySize bytes, or fails with
// CodeSettings. The secret is hashed with a label, since other protocols
// between VMs use the same one.
func NewKey(secret []byte) (Key, error) { return NewLabelledKey("baobabstep datagram 1\x00", secret) }

// NewLabelledKey is NewKey for another protocol over datagrams between VMs: a
// code made for one label fits no other.
func NewLabelledKey(label string, secret []byte) (Key, error) {
	if len(secret) < MinKeySize {
		return Key{}, baobabstep.Errorf(baobabstep.CodeSettings, "wire.key", "got %d bytes, want at least %d", len(secret), MinKeySize)
	}
	sum := sha256.Sum256(append([]byte(label), secret...))
	return Key{binary.LittleEndian.Uint64(sum[:]), binary.LittleEndian.Uint64(sum[8:])}, nil
}

// Seal appends the code of b to it.
func (k Key) Seal(b []byte) []byte {
	mac := k.sum(b)
	return append(b, mac[:]...)
}

// Open returns what stands before the code of b, or CodeUnauthenticated if the
// code was not made with this key.
func (k Key) Open(b []byte) ([]byte, error) {
	if !authentic(b, []Key{k}) {
		return nil, errUnauthenticated
	}
	return b[:len(b)-macSize], nil
}

func (k Key) sum(b []byte) [macSize]byte {
	var mac [macSize]byte
	lo, hi := siphash.Hash128(k.k0, k.k1, b)
	binary.LittleEndian.PutUint64(mac[:], lo)
	binary.LittleEndian.PutUint64(mac[8:], hi)
	return mac
}

// scratch holds what the codec decodes into and encodes from. It is pooled,
// since values handed to the codec escape to the heap.
type scratch struct {
	buf    bytes.Buffer
	header header
	wide   wide
	detail detail
	report report
	route  route
	record record
}

var (
	pool = sync.Pool{New: func() any { return new(scratch) }}

	encMode = must(cbor.EncOptions{}.UserBufferEncMode())
	decMode = must(cbor.DecOptions{
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  4,
		MaxArrayElements: 16,
	}.DecMode())
	versionItem = must(encMode.Marshal(uint8(Version)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Append appends the datagram of p to dst. p.Route is sent, and authenticated
// with key, if it has a purpose. Errors: CodeTooLarge, CodeUnauthenticated for
// a route without a key, CodeMalformed for a packet without a kind.
func Append(dst []byte, p *baobabstep.Packet, key Key) ([]byte, error) {
	switch {
	case p.Kind == baobabstep.KindInvalid || p.Kind > lastKind:
		return dst, baobabstep.Errorf(baobabstep.CodeMalformed, "wire.append", "got kind %d, want 1 to %d", p.Kind, lastKind)
	case len(p.Payload) > MaxPayload:
		return dst, baobabstep.Errorf(baobabstep.CodeTooLarge, "wire.append", "got a payload of %d bytes, want at most %d", len(p.Payload), MaxPayload)
	case p.Route.NTried > baobabstep.MaxTried:
		return dst, baobabstep.Errorf(baobabstep.CodeMalformed, "wire.append", "got %d VMs tried, want at most %d", p.Route.NTried, baobabstep.MaxTried)
	case p.Route.Purpose != baobabstep.PurposeNone && key == (Key{}):
		return dst, baobabstep.Errorf(baobabstep.CodeUnauthenticated, "wire.append", "got a route without a key")
	}
	s := pool.Get().(*scratch)
	defer func() {
		s.buf = bytes.Buffer{}
		pool.Put(s)
	}()
	start := len(dst)
	s.buf = *bytes.NewBuffer(append(dst, versionItem...))
	if err := s.encode(p); err != nil {
		return dst, baobabstep.Errorf(baobabstep.CodeMalformed, "wire.append", "encode: %w", err)
	}
	out := append(s.buf.Bytes(), p.Payload...)
	if s.header.Flags&flagRoute != 0 {
		mac := key.sum(out[start:])
		out = append(out, mac[:]...)
	}
	return out, nil
}

// clear empties the parts. The codec leaves a field as it was when it meets a
// null; without this a crafted datagram would read what the one before it held.
func (s *scratch) clear() {
	s.header, s.wide, s.detail, s.report, s.record = header{}, wide{}, detail{}, report{}, record{}
	s.route = route{Tried: s.route.Tried[:0]}
}

func (s *scratch) encode(p *baobabstep.Packet) error {
	s.header.set(p)
	if err := encMode.MarshalToBuffer(&s.header, &s.buf); err != nil {
		return err
	}
	flags := s.header.Flags
	if flags&flagWide != 0 {
		s.wide.set(p)
		if err := encMode.MarshalToBuffer(&s.wide, &s.buf); err != nil {
			return err
		}
	}
	if flags&flagDetail != 0 {
		s.detail.set(p)
		if err := encMode.MarshalToBuffer(&s.detail, &s.buf); err != nil {
			return err
		}
	}
	if flags&flagReport != 0 {
		s.report.set(p)
		if err := encMode.MarshalToBuffer(&s.report, &s.buf); err != nil {
			return err
		}
	}
	if flags&flagRoute != 0 {
		s.route.set(p)
		if err := encMode.MarshalToBuffer(&s.route, &s.buf); err != nil {
			return err
		}
	}
	if flags&flagRecord != 0 {
		s.record.set(p)
		return encMode.MarshalToBuffer(&s.record, &s.buf)
	}
	return nil
}

// Decode fills p from datagram b; p.Payload points into b. A datagram with a
// route must carry a code made with one of keys. Errors: CodeTooLarge,
// CodeForeignVersion, CodeUnauthenticated, CodeMalformed; p is then undefined.
func Decode(b []byte, p *baobabstep.Packet, keys []Key) error {
	if len(b) > MaxDatagram {
		return errTooLarge
	}
	s := pool.Get().(*scratch)
	defer pool.Put(s)
	rest, err := decodeVersion(b)
	if err != nil {
		return err
	}
	s.clear()
	if rest, err = decMode.UnmarshalFirst(rest, &s.header); err != nil {
		return malformed("header", err)
	}
	flags := s.header.Flags
	if !s.header.valid() {
		return malformed("header", errRange)
	}
	// The code is checked before anything behind the header is looked at, so
	// that a forger reaches no further code than any caller does.
	if flags&flagRoute != 0 {
		if !authentic(b, keys) {
			return errUnauthenticated
		}
		if len(rest) < macSize {
			return malformed("mac", errRange)
		}
		rest = rest[:len(rest)-macSize]
	}
	*p = baobabstep.Packet{}
	if rest, err = s.decodeParts(rest, p); err != nil {
		return err
	}
	if len(rest) > MaxPayload {
		return errTooLarge
	}
	if len(rest) > 0 {
		p.Payload = rest
	}
	return nil
}

// decodeVersion looks at the version alone, since a foreign version may have
// another header.
func decodeVersion(b []byte) ([]byte, error) {
	if rest, ok := bytes.CutPrefix(b, versionItem); ok {
		return rest, nil
	}
	var version uint64
	if _, err := decMode.UnmarshalFirst(b, &version); err != nil {
		return nil, malformed("version", err)
	}
	return nil, errForeignVersion
}

func (s *scratch) decodeParts(rest []byte, p *baobabstep.Packet) ([]byte, error) {
	var err error
	flags := s.header.Flags
	s.header.get(p)
	if flags&flagWide != 0 {
		if rest, err = decMode.UnmarshalFirst(rest, &s.wide); err != nil {
			return nil, malformed("wide", err)
		}
		s.wide.get(p, &s.header)
	}
	if flags&flagDetail != 0 {
		if rest, err = decMode.UnmarshalFirst(rest, &s.detail); err != nil {
			return nil, malformed("detail", err)
		}
		s.detail.get(p)
	}
	if flags&flagReport != 0 {
		if rest, err = decMode.UnmarshalFirst(rest, &s.report); err != nil {
			return nil, malformed("report", err)
		}
		s.report.get(p)
	}
	if flags&flagRoute != 0 {
		if rest, err = decMode.UnmarshalFirst(rest, &s.route); err != nil {
			return nil, malformed("route", err)
		}
		if !s.route.valid() {
			return nil, malformed("route", errRange)
		}
		s.route.get(p)
	}
	if flags&flagRecord != 0 {
		if rest, err = decMode.UnmarshalFirst(rest, &s.record); err != nil {
			return nil, malformed("record", err)
		}
		s.record.get(p)
	}
	return rest, nil
}

// authentic reports whether the last bytes of b are the code of what stands
// before them. All keys are tried in full, in constant time for each.
func authentic(b []byte, keys []Key) bool {
	if len(b) < macSize {
		return false
	}
	body, got := b[:len(b)-macSize], b[len(b)-macSize:]
	for _, key := range keys {
		want := key.sum(body)
		diff := binary.LittleEndian.Uint64(want[:]) ^ binary.LittleEndian.Uint64(got)
		diff |= binary.LittleEndian.Uint64(want[8:]) ^ binary.LittleEndian.Uint64(got[8:])
		if diff == 0 {
			return true
		}
	}
	return false
}

// Errors of Decode are made without a stack trace, most of them once: a flood
// of bad datagrams must not cost more than the good ones.
var (
	errTooLarge        = decodeError(baobabstep.CodeTooLarge, "got a datagram or payload over the limit")
	errUnauthenticated = decodeError(baobabstep.CodeUnauthenticated, "got a route that no shared key vouches for")
	errForeignVersion  = decodeError(baobabstep.CodeForeignVersion, "got another version of the protocol")
)

func decodeError(code baobabstep.Code, text string) error {
	return &baobabstep.Error{Code: code, Op: "wire.decode", Err: errors.New(text)}
}

func malformed(part string, err error) error {
	return &baobabstep.Error{Code: baobabstep.CodeMalformed, Op: "wire.decode." + part, Err: err}
}
