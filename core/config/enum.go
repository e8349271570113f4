package config

import (
	"slices"

	"baobabstep"
)

//go:generate stringer -type=Type,ObjectKind,StepKind -linecomment -output=enum_string.go

// Type is the type of a parameter.
type Type uint8

// Types of parameters, with the JSON form of their values.
const (
	TypeInvalid       Type = iota // invalid
	TypeInteger                   // integer
	TypeNumber                    // number
	TypeDuration                  // duration
	TypeBoolean                   // boolean
	TypeString                    // string
	TypeAddress                   // address
	TypeStringList                // string_list
	TypeTargetList                // target_list
	TypeClassRuleList             // class_rule_list
)

// ObjectKind is the kind of document that a [Ref] refers to.
type ObjectKind uint8

// Kinds of documents.
const (
	ObjectInvalid  ObjectKind = iota // invalid
	ObjectTemplate                   // template
	ObjectAccount                    // account
)

// MarshalText returns the name of the type.
func (t Type) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText reads the name of a type.
func (t *Type) UnmarshalText(text []byte) error {
	return parseName(text, t, TypeInteger, TypeNumber, TypeDuration, TypeBoolean, TypeString,
		TypeAddress, TypeStringList, TypeTargetList, TypeClassRuleList)
}

// MarshalText returns the name of the kind.
func (k ObjectKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads the name of a kind.
func (k *ObjectKind) UnmarshalText(text []byte) error {
	return parseName(text, k, ObjectTemplate, ObjectAccount)
}

func parseName[T interface{ String() string }](text []byte, to *T, all ...T) error {
	i := slices.IndexFunc(all, func(v T) bool { return v.String() == string(text) })
	if i < 0 {
		return baobabstep.Errorf(baobabstep.CodeInvalid, "config.decode", "got %q, want one of %v", text, all)
	}
	*to = all[i]
	return nil
}
