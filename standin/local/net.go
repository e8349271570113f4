package local

import (
	"net"
	"net/netip"
	"syscall"

	"github.com/cockroachdb/errors"
)

// FreeNet takes the first of several nets, second parts of IPs in 127.0.0.0/8,
// in which the address at is free: who listens there has the net to itself. It
// begins with the net that from points to, and goes round.
func FreeNet(first, count, from int, at netip.AddrPort) (taken int, holder net.Listener, err error) {
	for n := range count {
		taken = first + (from+n)%count
		holder, err = listenIn(taken, at)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return taken, holder, err
		}
	}
	return 0, nil, errors.Wrapf(err, "got no free net 127.%d.0.0/16 to 127.%d.0.0/16, want one", first, first+count-1)
}

// listenIn listens at an address moved to a net.
func listenIn(in int, at netip.AddrPort) (net.Listener, error) {
	ip := at.Addr().As4()
	ip[1] = byte(in)
	return net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4(ip), at.Port()).String())
}
