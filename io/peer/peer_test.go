package peer_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"baobabstep"
	"baobabstep/io/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	keyOld   = []byte("old key of the test fleet")
	keyNew   = []byte("new key of the test fleet")
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

// start returns running peers named name.
func start(t *testing.T, name string, edit func(*peer.Options)) *peer.Peers {
	t.Helper()
	o := peer.Options{
		Self:   baobabstep.VM{ID: baobabstep.MakeVMID(name), Name: name},
		Listen: loopback, LocalIP: netip.MustParseAddr("127.0.0.1"),
		Keys: [][]byte{keyOld}, MaxBackoff: 20 * time.Millisecond, MessageTTL: 10 * time.Second,
	}
	if edit != nil {
		edit(&o)
	}
	p, err := peer.New(o)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, p.Close(), qt.IsNil) })
	return p
}

func vm(name string, p *peer.Peers) baobabstep.VM {
	return baobabstep.VM{ID: baobabstep.MakeVMID(name), Name: name, PeerAddress: p.Address()}
}

func text(s string) baobabstep.PeerMessage {
	return baobabstep.PeerMessage{Topic: baobabstep.TopicMember, Body: []byte(s)}
}

// receive waits for the next message and checks its body and sender.
func receive(t *testing.T, p baobabstep.Peers, from, want string) {
	t.Helper()
	select {
	case m := <-p.Messages():
		qt.Assert(t, string(m.Body), qt.Equals, want)
		qt.Assert(t, m.From, qt.Equals, baobabstep.MakeVMID(from))
	case <-time.After(20 * time.Second):
		t.Fatalf("got no message, want %q from %s", want, from)
	}
}

func TestBus(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetPeers([]baobabstep.VM{vm("b", b)})
	subscriber := peer.NewSubscriber(b)
	defer subscriber.Close()
	messages, err := subscriber.Subscribe(context.Background(), baobabstep.TopicConfig)
	qt.Assert(t, err, qt.IsNil)

	m := message.NewMessage("", []byte("version 7"))
	m.Metadata.Set(peer.MetadataTo, peer.FormatVMID(baobabstep.MakeVMID("b")))
	qt.Assert(t, peer.NewPublisher(a).Publish(baobabstep.TopicConfig, m), qt.IsNil)
	got := <-messages
	got.Ack()
	qt.Assert(t, string(got.Payload), qt.Equals, "version 7")
	qt.Assert(t, got.Metadata.Get(peer.MetadataFrom), qt.Equals, peer.FormatVMID(baobabstep.MakeVMID("a")))
}

// Keys are replaced one VM at a time. While one VM seals with the new key and
// another with the old one, both must accept each other.
func TestKeyRotation(t *testing.T) {
	tests := []struct {
		name string
		a, b [][]byte
	}{
		{"same key", [][]byte{keyOld}, [][]byte{keyOld}},
		{"new key known", [][]byte{keyOld}, [][]byte{keyOld, keyNew}},
		{"new key first", [][]byte{keyOld, keyNew}, [][]byte{keyNew, keyOld}},
		{"old key dropped", [][]byte{keyNew, keyOld}, [][]byte{keyNew}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := start(t, "a", func(o *peer.Options) { o.Keys = test.a })
			b := start(t, "b", func(o *peer.Options) { o.Keys = test.b })
			qt.Assert(t, a.SendAddress(b.Address(), text("hello")), qt.IsNil)
			receive(t, b, "a", "hello")
			qt.Assert(t, b.Send(baobabstep.MakeVMID("a"), text("hello back")), qt.IsNil)
			receive(t, a, "b", "hello back")
		})
	}
}
