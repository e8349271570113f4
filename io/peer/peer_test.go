package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"baobabstep"
	"baobabstep/io/peer"
	"baobabstep/io/peer/peertest"
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
	m := peertest.Receive(t, p)
	qt.Assert(t, string(m.Body), qt.Equals, want)
	qt.Assert(t, m.From, qt.Equals, baobabstep.MakeVMID(from))
}

// until waits for a condition that other goroutines bring about.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

func TestContract(t *testing.T) {
	peertest.Test(t, func(t *testing.T, name string, before baobabstep.VM) peertest.Peer {
		p := start(t, name, func(o *peer.Options) {
			if before.PeerAddress.IsValid() {
				o.Listen = before.PeerAddress
			}
		})
		return peertest.Peer{Peers: p, VM: vm(name, p)}
	})
}

func TestBus(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetPeers([]baobabstep.VM{vm("b", b)})
	subscriber := peer.NewSubscriber(b)
	defer subscriber.Close()
	ctx, cancel := context.WithCancel(context.Background())
	messages, err := subscriber.Subscribe(ctx, baobabstep.TopicConfig)
	qt.Assert(t, err, qt.IsNil)
	publisher := peer.NewPublisher(a)

	for i, ack := range []bool{true, false, true} {
		m := message.NewMessage("", []byte(fmt.Sprint("version ", i)))
		m.Metadata.Set(peer.MetadataTo, peer.FormatVMID(baobabstep.MakeVMID("b")))
		qt.Assert(t, publisher.Publish(baobabstep.TopicConfig, m), qt.IsNil)
		qt.Assert(t, publisher.Publish(baobabstep.TopicAudit, m), qt.IsNil) // nobody subscribed
		got := <-messages
		qt.Assert(t, string(got.Payload), qt.Equals, fmt.Sprint("version ", i))
		qt.Assert(t, got.Metadata.Get(peer.MetadataFrom), qt.Equals, peer.FormatVMID(baobabstep.MakeVMID("a")))
		if ack {
			got.Ack()
		} else {
			got.Nack() // not delivered again
		}
	}
	until(t, "messages without a subscriber are counted", func() bool { return subscriber.Stats().Dropped == 3 })
	qt.Assert(t, subscriber.Stats().Rejected, qt.Equals, uint64(1))
	err = publisher.Publish(baobabstep.TopicConfig, message.NewMessage("", nil))
	qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeInvalid)

	cancel()
	_, open := <-messages
	qt.Assert(t, open, qt.IsFalse)
	qt.Assert(t, b.Close(), qt.IsNil)
	<-subscriber.Done() // ends with the peers
	_, err = subscriber.Subscribe(context.Background(), baobabstep.TopicConfig)
	qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeStopping)
}

// Keys are replaced one VM at a time. While one VM seals with the new key and
// another with the old one, both must accept each other. A VM without a common
// key must not get a message in, nor one out of its peer.
func TestKeys(t *testing.T) {
	tests := []struct {
		name string
		a, b [][]byte
		fits bool
	}{
		{"same key", [][]byte{keyOld}, [][]byte{keyOld}, true},
		{"new key known", [][]byte{keyOld}, [][]byte{keyOld, keyNew}, true},
		{"new key first", [][]byte{keyOld, keyNew}, [][]byte{keyNew, keyOld}, true},
		{"old key dropped", [][]byte{keyNew, keyOld}, [][]byte{keyNew}, true},
		{"other key", [][]byte{keyNew}, [][]byte{keyOld}, false},
		{"only one side knows both", [][]byte{keyOld}, [][]byte{keyNew, keyOld}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := start(t, "a", func(o *peer.Options) { o.Keys = test.a })
			b := start(t, "b", func(o *peer.Options) { o.Keys = test.b })
			qt.Assert(t, a.SendAddress(b.Address(), text("hello")), qt.IsNil)
			if !test.fits {
				until(t, "both sides reject", func() bool {
					return a.Stats().Rejected > 0 && a.Stats().Refused > 0 && b.Stats().Rejected > 0
				})
				qt.Assert(t, b.Stats().Received, qt.Equals, uint64(0))
				qt.Assert(t, a.Stats().Sent, qt.Equals, uint64(0))
				return
			}
			receive(t, b, "a", "hello")
			qt.Assert(t, b.Send(baobabstep.MakeVMID("a"), text("hello back")), qt.IsNil)
			receive(t, a, "b", "hello back")
		})
	}
}

