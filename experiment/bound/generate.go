package bound

//go:generate stringer -type=Order -linecomment -output=order_string.go
