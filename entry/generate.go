package entry

//go:generate stringer -type=watchState -linecomment -output=watch_state_string.go
