package config

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPieceChecked guards against adopting wrong bytes that a peer sends for a
// digest, whole or in pieces. They must not be stored under that digest, and the
// right bytes must be accepted afterwards.
func TestPieceChecked(t *testing.T) {
	right, wrong := []byte("0123456789"), []byte("0123456780")
	d := MakeDigest(right)
	for name, send := range map[string]func(r *Replica, data []byte){
		"in pieces": func(r *Replica, data []byte) {
			r.storePiece(piece{Digest: d, Length: 5, Total: 10}, data[:5])
			r.storePiece(piece{Digest: d, Offset: 5, Length: 5, Total: 10}, data[5:])
		},
		"whole": func(r *Replica, data []byte) { r.storePiece(piece{Length: 10}, data) },
		"pieces doubled": func(r *Replica, data []byte) {
			r.storePiece(piece{Digest: d, Length: 5, Total: 10}, data[:5])
			r.storePiece(piece{Digest: d, Length: 5, Total: 10}, data[:5])
			r.storePiece(piece{Digest: d, Offset: 5, Length: 5, Total: 10}, data[5:])
			r.storePiece(piece{Digest: d, Offset: 5, Length: 5, Total: 10}, data[5:])
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReplica(time.Unix(0, 0), ReplicaOptions{})
			send(r, wrong)
			_, ok := r.Object(d)
			qt.Assert(t, ok, qt.IsFalse)
			send(r, right)
			got, _ := r.Object(d)
			qt.Assert(t, string(got), qt.Equals, string(right))
		})
	}
}
