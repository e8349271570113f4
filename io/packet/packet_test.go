package packet_test

import (
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"baobabstep"
	"baobabstep/io/packet"
	"baobabstep/io/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Anyone can send to the data port. Garbage, other versions, oversized and
// forged datagrams arrive among good ones; each is counted under its reason,
// and the good one that comes last is still received.
func TestBadDatagramsAreCounted(t *testing.T) {
	c := open(t, packet.Options{Keys: keys(1)})[0]
	stranger, err := wire.NewKey(keys(2)[0])
	qt.Assert(t, err, qt.IsNil)
	data := baobabstep.Packet{Kind: baobabstep.KindData, Seq: 9}
	good, err := wire.Append(nil, &data, wire.Key{})
	qt.Assert(t, err, qt.IsNil)
	data.Route.Purpose = baobabstep.PurposeForget
	forged, err := wire.Append(nil, &data, stranger)
	qt.Assert(t, err, qt.IsNil)
	conn, err := net.Dial("udp", c.Address().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	for _, b := range [][]byte{{wire.Version, 0}, {wire.Version + 1}, make([]byte, wire.MaxDatagram+1), make([]byte, 9000), forged, good} {
		_, err := conn.Write(b)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, receive(t, c).Seq, qt.Equals, uint32(9))
	qt.Assert(t, c.Stats(), qt.Equals, packet.Stats{Received: 1, Malformed: 1, ForeignVersion: 1, TooLarge: 2, Unauthenticated: 1})
}

func TestShardsShareOneAddress(t *testing.T) {
	conns := open(t, packet.Options{Shards: 3})
	qt.Assert(t, conns, qt.HasLen, 3)
	for _, c := range conns[1:] {
		qt.Assert(t, c.Address(), qt.Equals, conns[0].Address())
	}
}

func TestNewRefuses(t *testing.T) {
	for _, o := range []packet.Options{
		{Listen: netip.MustParseAddrPort("192.0.2.1:1")},
		{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: [][]byte{{1}}},
	} {
		_, err := packet.New(o)
		qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeSettings)
	}
}

// A VM is started twice by mistake, or before its predecessor has ended. If both
// could bind, the kernel would spread the flows over the two, and each would
// find records missing. The second start must fail instead.
func TestSecondProcessCannotShareTheAddress(t *testing.T) {
	first := open(t, packet.Options{Shards: 2})[0]
	_, err := packet.New(packet.Options{Listen: first.Address(), Shards: 2})
	qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeSettings)
}
