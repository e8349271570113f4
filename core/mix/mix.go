// Package mix implements a bit mixer, the finalizer of a hash function. Similar inputs
// give unrelated outputs. VMs compare outputs with each other, so the function must not
// change between versions.
package mix

// Uint64 returns x with its bits mixed. It is a bijection.
func Uint64(x uint64) uint64 {
	const odd = 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= odd
	x ^= x >> 32
	x *= odd
	return x ^ x>>32
}
