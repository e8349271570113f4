package capacity

// Names of slopes, as in files and tables.
const (
	memberCPU      = "member_cpu"
	memberBytes    = "member_bytes"
	memberMessages = "member_messages"
	memberMemory   = "member_memory"
	placeUpdate    = "place_update"
	flowDecision   = "flow_decision"
	flowRecord     = "flow_record"
	flowTick       = "flow_tick"
	flowBytes      = "flow_bytes"
	newsCPU        = "news_cpu"
	newsBytes      = "news_bytes"
	probeCPU       = "probe_cpu"
	targetConfig   = "target_config"
	configBytes    = "config_bytes"
	configMessages = "config_messages"
	configMemory   = "config_memory"
	configChange   = "config_change"
	wireAppend     = "wire_append"
	wireDecode     = "wire_decode"
)

// Questions are all that a file of slopes answers.
var Questions = []Question{
	{Name: memberCPU, Package: "baobabstep/core/member", Benchmark: "BenchmarkSecond", Metric: "cpu_us/s", Driver: "vms", Where: map[string]string{"news": "2"}},
	{Name: memberBytes, Package: "baobabstep/core/member", Benchmark: "BenchmarkSecond", Metric: "B_out/s", Driver: "vms", Where: map[string]string{"news": "2"}},
	{Name: memberMessages, Package: "baobabstep/core/member", Benchmark: "BenchmarkSecond", Metric: "msgs_in/s", Driver: "vms", Where: map[string]string{"news": "2"}},
	{Name: memberMemory, Package: "baobabstep/core/member", Benchmark: "BenchmarkMemory", Metric: "B/member", Driver: "vms"},
	{Name: placeUpdate, Package: "baobabstep/core/place", Benchmark: "BenchmarkUpdateByOne", Metric: "ns/op", Driver: "n"},
	{Name: flowDecision, Package: "baobabstep/core/flow", Benchmark: "BenchmarkHeldFlow", Metric: "ns/op", Driver: "n"},
	{Name: flowRecord, Package: "baobabstep/core/flow", Benchmark: "BenchmarkHeldFlow", Metric: "B/record", Driver: "n"},
	{Name: flowTick, Package: "baobabstep/core/flow", Benchmark: "BenchmarkTick", Metric: "ns/op", Driver: "n"},
	{Name: flowBytes, Package: "baobabstep/node", Benchmark: "BenchmarkRecordBytes", Metric: "B/flow", Driver: "vms"},
	{Name: newsCPU, Package: "baobabstep/core/target", Benchmark: "BenchmarkNewsBySize", Metric: "ns/op", Driver: "targets"},
	{Name: newsBytes, Package: "baobabstep/core/target", Benchmark: "BenchmarkNewsBySize", Metric: "B/message", Driver: "targets"},
	{Name: probeCPU, Package: "baobabstep/core/target", Benchmark: "BenchmarkProbesBySize", Metric: "ns/op", Driver: "targets"},
	{Name: targetConfig, Package: "baobabstep/core/target", Benchmark: "BenchmarkSetConfigBySize", Metric: "ns/op", Driver: "targets"},
	{Name: configBytes, Package: "baobabstep/core/config", Benchmark: "BenchmarkSpreadFleet", Metric: "B/s/VM", Driver: "n"},
	{Name: configMessages, Package: "baobabstep/core/config", Benchmark: "BenchmarkSpreadFleet", Metric: "msg/s/VM", Driver: "n"},
	{Name: configMemory, Package: "baobabstep/core/config", Benchmark: "BenchmarkSpreadSize", Metric: "heap-B/VM", Driver: "n"},
	{Name: configChange, Package: "baobabstep/core/config", Benchmark: "BenchmarkChange", Metric: "ns/op", Driver: "n"},
	{Name: wireAppend, Package: "baobabstep/io/wire", Benchmark: "BenchmarkAppend", Metric: "ns/op", Where: map[string]string{"n": "data"}},
	{Name: wireDecode, Package: "baobabstep/io/wire", Benchmark: "BenchmarkDecode", Metric: "ns/op", Where: map[string]string{"n": "data"}},
}
