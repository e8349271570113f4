package setting

import (
	"cmp"
	"net/netip"
	"time"

	"baobabstep/core/token"
)

// TokenSettings are what a VM needs for PolicyToken. The bounds are promises of
// the platform and to its users.
type TokenSettings struct {
	// ReadyAddress answers the fabric's readiness check over HTTP.
	ReadyAddress netip.AddrPort `json:"ready_address,omitzero"`
	// DataCentres lists the data centres of the fleet by name.
	DataCentres []string `json:"data_centres,omitempty"`
	// ConfigApplyMS is how soon a routing table has to be in force after the
	// store accepted it.
	ConfigApplyMS int `json:"config_apply_ms,omitempty"`
	// EvacuateMS is how soon the evacuation of a data centre has to be in force
	// after the store accepted it; as ConfigApplyMS if it is not said.
	EvacuateMS int `json:"evacuate_ms,omitempty"`
	// ColdOvershoot and ColdSlack bound the new flows that a cold target gets in
	// any second, from all VMs together: its limit times ColdOvershoot, and
	// ColdSlack.
	ColdOvershoot float64 `json:"cold_overshoot,omitempty"`
	ColdSlack     float64 `json:"cold_slack,omitempty"`
	// DrainMS is how soon a target that drains may get no new flow, and how
	// long it serves at least.
	DrainMS int `json:"drain_ms,omitempty"`
	// TargetReportMS is the interval in which targets report to the store.
	TargetReportMS int `json:"target_report_ms,omitempty"`
	// FlowMaxS is the age past which a flow may be forgotten.
	FlowMaxS float64 `json:"flow_max_s,omitempty"`
	// StopGraceS is the time between the signal to stop and the kill.
	StopGraceS float64 `json:"stop_grace_s,omitempty"`
	// LinkMbps is the bandwidth of the VM's link in each direction, in Mbit/s; 0 if
	// it is unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Without names the mechanisms of package token that are switched off.
	Without []string `json:"without,omitempty"`
}

// Defaults of TokenSettings.
const (
	defaultConfigApply = 3 * time.Second
	defaultDrain       = 3 * time.Second
	// defaultTargetReport is short, so that an outage counts rather than not.
	defaultTargetReport = time.Second
	// lapseReports is the number of missed reports by which a registration lapses.
	lapseReports     = 3
	defaultFlowMax   = 60 * time.Second
	defaultStopGrace = 6 * time.Second
	// defaultColdOvershoot leaves no room above the limit of a cold target.
	defaultColdOvershoot = 1.0
	// maxColdOvershoot and maxColdSlack are the largest that may be set.
	maxColdOvershoot = 100.0
	maxColdSlack     = 1e6
	// defaultLinkMbps is low, so that a VM without this setting does not overload its
	// link; maxLinkMbps is the largest that may be set.
	defaultLinkMbps = 10.0
	maxLinkMbps     = 1e6
	bytesPerMegabit = 1e6 / 8
	// maxBound is the largest time that any of TokenSettings may say.
	maxBound = time.Hour
)

// ConfigApply returns ConfigApplyMS as a duration.
func (t *TokenSettings) ConfigApply() time.Duration {
	return time.Duration(t.ConfigApplyMS) * time.Millisecond
}

// LinkBytesPerSecond returns LinkMbps in bytes a second, or that of a slow link if it
// is unknown.
func (t *TokenSettings) LinkBytesPerSecond() float64 {
	return cmp.Or(t.LinkMbps, defaultLinkMbps) * bytesPerMegabit
}

// KnownLinkBytesPerSecond returns LinkMbps in bytes a second, 0 if it is unknown.
func (t *TokenSettings) KnownLinkBytesPerSecond() float64 { return t.LinkMbps * bytesPerMegabit }

// Evacuate returns EvacuateMS as a duration.
func (t *TokenSettings) Evacuate() time.Duration {
	return time.Duration(cmp.Or(t.EvacuateMS, t.ConfigApplyMS)) * time.Millisecond
}

