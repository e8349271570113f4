// Package mix spreads the bits of numbers, so that numbers that differ little give
// values that have nothing in common. VMs compare such values with one another, so a
// number gives the same value in every program.
package mix

// Bits returns x with its bits spread. Different numbers give different values.
func Bits(x uint64) uint64 {
	const odd = 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= odd
	x ^= x >> 32
	x *= odd
	return x ^ x>>32
}