func TestKeysAreReplacedWhileRunning(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	b.SetKeys([][]byte{keyNew})
	qt.Assert(t, a.SendAddress(b.Address(), text("hello")), qt.IsNil)
	until(t, "rejected", func() bool { return a.Stats().Rejected > 0 })
	a.SetKeys([][]byte{keyNew})
	receive(t, b, "a", "hello")
}

func TestSettings(t *testing.T) {
	for name, keys := range map[string][][]byte{"no key": nil, "short key": {keyOld, []byte("short")}} {
		t.Run(name, func(t *testing.T) {
			_, err := peer.New(peer.Options{Listen: loopback, Keys: keys})
			qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeSettings)
		})
	}
}

func TestBadMessages(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetPeers([]baobabstep.VM{vm("b", b)})
	id := baobabstep.MakeVMID("b")
	large := baobabstep.PeerMessage{Topic: "x", Body: make([]byte, peer.DefaultMaxMessage+1)}
	qt.Assert(t, baobabstep.CodeOf(a.Send(id, large)), qt.Equals, baobabstep.CodeTooLarge)
	qt.Assert(t, baobabstep.CodeOf(a.Send(id, baobabstep.PeerMessage{})), qt.Equals, baobabstep.CodeInvalid)
	large.Body = large.Body[1:]
	qt.Assert(t, a.Send(id, large), qt.IsNil)
	qt.Assert(t, peertest.Receive(t, b).Body, qt.HasLen, peer.DefaultMaxMessage)
}

// A VM is down. What is sent to it waits in a bounded queue and is dropped when
// it has become old: when the VM returns it must not act on news of minutes ago.
func TestQueueIsBoundedAndMessagesExpire(t *testing.T) {
	a := start(t, "a", func(o *peer.Options) { o.QueueLimit, o.MessageTTL = 10, 30*time.Millisecond })
	b := start(t, "b", nil)
	down := vm("b", b)
	qt.Assert(t, b.Close(), qt.IsNil)
	a.SetPeers([]baobabstep.VM{down})
	for range 15 {
		qt.Assert(t, a.Send(down.ID, text("old news")), qt.IsNil)
	}
	s := a.Stats()
	qt.Assert(t, s.DroppedOut+s.Expired >= 5, qt.IsTrue)
	until(t, "the rest expires", func() bool { s := a.Stats(); return s.DroppedOut+s.Expired == 15 })
	qt.Assert(t, a.Stats().DialFailures > 0, qt.IsTrue)
}

// Two VMs start to talk to each other in the same moment. Both dial, and both
// have to keep the same of the two connections: each closing the other's would
// leave them without one, again and again.
func TestBothDialAtOnce(t *testing.T) {
	for round := range 20 {
		a, b := start(t, "a", nil), start(t, "b", nil)
		a.SetPeers([]baobabstep.VM{vm("b", b)})
		b.SetPeers([]baobabstep.VM{vm("a", a)})
		until(t, "both receive", func() bool {
			_ = a.Send(baobabstep.MakeVMID("b"), text("from a"))
			_ = b.Send(baobabstep.MakeVMID("a"), text("from b"))
			return a.Stats().Received > 0 && b.Stats().Received > 0
		})
		until(t, "one connection", func() bool { return a.Stats().Connections == 1 && b.Stats().Connections == 1 })
		for range 3 {
			received := b.Stats().Received
			qt.Assert(t, a.Send(baobabstep.MakeVMID("b"), text("more")), qt.IsNil)
			until(t, "it carries more", func() bool { return b.Stats().Received > received })
		}
		dials := a.Stats().Dials + b.Stats().Dials
		qt.Assert(t, dials <= 3, qt.IsTrue, qt.Commentf("round %d: %d dials", round, dials))
		qt.Assert(t, a.Close(), qt.IsNil)
		qt.Assert(t, b.Close(), qt.IsNil)
	}
}