// DesiredApply returns how soon anything that the operators want has to be in force.
func (t *TokenSettings) DesiredApply() time.Duration { return min(t.ConfigApply(), t.Evacuate()) }

// Drain returns DrainMS as a duration.
func (t *TokenSettings) Drain() time.Duration { return time.Duration(t.DrainMS) * time.Millisecond }

// LapseOutage returns the shortest outage of the store in which the registration of a live target can
// lapse. The target may have reported last one interval before the outage began.
func (t *TokenSettings) LapseOutage() time.Duration {
	return (lapseReports - 1) * t.TargetReport()
}

// TargetReport returns TargetReportMS as a duration.
func (t *TokenSettings) TargetReport() time.Duration {
	return cmp.Or(time.Duration(t.TargetReportMS)*time.Millisecond, defaultTargetReport)
}

// FlowMax returns FlowMaxS as a duration.
func (t *TokenSettings) FlowMax() time.Duration { return seconds(t.FlowMaxS) }

// StopGrace returns StopGraceS as a duration.
func (t *TokenSettings) StopGrace() time.Duration { return seconds(t.StopGraceS) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// fill replaces what is missing by the defaults.
func (t *TokenSettings) fill() {
	if t.ConfigApplyMS == 0 {
		t.ConfigApplyMS = int(defaultConfigApply / time.Millisecond)
	}
	if t.ColdOvershoot == 0 {
		t.ColdOvershoot = defaultColdOvershoot
	}
	if t.DrainMS == 0 {
		t.DrainMS = int(defaultDrain / time.Millisecond)
	}
	if t.FlowMaxS == 0 {
		t.FlowMaxS = defaultFlowMax.Seconds()
	}
	if t.StopGraceS == 0 {
		t.StopGraceS = defaultStopGrace.Seconds()
	}
}

// checkToken checks TokenSettings, which stay empty for other policies.
func (s *Settings) checkToken() error {
	if s.Policy != PolicyToken {
		return nil
	}
	t := &s.Token
	if !t.ReadyAddress.IsValid() || t.ReadyAddress.Port() == 0 {
		return fail("token.ready_address: got %q, want IP:port with a port above 0", t.ReadyAddress)
	}
	bounds := []struct {
		path  string
		value time.Duration
	}{
		{"token.config_apply_ms", t.ConfigApply()},
		{"token.evacuate_ms", t.Evacuate()},
		{"token.drain_ms", t.Drain()},
		{"token.target_report_ms", t.TargetReport()},
		{"token.flow_max_s", t.FlowMax()},
		{"token.stop_grace_s", t.StopGrace()},
	}
	for _, b := range bounds {
		if b.value <= 0 || b.value > maxBound {
			return fail("%s: got %v, want above 0 and at most %v", b.path, b.value, maxBound)
		}
	}
	switch {
	case t.ColdOvershoot <= 0 || t.ColdOvershoot > maxColdOvershoot:
		return fail("token.cold_overshoot: got %v, want above 0 and at most %v", t.ColdOvershoot, maxColdOvershoot)
	case t.ColdSlack < 0 || t.ColdSlack > maxColdSlack:
		return fail("token.cold_slack: got %v, want 0 to %v", t.ColdSlack, maxColdSlack)
	case t.LinkMbps < 0 || t.LinkMbps > maxLinkMbps:
		return fail("token.link_mbps: got %v, want at least 0 and at most %v", t.LinkMbps, maxLinkMbps)
	}
	if _, err := token.ParseMechanisms(t.Without); err != nil {
		return fail("token.without: %v", err)
	}
	return nil
}

// Mechanisms returns Without as a set. The settings were checked, so its names
// are known.
func (t *TokenSettings) Mechanisms() token.Mechanisms {
	set, _ := token.ParseMechanisms(t.Without)
	return set
}
