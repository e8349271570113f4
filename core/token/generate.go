package token

//go:generate stringer -type=EventKind -linecomment -output=event_string.go
//go:generate stringer -type=Mechanism -linecomment -output=mechanism_string.go
