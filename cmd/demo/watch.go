package main

import (
	"bufio"
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"baobabstep/standin/fabric"
)

const (
	watchInterval = 500 * time.Millisecond
	scrapeTimeout = time.Second
	forceInterval = 20 * time.Millisecond
	forceTimeout  = 15 * time.Second
)

// The VMs' metrics that are read.
const (
	metricConfigVersion = "baobabstep_config_version"
	metricControlBytes  = "baobabstep_control_bytes_total"
	metricControlCPU    = "baobabstep_control_cpu_seconds_total"
	metricInvariants    = "baobabstep_invariant_failures_total"
	metricCPU           = "process_cpu_seconds_total"
)

// vmRun is one process of a VM.
type vmRun struct {
	fabric.VM
	process *process
	paused  bool
	// last are the metrics when they were last read, after lived.
	last  map[string]float64
	lived time.Duration
}

// scrape reads a VM's metrics. Under the name without labels stands the sum of
// all samples of a metric.
func scrape(ctx context.Context, address netip.AddrPort) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	metrics := make(map[string]float64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			continue
		}
		base, _, labelled := strings.Cut(name, "{")
		metrics[base] += value
		if labelled {
			metrics[name] = value
		}
	}
	return metrics, lines.Err()
}

// watch reads the metrics of all VMs until ctx ends.
func (d *demo) watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		d.readMetrics(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *demo) readMetrics(ctx context.Context) {
	for _, r := range d.reachable(false) {
		metrics, err := scrape(ctx, r.MetricsAddress)
		if err != nil {
			continue
		}
		d.lock.Lock()
		r.last, r.lived = metrics, time.Since(r.process.Started())
		d.noteVersion(r.Name, uint64(metrics[metricConfigVersion]))
		d.lock.Unlock()
	}
}

// noteVersion counts a VM whose configuration went back, over its restarts too.
// A VM without a configuration says 0 and serves nobody. The caller holds lock.
func (d *demo) noteVersion(vm string, version uint64) {
	if version == 0 {
		return
	}
	if version < d.versions[vm] {
		d.reverts++
	}
	d.versions[vm] = version
}

// reachable returns the running VMs; connected leaves out those that are paused
// or cut off, which cannot hear of anything.
func (d *demo) reachable(connected bool) []*vmRun {
	d.lock.Lock()
	defer d.lock.Unlock()
	var runs []*vmRun
	for _, r := range d.runs {
		if !r.process.Running() || r.paused || connected && d.cut[r.DataCentre] > 0 {
			continue
		}
		runs = append(runs, r)
	}
	return runs
}

// awaitVersion measures how long it takes until each VM that can hear of it has
// a version in force.
func (d *demo) awaitVersion(ctx context.Context, version uint64, accepted time.Time) {
	for time.Since(accepted) < forceTimeout && ctx.Err() == nil {
		if d.inForce(ctx, version) {
			break
		}
		time.Sleep(forceInterval)
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	d.inForceSeconds = max(d.inForceSeconds, time.Since(accepted).Seconds())
}

func (d *demo) inForce(ctx context.Context, version uint64) bool {
	for _, r := range d.reachable(true) {
		metrics, err := scrape(ctx, r.MetricsAddress)
		if err != nil || uint64(metrics[metricConfigVersion]) < version {
			return false
		}
	}
	return true
}