// A large fleet must not end in a full mesh.
func TestIdleConnectionsAreClosed(t *testing.T) {
	a := start(t, "a", func(o *peer.Options) { o.IdleTimeout = 40 * time.Millisecond })
	b := start(t, "b", nil)
	a.SetPeers([]baobabstep.VM{vm("b", b)})
	for range 3 {
		qt.Assert(t, a.Send(baobabstep.MakeVMID("b"), text("hello")), qt.IsNil)
		receive(t, b, "a", "hello")
		until(t, "both sides close", func() bool { return a.Stats().Connections+b.Stats().Connections == 0 })
	}
	qt.Assert(t, a.Stats().Dials, qt.Equals, uint64(3))
	qt.Assert(t, len(a.Lost())+len(b.Lost()), qt.Equals, 0)
}

// A process dies. Its peers lose their connections at once and can ask why,
// long before its silence is noticed.
func TestLostConnectionIsReported(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	qt.Assert(t, a.SendAddress(b.Address(), text("hello")), qt.IsNil)
	receive(t, b, "a", "hello")
	qt.Assert(t, b.Close(), qt.IsNil)
	qt.Assert(t, <-a.Lost(), qt.Equals, baobabstep.MakeVMID("b"))
}

// Strangers hold connections open and say nothing, or nonsense. They must not
// keep the fleet's VMs out, nor Close from returning.
func TestStrangers(t *testing.T) {
	b := start(t, "b", func(o *peer.Options) { o.HandshakeTimeout = 200 * time.Millisecond })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for i := range 20 {
		ws, response, err := websocket.Dial(ctx, "ws://"+b.Address().String()+"/peer", nil)
		qt.Assert(t, err, qt.IsNil)
		if response.Body != nil {
			defer response.Body.Close()
		}
		defer func() { _ = ws.CloseNow() }()
		if i%2 == 0 {
			qt.Assert(t, ws.Write(ctx, websocket.MessageBinary, []byte("nonsense")), qt.IsNil)
		}
	}
	a := start(t, "a", nil)
	qt.Assert(t, a.SendAddress(b.Address(), text("hello")), qt.IsNil)
	receive(t, b, "a", "hello")
	until(t, "strangers are turned away", func() bool { return b.Stats().Rejected == 20 })
}

// A host accepts connections and never answers. Dialling it must come to an
// end, and the connection has to come from the VM's own address.
func TestSilentHost(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	a := start(t, "a", func(o *peer.Options) {
		o.HandshakeTimeout = 50 * time.Millisecond
		o.LocalIP = netip.MustParseAddr("127.0.0.77")
	})
	address := netip.MustParseAddrPort(listener.Addr().String())
	qt.Assert(t, a.SendAddress(address, text("hello")), qt.IsNil)
	c, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	qt.Assert(t, c.RemoteAddr().(*net.TCPAddr).IP.String(), qt.Equals, "127.0.0.77")
	until(t, "the dial fails", func() bool { return a.Stats().DialFailures > 0 })
}

// The address of a VM is known first, its name later. Both ways lead to the
// same connection.
func TestSeedBecomesPeer(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	qt.Assert(t, a.SendAddress(b.Address(), text("1")), qt.IsNil)
	receive(t, b, "a", "1")
	a.SetPeers([]baobabstep.VM{vm("b", b)})
	qt.Assert(t, a.Send(baobabstep.MakeVMID("b"), text("2")), qt.IsNil)
	receive(t, b, "a", "2")
	qt.Assert(t, a.SendAddress(b.Address(), text("3")), qt.IsNil)
	receive(t, b, "a", "3")
	qt.Assert(t, a.Stats().Dials, qt.Equals, uint64(1))
}
