// Package compactor stores addresses in less memory, for table entries of which a balancer holds thousands.
package compactor

import "net/netip"

// Address is a netip.AddrPort without the IPv6 zone. It takes 18 bytes instead of 32.
type Address struct {
	IP   [16]byte // IPv4 as an IPv4-mapped IPv6 address
	Port uint16
}

// Pack returns the compact form of a.
func Pack(a netip.AddrPort) Address { return Address{IP: a.Addr().As16(), Port: a.Port()} }

// Unpack returns a as a netip.AddrPort. An IPv4-mapped IPv6 address is returned as IPv4.
func (a Address) Unpack() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(a.IP).Unmap(), a.Port)
}
