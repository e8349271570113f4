package flow

//go:generate stringer -type=State -output=state_string.go
//go:generate stringer -type=Event -linecomment -output=event_string.go
