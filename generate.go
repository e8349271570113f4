package baobabstep

//go:generate stringer -type=Kind,Class,Purpose,Dest,VMState -output=enum_string.go
//go:generate stringer -type=Freshness -linecomment -output=freshness_string.go
//go:generate stringer -type=Code -trimprefix=Code -output=code_string.go
