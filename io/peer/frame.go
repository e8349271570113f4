package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// macSize is the length of a seal in bytes: HMAC-SHA256 cut to 128 bits.
const macSize = 16

// frameOverhead bounds what a frame adds to the topic and body.
const frameOverhead = 64

// frame is one sealed message on a connection.
type frame struct {
	_ struct{} `cbor:",toarray"`
	// Seq counts the frames of one direction of the connection from 1.
	Seq   uint64
	Topic string
	Body  []byte
	MAC   []byte
}

// decoding is strict and bounded: input is read before it is authenticated.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  4,
		MaxArrayElements: 16,
		MaxMapPairs:      16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// seal holds the key and the last number of one direction of a connection.
type seal struct {
	mac hash.Hash
	seq uint64
}

func newSeal(key []byte) *seal { return &seal{mac: hmac.New(sha256.New, key)} }

func (s *seal) sum(seq uint64, topic string, body []byte) []byte {
	var head [10]byte
	binary.BigEndian.PutUint64(head[:8], seq)
	binary.BigEndian.PutUint16(head[8:], uint16(len(topic)))
	s.mac.Reset()
	s.mac.Write(head[:])
	s.mac.Write([]byte(topic))
	s.mac.Write(body)
	return s.mac.Sum(nil)[:macSize]
}

// encode returns the next frame.
func (s *seal) encode(m baobabstep.PeerMessage) ([]byte, error) {
	s.seq++
	return cbor.Marshal(frame{Seq: s.seq, Topic: m.Topic, Body: m.Body, MAC: s.sum(s.seq, m.Topic, m.Body)})
}

// decode checks and opens the next frame. A frame that was recorded and sent
// again, left out or moved has a number that does not follow the last one;
// the connection has to be closed then, since nothing after it can be trusted.
func (s *seal) decode(data []byte) (baobabstep.PeerMessage, error) {
	var f frame
	if err := decoding.Unmarshal(data, &f); err != nil {
		return baobabstep.PeerMessage{}, baobabstep.Errorf(baobabstep.CodeMalformed, "peer.decode", "frame: %w", err)
	}
	if len(f.Topic) == 0 || len(f.Topic) > maxTopic {
		return baobabstep.PeerMessage{}, baobabstep.Errorf(baobabstep.CodeMalformed, "peer.decode",
			"got a topic of %d bytes, want 1 to %d", len(f.Topic), maxTopic)
	}
	if !hmac.Equal(f.MAC, s.sum(f.Seq, f.Topic, f.Body)) {
		return baobabstep.PeerMessage{}, baobabstep.Errorf(baobabstep.CodeUnauthenticated, "peer.decode", "wrong seal")
	}
	if f.Seq != s.seq+1 {
		return baobabstep.PeerMessage{}, baobabstep.Errorf(baobabstep.CodeUnauthenticated, "peer.decode",
			"got frame %d, want %d", f.Seq, s.seq+1)
	}
	s.seq = f.Seq
	return baobabstep.PeerMessage{Topic: f.Topic, Body: f.Body}, nil
}
