package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// udpTable is where the kernel lists UDP sockets, one a line: the local address
// in hex is the second field, the drops are the last.
const udpTable = "/proc/net/udp"

// udpDrops returns the sockets of a run's net that dropped datagrams.
func udpDrops(net int) (map[string]int, error) {
	raw, err := os.ReadFile(udpTable)
	if err != nil {
		return nil, err
	}
	drops := make(map[string]int)
	for _, line := range strings.Split(string(raw), "\n")[1:] {
		fields := strings.Fields(line)
		if len(fields) < 3 {
			continue
		}
		dropped, err := strconv.Atoi(fields[len(fields)-1])
		if err != nil || dropped == 0 {
			continue
		}
		if address, ok := parseLocal(fields[1], net); ok {
			drops[address] += dropped
		}
	}
	return drops, nil
}

// parseLocal reads an address such as 0100007F:1BBC, whose IP is in the byte
// order of the machine, and tells whether it is in 127.net.0.0/16.
func parseLocal(text string, net int) (string, bool) {
	var ip, port uint32
	if _, err := fmt.Sscanf(text, "%08X:%04X", &ip, &port); err != nil {
		return "", false
	}
	if ip&0xff != 127 || ip>>8&0xff != uint32(net) {
		return "", false
	}
	return fmt.Sprintf("127.%d.%d.%d:%d", net, ip>>16&0xff, ip>>24, port), true
}
