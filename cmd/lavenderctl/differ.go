package main

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/lavenderstand/lavenderstand/plan"
)

// differingKeys returns the dotted keys whose values differ or that only one side has, sorted.
func differingKeys(a, b plan.Config) []string {
	left, right := flatten(a), flatten(b)
	var keys []string
	for key, value := range left {
		if other, ok := right[key]; !ok || other != value {
			keys = append(keys, key)
		}
	}
	for key := range right {
		if _, ok := left[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// flatten returns the values of a configuration by dotted key, or nil if it cannot be encoded.
func flatten(c plan.Config) map[string]any {
	data, err := json.Marshal(c)
	if err != nil {
		return nil
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil
	}
	flat := make(map[string]any)
	flattenInto(flat, "", tree)
	return flat
}

func flattenInto(flat map[string]any, key string, value any) {
	object, ok := value.(map[string]any)
	if !ok {
		flat[key] = value
		return
	}
	for name, v := range object {
		flattenInto(flat, strings.TrimPrefix(key+"."+name, "."), v)
	}
}

func listKeys(keys []string) string {
	if len(keys) == 0 {
		return " none"
	}
	return "\n  " + strings.Join(keys, "\n  ")
}
