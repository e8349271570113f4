package token

//go:generate stringer -type=EventKind -linecomment -output=event_string.go
