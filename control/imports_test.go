package control_test

import (
	"go/build"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "github.com/lavenderstand/lavenderstand/"

// TestRequestPackagesDoNotImportTables guards against a package outside the control
// goroutine that imports package table, directly or through another package, and so could
// share control state between goroutines.
func TestRequestPackagesDoNotImportTables(t *testing.T) {
	for _, name := range []string{"traffic", "api", "peer", "tablestore", "forward", "frontend", "platform", "relay", "executor"} {
		visited := make(map[string]bool)
		collectImports(t, name, visited)
		require.False(t, visited["table"], "package %s imports package table, directly or indirectly", name)
	}
}

// collectImports adds the package and all packages of this module that it imports,
// directly or indirectly, to visited.
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
