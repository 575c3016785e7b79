package main

import (
	"fmt"
	"net/netip"
	"strings"
)

// placeCount is the number of availability zones, three in each of three regions.
const placeCount = 9

// settingsContent returns a settings document with the given numbers of services and backend servers. The backend server with
// the index leavingServer is in state leaving, as when it is drained; -1 means none.
func settingsContent(services, servers, leavingServer int) []byte {
	var b strings.Builder
	writeRoot(&b, services)
	for p := range placeCount {
		writePlace(&b, services, servers, p, leavingServer)
	}
	writeKeys(&b)
	return []byte(b.String())
}

// rootContent returns the root document of the same settings when each place has a document of its own.
func rootContent(services int) []byte {
	var b strings.Builder
	b.WriteString("place-documents = [")
	for p := range placeCount {
		fmt.Fprintf(&b, "%q, ", fmt.Sprint("place-", p))
	}
	b.WriteString("]\n")
	writeRoot(&b, services)
	writeKeys(&b)
	return []byte(b.String())
}

// placeContent returns the document of a place of the same settings.
func placeContent(services, servers, place, leavingServer int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[places.place-%d]\n", place)
	writePlace(&b, services, servers, place, leavingServer)
	return []byte(b.String())
}

// writeKeys writes the keys for tokens.
func writeKeys(b *strings.Builder) {
	fmt.Fprintf(b, "[[token-keys]]\nid = 1\nsecret = \"%s\"\n", strings.Repeat("5a", 32))
}

// writeRoot writes the defaults, the services and the regions.
func writeRoot(b *strings.Builder, services int) {
	b.WriteString("seal-with = 1\n[defaults]\nslots = 2\nconnections = 2000\n")
	for i := range services {
		fmt.Fprintf(b, "[services.service-%05d]\naddress = \"%s\"\n", i, ipPort(50, i, 7000))
	}
	for r := range placeCount / 3 {
		fmt.Fprintf(b, "[regions.region-%d]\nplaces = [\"place-%d\", \"place-%d\", \"place-%d\"]\n", r, 3*r, 3*r+1, 3*r+2)
	}
}

// writePlace writes the groups of a place. Backend servers are distributed evenly over places and services.
func writePlace(b *strings.Builder, services, servers, place, leavingServer int) {
	serversByService := make(map[int][]int)
	for i := place; i < servers; i += placeCount {
		serversByService[i%services] = append(serversByService[i%services], i)
	}
	for s := range services {
		if list := serversByService[s]; len(list) > 0 {
			writeGroup(b, s, place, list, leavingServer)
		}
	}
}

// writeGroup writes the group of a service in a place, with the backend servers that have the given indexes.
func writeGroup(b *strings.Builder, service, place int, servers []int, leavingServer int) {
	fmt.Fprintf(b, "[places.place-%d.services.service-%05d.groups.blue]\nbackend-servers = [\n", place, service)
	for _, i := range servers {
		state := "live"
		if i == leavingServer {
			state = "leaving"
		}
		fmt.Fprintf(b, "  { name = \"server-%05d\", address = \"%s\", health = \"%s\", state = \"%s\" },\n",
			i, ipPort(10, i, 7000), ipPort(10, i, 7001), state)
	}
	b.WriteString("]\n")
}

// vmsContent returns a VM list with the given numbers of balancers and backend servers.
func vmsContent(balancers, servers int) []byte {
	var b strings.Builder
	b.WriteString(`{"vms":[`)
	for i := range balancers + servers {
		vm, role := ipPort(20, i, 7100), "balancer"
		if i >= balancers {
			vm, role = ipPort(10, i-balancers, 7000), "backend-server"
		}
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"address":"%s","availability-zone":"place-%d","role":"%s","state":"live"}`, vm, i%placeCount, role)
	}
	b.WriteString("]}")
	return []byte(b.String())
}

// ipPort returns address i of the IPv4 network whose first byte is net.
func ipPort(net, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(net), byte(i >> 16), byte(i >> 8), byte(i)}), port)
}
