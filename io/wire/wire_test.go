package wire_test

import (
	"flag"
	"net/netip"
	"os"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"baobabstep"
	"baobabstep/io/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// equal compares whole packets; qt cannot, for the hidden fields of addresses.
func equal(a, b baobabstep.Packet) bool { return reflect.DeepEqual(a, b) }

func key(t testing.TB, fill byte) wire.Key {
	t.Helper()
	b := make([]byte, wire.MinKeySize)
	for i := range b {
		b[i] = fill + byte(i)
	}
	k, err := wire.NewKey(b)
	qt.Assert(t, err, qt.IsNil)
	return k
}

func assertCode(t testing.TB, err error, want baobabstep.Code) {
	t.Helper()
	qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, want, qt.Commentf("%v", err))
}

func encode(t testing.TB, p *baobabstep.Packet, k wire.Key) []byte {
	t.Helper()
	b, err := wire.Append(nil, p, k)
	qt.Assert(t, err, qt.IsNil)
	return b
}

// dataPacket is what most datagrams carry: data of an established flow.
func dataPacket() baobabstep.Packet {
	return baobabstep.Packet{
		Kind: baobabstep.KindData,
		Flow: baobabstep.FlowKey{
			Caller:  netip.MustParseAddrPort("127.0.0.1:40000"),
			Service: netip.MustParseAddrPort("192.0.2.10:443"),
			Number:  1 << 60,
		},
		Seq:     77,
		Service: 1 << 63,
		Target:  1<<63 + 5,
		Version: 12,
		Payload: make([]byte, 100),
	}
}

// fullPacket carries every part, with each number as long as it gets.
func fullPacket() baobabstep.Packet {
	const most = 1<<64 - 1
	p := dataPacket()
	p.Kind = baobabstep.KindHealthReport
	p.FromTarget, p.Idempotent, p.Class = true, true, baobabstep.ClassOrdinary
	p.Flow.Caller = netip.MustParseAddrPort("[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535")
	p.Flow.Service = netip.MustParseAddrPort("[2001:db8:ffff:ffff:ffff:ffff:ffff:fffe]:65535")
	p.Flow.Number, p.Version, p.Service, p.Target, p.Seq = most, most, most, most, 1<<32-1
	p.Attempt, p.Part, p.Parts, p.Code = 1<<16-1, 1<<16-1, 1<<16-1, 1<<16-1
	p.Timeout, p.RetryAfter = 1<<62, 1<<62
	p.Report = baobabstep.TargetReport{Healthy: true, Draining: true, SlotsUsed: 1<<32 - 1, Connections: 1<<32 - 1, ServiceTime: 1 << 62}
	p.Route = baobabstep.Route{
		Purpose: baobabstep.PurposeStored, From: most, Exhausted: true, NTried: baobabstep.MaxTried,
		Record: baobabstep.Record{Target: most, Service: most, Address: p.Flow.Caller, Version: most, Established: true, Confirmed: true, Age: 1 << 62, Attempt: 1<<16 - 1},
	}
	for i := range p.Route.Tried {
		p.Route.Tried[i] = most
	}
	p.Payload = make([]byte, wire.MaxPayload)
	return p
}

func drawAddress(t *rapid.T, label string) netip.AddrPort {
	port := rapid.Uint16().Draw(t, label+"_port")
	switch rapid.IntRange(0, 2).Draw(t, label+"_family") {
	case 0:
		return netip.AddrPort{}
	case 1:
		b := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label)
		b[0] |= 1
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), port)
	}
	b := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, label)
	b[0] |= 0x20
	return netip.AddrPortFrom(netip.AddrFrom16([16]byte(b)), port)
}

