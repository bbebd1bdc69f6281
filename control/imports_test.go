package control_test

import (
	"go/build"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "github.com/lavenderstand/lavenderstand/"

// TestEdgesDoNotReachTables guards against a traffic or edge package that can
// name a table row, directly or through another package, and so share control
// state between goroutines.
func TestEdgesDoNotReachTables(t *testing.T) {
	for _, name := range []string{"traffic", "api", "peer", "tablestore", "forward", "frontend", "platform", "relay", "executor"} {
		visited := make(map[string]bool)
		collectImports(t, name, visited)
		require.False(t, visited["table"], "package %s reaches package table", name)
	}
}

func collectImports(t *testing.T, name string, visited map[string]bool) {
	if visited[name] {
		return
	}
	visited[name] = true
	p, err := build.ImportDir("../"+name, 0)
	require.NoError(t, err)
	for _, path := range p.Imports {
		if local, ok := strings.CutPrefix(path, module); ok {
			collectImports(t, local, visited)
		}
	}
}
