package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

const (
	protocolVersion = 1
	nonceSize       = 16
	// minKey is the least length of a key in bytes.
	minKey = 16
	// maxHandshake bounds a handshake message in bytes.
	maxHandshake = 256
)

// Labels keep the uses of a key apart, so that no proof can be sent back as
// another one.
const (
	labelAccept  = "baobabstep accept"
	labelDial    = "baobabstep dial"
	labelSession = "baobabstep session"
)

// The handshake has three messages: hello from the VM that dials, challenge
// from the one that accepts, proof from the one that dials. Each proof covers
// both names and both nonces, so it is worth nothing on another connection.
type hello struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	From    baobabstep.VMID
	Nonce   []byte
}

type challenge struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	From    baobabstep.VMID
	Nonce   []byte
	MAC     []byte
}

type proof struct {
	_   struct{} `cbor:",toarray"`
	MAC []byte
}

// exchange is what both ends know of one handshake.
type exchange struct {
	dialler, acceptor           baobabstep.VMID
	diallerNonce, acceptorNonce []byte
}

func (x *exchange) mac(key []byte, label string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(label))
	var ids [17]byte
	ids[0] = protocolVersion
	binary.BigEndian.PutUint64(ids[1:], uint64(x.dialler))
	binary.BigEndian.PutUint64(ids[9:], uint64(x.acceptor))
	h.Write(ids[:])
	h.Write(x.diallerNonce)
	h.Write(x.acceptorNonce)
	return h.Sum(nil)
}

// verify returns the key that made mac.
func (x *exchange) verify(keys [][]byte, label string, mac []byte) ([]byte, error) {
	for _, key := range keys {
		if hmac.Equal(mac, x.mac(key, label)) {
			return key, nil
		}
	}
	return nil, baobabstep.Errorf(baobabstep.CodeUnauthenticated, "peer.handshake", "proof fits none of %d keys", len(keys))
}

// session returns the key for what the VM from sends on this connection.
func (x *exchange) session(key []byte, from baobabstep.VMID) []byte {
	var id [8]byte
	binary.BigEndian.PutUint64(id[:], uint64(from))
	return x.mac(key, labelSession+string(id[:]))
}

// dialHandshake runs the handshake of the dialling side. want is the expected
// VM, or 0 if any will do.
func (p *Peers) dialHandshake(ctx context.Context, ws *websocket.Conn, want baobabstep.VMID) (*conn, error) {
	keys := p.currentKeys()
	x := exchange{dialler: p.o.Self.ID, diallerNonce: newNonce()}
	if err := write(ctx, ws, hello{Version: protocolVersion, From: x.dialler, Nonce: x.diallerNonce}); err != nil {
		return nil, err
	}
	var c challenge
	if err := read(ctx, ws, &c); err != nil {
		return nil, err
	}
	if err := checkHello(c.Version, c.Nonce); err != nil {
		return nil, err
	}
	if want != 0 && c.From != want || c.From == p.o.Self.ID {
		return nil, baobabstep.Errorf(baobabstep.CodeUnauthenticated, "peer.handshake",
			"got VM %x, want %x", uint64(c.From), uint64(want))
	}
	x.acceptor, x.acceptorNonce = c.From, c.Nonce
	theirs, err := x.verify(keys, labelAccept, c.MAC)
	if err != nil {
		return nil, err
	}
	if err := write(ctx, ws, proof{MAC: x.mac(keys[0], labelDial)}); err != nil {
		return nil, err
	}
	return &conn{
		ws: ws, remote: c.From, dialler: x.dialler,
		out: newSeal(x.session(keys[0], x.dialler)),
		in:  newSeal(x.session(theirs, x.acceptor)),
	}, nil
}

// acceptHandshake runs the handshake of the accepting side.
func (p *Peers) acceptHandshake(ctx context.Context, ws *websocket.Conn) (*conn, error) {
	keys := p.currentKeys()
	var h hello
	if err := read(ctx, ws, &h); err != nil {
		return nil, err
	}
	if err := checkHello(h.Version, h.Nonce); err != nil {
		return nil, err
	}
	if h.From == p.o.Self.ID {
		return nil, baobabstep.Errorf(baobabstep.CodeUnauthenticated, "peer.handshake", "got a connection with the own ID")
	}
	x := exchange{dialler: h.From, acceptor: p.o.Self.ID, diallerNonce: h.Nonce, acceptorNonce: newNonce()}
	c := challenge{Version: protocolVersion, From: x.acceptor, Nonce: x.acceptorNonce, MAC: x.mac(keys[0], labelAccept)}
	if err := write(ctx, ws, c); err != nil {
		return nil, err
	}
	var answer proof
	if err := read(ctx, ws, &answer); err != nil {
		return nil, err
	}
	theirs, err := x.verify(keys, labelDial, answer.MAC)
	if err != nil {
		return nil, err
	}
	return &conn{
		ws: ws, remote: h.From, dialler: h.From,
		out: newSeal(x.session(keys[0], x.acceptor)),
		in:  newSeal(x.session(theirs, x.dialler)),
	}, nil
}

func checkHello(version uint8, nonce []byte) error {
	if version != protocolVersion {
		return baobabstep.Errorf(baobabstep.CodeForeignVersion, "peer.handshake",
			"got protocol version %d, want %d", version, protocolVersion)
	}
	if len(nonce) != nonceSize {
		return baobabstep.Errorf(baobabstep.CodeMalformed, "peer.handshake",
			"got a nonce of %d bytes, want %d", len(nonce), nonceSize)
	}
	return nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // never fails
	return nonce
}

func write(ctx context.Context, ws *websocket.Conn, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return baobabstep.Errorf(baobabstep.CodeInternal, "peer.handshake", "encode: %w", err)
	}
	if err := ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return baobabstep.Errorf(baobabstep.CodePeerUnreachable, "peer.handshake", "write: %w", err)
	}
	return nil
}

func read(ctx context.Context, ws *websocket.Conn, message any) error {
	ws.SetReadLimit(maxHandshake)
	_, data, err := ws.Read(ctx)
	if err != nil {
		return baobabstep.Errorf(baobabstep.CodePeerUnreachable, "peer.handshake", "read: %w", err)
	}
	if err := decoding.Unmarshal(data, message); err != nil {
		return baobabstep.Errorf(baobabstep.CodeMalformed, "peer.handshake", "decode: %w", err)
	}
	return nil
}