func drawPacket(t *rapid.T) baobabstep.Packet {
	duration := rapid.Int64()
	p := baobabstep.Packet{
		Kind:       baobabstep.Kind(rapid.IntRange(1, int(baobabstep.KindHealthReport)).Draw(t, "kind")),
		FromTarget: rapid.Bool().Draw(t, "from_target"),
		Flow: baobabstep.FlowKey{
			Caller:  drawAddress(t, "caller"),
			Service: drawAddress(t, "service"),
			Number:  rapid.Uint64().Draw(t, "number"),
		},
		Seq:        rapid.Uint32().Draw(t, "seq"),
		Service:    baobabstep.ServiceID(rapid.Uint64().Draw(t, "service_id")),
		Target:     baobabstep.TargetID(rapid.Uint64().Draw(t, "target_id")),
		Version:    rapid.Uint64().Draw(t, "version"),
		Attempt:    rapid.Uint16().Draw(t, "attempt"),
		Class:      baobabstep.Class(rapid.IntRange(0, 1).Draw(t, "class")),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Timeout:    time.Duration(duration.Draw(t, "timeout")),
		Part:       rapid.Uint16().Draw(t, "part"),
		Parts:      rapid.Uint16().Draw(t, "parts"),
		Code:       baobabstep.Code(rapid.Uint16().Draw(t, "code")),
		RetryAfter: time.Duration(duration.Draw(t, "retry_after")),
		Report: baobabstep.TargetReport{
			Healthy:     rapid.Bool().Draw(t, "healthy"),
			SlotsUsed:   rapid.Uint32().Draw(t, "slots"),
			ServiceTime: time.Duration(duration.Draw(t, "service_time")),
		},
	}
	if payload := rapid.SliceOfN(rapid.Byte(), 0, wire.MaxPayload).Draw(t, "payload"); len(payload) > 0 {
		p.Payload = payload
	}
	if rapid.Bool().Draw(t, "routed") {
		p.Route = baobabstep.Route{
			Purpose: baobabstep.Purpose(rapid.IntRange(1, int(baobabstep.PurposeStored)).Draw(t, "purpose")),
			From:    baobabstep.VMID(rapid.Uint64().Draw(t, "from")),
			NTried:  uint8(rapid.IntRange(0, baobabstep.MaxTried).Draw(t, "ntried")),
			Record: baobabstep.Record{
				Target: baobabstep.TargetID(rapid.Uint64().Draw(t, "record_target")),
				Age:    time.Duration(duration.Draw(t, "age")),
			},
		}
		for i := range p.Route.NTried {
			p.Route.Tried[i] = baobabstep.VMID(rapid.Uint64().Draw(t, "tried"))
		}
	}
	return p
}

