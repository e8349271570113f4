package rig

import (
	"fmt"
	"net/netip"
	"time"
)

// TjffoDraw returns the layout and the bounds of the small installation tjffo-draw.
func TjffoDraw() *Site {
	return &Site{
		Region: "tas-south", Zones: []Zone{{"hobart-a", 2}, {"kingston-b", 3}, {"glenorchy-c", 1}},
		Bounds: map[string]any{"configApplyMs": 3000, "drainMs": 3000, "flowMaxS": 60, "graceS": 6}, Grace: 6 * time.Second,
	}
}

// TjffoDrawNow returns the zones of tjffo-draw with the bounds of tjffo-draw-now-grown.
func TjffoDrawNow() *Site {
	site := TjffoDraw()
	site.Bounds = map[string]any{
		"configApplyMs": 5000, "evacuateMs": 5000, "warmupOvershoot": 1.5, "warmupSlack": 5, "drainMs": 5000, "flowMaxS": 60, "graceS": 6,
	}
	return site
}

// Heartbeat is the interval of the hosts' reports.
const Heartbeat = 1200 * time.Millisecond

// Route is a route of a configuration.
type Route struct {
	Name          string
	Address       netip.AddrPort
	Kind, Service string
}

// PutConfig writes a version of the configuration and returns when it was acknowledged.
func (f *Fleet) PutConfig(version int, routes []Route, services []map[string]any) time.Time {
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Name, "hostname": r.Address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.Address.Port()), "type": r.Kind, "timeoutMs": 2000,
			"targetLatencyMs": 200, "priority": 1, "service": r.Service, "maxAttempts": 2,
		})
	}
	at := f.Store.Put("op/config", map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	f.Record.Logf("configuration %d with %d routes acknowledged", version, len(routes))
	return at
}

// Service returns the entry of a service in a configuration.
func Service(name string, slowStartS, rampPerS float64) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": false,
		"slowStartS": slowStartS, "rampPerS": rampPerS,
	}
}

// WaitReady waits until all VMs are in rotation, and reports whether they are.
func (f *Fleet) WaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.Fabric.InRotation() == len(f.VMs) {
			f.Record.Logf("all %d VMs in rotation", len(f.VMs))
			return true
		}
	}
	return false
}
