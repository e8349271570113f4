package metric

import (
	"reflect"
	"strings"
	"unicode"
)

// Fields returns the numeric fields of a struct by their names in snake case,
// so that a part's Stats become the label values of one metric.
func Fields(stats any) map[string]float64 {
	value := reflect.ValueOf(stats)
	fields := make(map[string]float64, value.NumField())
	for i := range value.NumField() {
		field := value.Field(i)
		name := snake(value.Type().Field(i).Name)
		switch {
		case field.CanUint():
			fields[name] = float64(field.Uint())
		case field.CanInt():
			fields[name] = float64(field.Int())
		}
	}
	return fields
}

// Counts returns a part's counts by name as the values of one metric.
func Counts[N int | uint64](counts map[string]N) map[string]float64 {
	values := make(map[string]float64, len(counts))
	for name, count := range counts {
		values[name] = float64(count)
	}
	return values
}

// Sum adds the fields of several structs.
func Sum(all ...map[string]float64) map[string]float64 {
	sum := make(map[string]float64)
	for _, fields := range all {
		for name, value := range fields {
			sum[name] += value
		}
	}
	return sum
}

// snake turns an exported name into snake case: BytesIn becomes bytes_in.
func snake(name string) string {
	var b strings.Builder
	runes := []rune(name)
	for i, r := range runes {
		startsWord := unicode.IsUpper(r) && i > 0 &&
			(unicode.IsLower(runes[i-1]) || (i+1 < len(runes) && unicode.IsLower(runes[i+1])))
		if startsWord {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