func TestRoundTrip(t *testing.T) {
	k := key(t, 1)
	rapid.Check(t, func(t *rapid.T) {
		want := drawPacket(t)
		prefix := []byte("before")
		b, err := wire.Append(prefix, &want, k)
		if err != nil {
			t.Fatal(err)
		}
		// The decoder gets a used packet, as it does in a reused batch.
		got := fullPacket()
		if err := wire.Decode(b[len(prefix):], &got, []wire.Key{k}); err != nil {
			t.Fatal(err)
		}
		if !equal(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

func TestLargestPacketFits(t *testing.T) {
	p := fullPacket()
	b := encode(t, &p, key(t, 1))
	qt.Assert(t, len(b) <= wire.MaxDatagram, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
}

// A field that is added to the packet but not to the wire would be lost between
// two VMs, and only there. Each field is set here, found by reflection.
func TestEveryFieldTravels(t *testing.T) {
	want := fullPacket()
	assertNoZero(t, reflect.ValueOf(want), "packet")
	var got baobabstep.Packet
	k := key(t, 1)
	assertCode(t, wire.Decode(encode(t, &want, k), &got, []wire.Key{k}), baobabstep.CodeOK)
	qt.Assert(t, equal(got, want), qt.IsTrue, qt.Commentf("got %+v, want %+v", got, want))
}

func assertNoZero(t *testing.T, v reflect.Value, path string) {
	t.Helper()
	qt.Assert(t, v.IsZero(), qt.IsFalse, qt.Commentf("%s is not set", path))
	if v.Kind() != reflect.Struct || v.Type() == reflect.TypeFor[netip.AddrPort]() {
		return
	}
	for i := range v.NumField() {
		assertNoZero(t, v.Field(i), path+"."+v.Type().Field(i).Name)
	}
}

func TestAppendRefuses(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*baobabstep.Packet)
		key    wire.Key
		want   baobabstep.Code
	}{
		{"no kind", func(p *baobabstep.Packet) { p.Kind = baobabstep.KindInvalid }, key(t, 1), baobabstep.CodeMalformed},
		{"unknown kind", func(p *baobabstep.Packet) { p.Kind = 200 }, key(t, 1), baobabstep.CodeMalformed},
		{"too many VMs tried", func(p *baobabstep.Packet) { p.Route.NTried = baobabstep.MaxTried + 1 }, key(t, 1), baobabstep.CodeMalformed},
		{"payload over limit", func(p *baobabstep.Packet) { p.Payload = make([]byte, wire.MaxPayload+1) }, key(t, 1), baobabstep.CodeTooLarge},
		{"route without key", func(p *baobabstep.Packet) { p.Route.Purpose = baobabstep.PurposeForward }, wire.Key{}, baobabstep.CodeUnauthenticated},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := dataPacket()
			test.change(&p)
			b, err := wire.Append([]byte("kept"), &p, test.key)
			assertCode(t, err, test.want)
			qt.Assert(t, string(b), qt.Equals, "kept")
		})
	}
}

// A caller, or anyone who reaches the data port, sends datagrams that are cut
// short, too long, of another version, or that carry a route as only VMs may.
// Each must fail with its own code, and none may be taken for a good packet.
func TestDecodeRefuses(t *testing.T) {
	old, current, next := key(t, 1), key(t, 2), key(t, 3)
	keys := []wire.Key{current, old}
	plain := dataPacket()
	routed := dataPacket()
	routed.Route = baobabstep.Route{Purpose: baobabstep.PurposeForward, From: 7}
	flipped := encode(t, &routed, current)
	flipped[len(flipped)-30] ^= 1
	foreign := encode(t, &plain, current)
	foreign[0] = wire.Version + 1
	for _, test := range []struct {
		name string
		b    []byte
		keys []wire.Key
		want baobabstep.Code
	}{
		{"plain", encode(t, &plain, current), keys, baobabstep.CodeOK},
		{"plain without keys", encode(t, &plain, current), nil, baobabstep.CodeOK},
		{"route under the sending key", encode(t, &routed, current), keys, baobabstep.CodeOK},
		{"route under the second key", encode(t, &routed, old), keys, baobabstep.CodeOK},
		{"route under an unknown key", encode(t, &routed, next), keys, baobabstep.CodeUnauthenticated},
		{"route without keys", encode(t, &routed, current), nil, baobabstep.CodeUnauthenticated},
		{"route changed on the way", flipped, keys, baobabstep.CodeUnauthenticated},
		{"route cut short", encode(t, &routed, current)[:80], keys, baobabstep.CodeUnauthenticated},
		{"empty", nil, keys, baobabstep.CodeMalformed},
		{"cut in the header", encode(t, &plain, current)[:20], keys, baobabstep.CodeMalformed},
		{"no CBOR", []byte("\x01hello"), keys, baobabstep.CodeMalformed},
		{"null header", []byte{wire.Version, 0xf6}, keys, baobabstep.CodeMalformed},
		{"record without route", []byte{wire.Version, 0x89, 3, 0x18, 0x80, 1, 1, 1, 1, 1, 1, 1}, keys, baobabstep.CodeMalformed},
		{"unknown kind", []byte{wire.Version, 0x89, 0x18, 99, 0, 1, 1, 1, 1, 1, 1, 1}, keys, baobabstep.CodeMalformed},
		{"foreign version", foreign, keys, baobabstep.CodeForeignVersion},
		{"over the datagram limit", make([]byte, wire.MaxDatagram+1), keys, baobabstep.CodeTooLarge},
		{"over the payload limit", append(encode(t, &plain, current), make([]byte, wire.MaxPayload)...), keys, baobabstep.CodeTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			var p baobabstep.Packet
			assertCode(t, wire.Decode(test.b, &p, test.keys), test.want)
		})
	}
}

