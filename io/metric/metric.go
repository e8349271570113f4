// Package metric serves what a VM counts: /metrics for collection, /healthz
// while the process runs, and /readyz once it can serve.
//
// The parts of a VM count for themselves and know no metrics library. Each
// metric here is a [Source] that reads a part's counters when it is collected,
// so that the data path pays nothing for being observed.
package metric

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"baobabstep"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Prefix starts the name of each metric.
const Prefix = "baobabstep_"

const (
	readHeaderTimeout = 5 * time.Second
	closeTimeout      = time.Second
)

// Source is one metric, with at most one label.
type Source struct {
	// Name is the name without Prefix.
	Name string
	Help string
	// Label names the label whose values are the keys that Read returns;
	// empty for a metric without label, whose key is ignored.
	Label string
	// Gauge is set when the value may fall.
	Gauge bool
	// Read returns the present values by label value.
	Read func() map[string]float64
}

// collector adapts a Source to the metrics library.
type collector struct {
	source      Source
	description *prometheus.Desc
}

var _ prometheus.Collector = (*collector)(nil)

func newCollector(s Source) *collector {
	var labels []string
	if s.Label != "" {
		labels = []string{s.Label}
	}
	return &collector{s, prometheus.NewDesc(Prefix+s.Name, s.Help, labels, nil)}
}

// Describe implements [prometheus.Collector].
func (c *collector) Describe(out chan<- *prometheus.Desc) { out <- c.description }

// Collect implements [prometheus.Collector].
func (c *collector) Collect(out chan<- prometheus.Metric) {
	kind := prometheus.CounterValue
	if c.source.Gauge {
		kind = prometheus.GaugeValue
	}
	for label, value := range c.source.Read() {
		var labels []string
		if c.source.Label != "" {
			labels = []string{label}
		}
		out <- prometheus.MustNewConstMetric(c.description, kind, value, labels...)
	}
}

// Value returns the reading of a metric without label.
func Value(v float64) map[string]float64 { return map[string]float64{"": v} }

// Server is the metrics endpoint of one VM.
type Server struct {
	registry *prometheus.Registry
	ready    func() error
	http     *http.Server
	address  netip.AddrPort
	done     chan struct{}
}

// New returns a server for address; ready says why the VM is not ready yet.
func New(address netip.AddrPort, ready func() error) *Server {
	s := &Server{
		registry: prometheus.NewRegistry(),
		ready:    ready,
		address:  address,
		done:     make(chan struct{}),
	}
	s.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// Register adds a metric. It panics if the name is taken.
func (s *Server) Register(sources ...Source) {
	for _, source := range sources {
		s.registry.MustRegister(newCollector(source))
	}
}

// Histogram adds a metric of seconds with the given upper bounds, and returns
// how a value is taken in. It panics if the name is taken.
func (s *Server) Histogram(name, help string, bounds []float64) func(seconds float64) {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{Name: Prefix + name, Help: help, Buckets: bounds})
	s.registry.MustRegister(h)
	return h.Observe
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Start listens and serves until ctx ends; Done tells when it has stopped.
func (s *Server) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return baobabstep.Errorf(baobabstep.CodeSettings, "metric.start", "metrics_address: %v", err)
	}
	go func() {
		<-ctx.Done()
		shutdown, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := s.http.Shutdown(shutdown); err != nil {
			s.http.Close()
		}
	}()
	go func() {
		defer close(s.done)
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			listener.Close()
		}
	}()
	return nil
}

// Done is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }
