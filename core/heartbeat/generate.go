package heartbeat

//go:generate stringer -type=Kind -linecomment -output=kind_string.go