// The codec skips a null and leaves the field as it was. Scratch memory is
// pooled, so without clearing it a caller who sends nulls would get the service
// and target of a stranger's packet, and be routed as that stranger.
func TestNullsReadNothingOfEarlierPackets(t *testing.T) {
	full := fullPacket()
	full.Route = baobabstep.Route{}
	full.Payload = nil
	b := encode(t, &full, wire.Key{})
	nulls := []byte{wire.Version, 0x89, 3, 0, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6}
	for range 100 {
		var p baobabstep.Packet
		assertCode(t, wire.Decode(b, &p, nil), baobabstep.CodeOK)
		assertCode(t, wire.Decode(nulls, &p, nil), baobabstep.CodeOK)
		qt.Assert(t, equal(p, baobabstep.Packet{Kind: baobabstep.KindData}), qt.IsTrue, qt.Commentf("%+v", p))
	}
}

func TestNewKeyRefuses(t *testing.T) {
	for _, b := range [][]byte{nil, make([]byte, wire.MinKeySize-1)} {
		_, err := wire.NewKey(b)
		assertCode(t, err, baobabstep.CodeSettings)
	}
}

// FuzzDecode: whatever decodes must survive another round unchanged.
func FuzzDecode(f *testing.F) {
	k := key(f, 1)
	for _, p := range []baobabstep.Packet{dataPacket(), fullPacket(), {Kind: baobabstep.KindOpen}} {
		f.Add(encode(f, &p, k))
	}
	f.Add([]byte{wire.Version, 0x89, 3, 0, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6})
	f.Add([]byte{2})
	f.Fuzz(func(t *testing.T, b []byte) {
		var first, second baobabstep.Packet
		if wire.Decode(b, &first, []wire.Key{k}) != nil {
			return
		}
		again, err := wire.Append(nil, &first, k)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, wire.Decode(again, &second, []wire.Key{k}), qt.IsNil)
		qt.Assert(t, equal(first, second), qt.IsTrue, qt.Commentf("got %+v, want %+v", second, first))
	})
}

func BenchmarkAppend(b *testing.B) {
	bench(b, func(p *baobabstep.Packet, k wire.Key) func() error {
		buf := make([]byte, 0, wire.MaxDatagram)
		return func() error {
			_, err := wire.Append(buf, p, k)
			return err
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	bench(b, func(p *baobabstep.Packet, k wire.Key) func() error {
		datagram := encode(b, p, k)
		keys := []wire.Key{k}
		var out baobabstep.Packet
		return func() error { return wire.Decode(datagram, &out, keys) }
	})
}

func bench(b *testing.B, prepare func(*baobabstep.Packet, wire.Key) func() error) {
	data, request, routed, recorded := dataPacket(), dataPacket(), dataPacket(), dataPacket()
	request.Kind, request.Attempt, request.Timeout = baobabstep.KindRequest, 1, time.Second
	routed.Route = baobabstep.Route{Purpose: baobabstep.PurposeForward, From: 1 << 62}
	recorded.Route = baobabstep.Route{
		Purpose: baobabstep.PurposeReplicate, From: 1 << 62,
		Record: baobabstep.Record{Target: 1 << 61, Service: 1 << 62, Version: 12, Established: true, Age: time.Hour},
	}
	for _, c := range []struct {
		name   string
		packet *baobabstep.Packet
	}{{"data", &data}, {"request", &request}, {"routed", &routed}, {"recorded", &recorded}} {
		b.Run(c.name, func(b *testing.B) {
			step := prepare(c.packet, key(b, 1))
			b.ReportAllocs()
			for b.Loop() {
				if err := step(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
