package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	wire "baobabstep/io/platform"
)

// Faults are what is wrong with the platform now. POST /fault replaces them
// all; the zero value is good order.
type Faults struct {
	// Outage drops each call and each waiting watch.
	Outage bool `json:"outage"`
	// DelayMS is added to each call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the number of writes, from now on, that take effect and
	// are not answered.
	LoseAnswers int `json:"lose_answers"`
	// CallsPerSecond refuses calls above the rate with 429; 0 is no limit.
	CallsPerSecond int `json:"calls_per_second"`
	// StaleVMs freezes the list of VMs.
	StaleVMs bool `json:"stale_vms"`
	// VMLagMS replaces the lag of the list of VMs, if above 0.
	VMLagMS int64 `json:"vm_lag_ms"`
	// RefuseSources lists IP addresses whose calls are dropped: they are cut
	// off from the platform.
	RefuseSources []string `json:"refuse_sources"`
	// Compact forgets all revisions so far, once.
	Compact bool `json:"compact"`

	vms []wire.VM
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lists {
		if p.o.Clock.Now().Sub(l.at) >= p.vmLag() {
			f.vms = l.vms
		}
	}
	if p.faults.StaleVMs {
		f.vms = p.faults.vms
	}
	p.faults = f
	p.loseNext = f.LoseAnswers
	p.refused = make(map[string]bool, len(f.RefuseSources))
	for _, s := range f.RefuseSources {
		p.refused[s] = true
	}
	if f.Compact {
		p.compactTo(p.revision)
	}
	// Waiting watches look again whether they may go on.
	close(p.changed)
	p.changed = make(chan struct{})
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	f.LoseAnswers = p.loseNext
	return f
}

func (p *Platform) loseAnswer() bool {
	if p.loseNext == 0 {
		return false
	}
	p.loseNext--
	p.stats.LostAnswers++
	return true
}

func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorAnswer{Error: err.Error()})
		return
	}
	p.SetFaults(f)
	writeJSON(w, http.StatusOK, p.Faults())
}

func (p *Platform) getFault(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Faults())
}

// call wraps one call of the platform's interface with counters and faults.
func (p *Platform) call(f func(*http.Request) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		source, _, _ := net.SplitHostPort(r.RemoteAddr)
		delay, verdict := p.admit(source)
		if delay > 0 {
			t := time.NewTimer(delay)
			defer t.Stop()
			select {
			case <-t.C:
			case <-r.Context().Done():
			}
		}
		if verdict.lost {
			drop(w)
			return
		}
		if verdict.status == 0 {
			verdict = f(r)
		}
		if verdict.lost {
			drop(w)
			return
		}
		body, err := json.Marshal(verdict.body)
		if err != nil {
			panic(err)
		}
		p.mu.Lock()
		p.stats.BytesOut += uint64(len(body))
		w.Header().Set(wire.HeaderEra, strconv.FormatUint(p.era, 10))
		p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(verdict.status)
		_, _ = w.Write(body)
	}
}

// admit counts a call and says what the faults make of it.
func (p *Platform) admit(source string) (time.Duration, reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Calls++
	p.stats.BySource[source]++
	delay := p.o.Latency + time.Duration(p.faults.DelayMS)*time.Millisecond
	if p.faults.Outage || p.refused[source] {
		p.stats.Refused++
		return 0, reply{lost: true}
	}
	if p.overRate() {
		p.stats.Refused++
		return delay, failure(http.StatusTooManyRequests, "too many calls")
	}
	return delay, reply{}
}

func (p *Platform) overRate() bool {
	if p.faults.CallsPerSecond == 0 {
		return false
	}
	now := p.o.Clock.Now()
	for len(p.window) > 0 && now.Sub(p.window[0]) >= time.Second {
		p.window = p.window[1:]
	}
	if len(p.window) >= p.faults.CallsPerSecond {
		return true
	}
	p.window = append(p.window, now)
	return false
}

// drop closes the connection without an answer.
func drop(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
