package discovery

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// maxAddressBytes is the length of the longest IPv6 address with brackets and a port.
const maxAddressBytes = len("[ffff:ffff:ffff:ffff:ffff:ffff:255.255.255.255]:65535")

// ParseAddress parses the IP and port at which another machine is reachable. It rejects
// addresses that only have a meaning on one machine or name several.
func ParseAddress(text string) (netip.AddrPort, error) {
	if len(text) > maxAddressBytes {
		return netip.AddrPort{}, errors.Newf("address of %d bytes", len(text))
	}
	address, err := netip.ParseAddrPort(text)
	switch ip := address.Addr(); {
	case err != nil:
		return netip.AddrPort{}, err
	case address.Port() == 0, ip.IsUnspecified(), ip.IsMulticast(), ip.Zone() != "", ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return netip.AddrPort{}, errors.Newf("address %s cannot be reached from another machine", address)
	}
	return address, nil
}
