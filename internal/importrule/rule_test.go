// Package importrule checks which packages of postmount may import which.
package importrule

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const module = "github.com/postmount/postmount/"

// pureImports lists the domain and decision packages, each with the packages of this module
// that it may import. They must not do I/O or start goroutines.
var pureImports = map[string][]string{
	"verdict":              {},
	"requests/fleet":       {},
	"requests/rendezvous":  {},
	"requests/slo":         {"requests/fleet"},
	"requests/route":       {"requests/fleet"},
	"requests/admission":   {"requests/fleet"},
	"requests/retry":       {"verdict"},
	"requests/health":      {"requests/fleet"},
	"requests/budget":      {"requests/fleet"},
	"requests/wave":        {"requests/fleet", "requests/budget"},
	"requests/placement":   {"requests/fleet"},
	"requests/member":      {"requests/fleet"},
	"requests/idempotency": {"requests/fleet", "requests/rendezvous"},
	"requests/slots":       {"requests/fleet", "requests/rendezvous"},
	"requests/directory":   {"requests/fleet", "requests/route"},

	"internal/ownermodel": {},

	"jobs/apikey":     {},
	"jobs/job":        {"jobs/apikey"},
	"jobs/quota":      {"jobs/job"},
	"jobs/callpolicy": {},
	"jobs/placement":  {"jobs/job"},
	"jobs/capacity":   {},
	"jobs/admission":  {"jobs/job"},
	"jobs/owner":      {"jobs/job", "jobs/admission", "jobs/quota", "jobs/callpolicy", "jobs/placement", "jobs/capacity"},
}

// sideEffectPackages are packages that the packages in pureImports must not import.
var sideEffectPackages = []string{"net", "net/http", "os", "io", "log", "go.uber.org/zap", "database/sql", "math/rand"}

// portPackages access external systems through interfaces. They must not import adapters or the
// simulated systems in standin/.
var portPackages = []string{"requests/cluster", "requests/control", "requests/entry", "requests/mirror", "requests/record", "operators/command", "requests/port", "jobs/ledger", "jobs/peer", "jobs/gateway", "jobs/node", "jobs/policy"}

func TestImports(t *testing.T) {
	imports := readImports(t)
	for pkg, allowed := range pureImports {
		require.Contains(t, imports, pkg)
		for _, path := range imports[pkg] {
			if local, ok := strings.CutPrefix(path, module); ok {
				assert.Contains(t, allowed, local, "package %s imports %s", pkg, local)
			}
			assert.NotContains(t, sideEffectPackages, path, "package %s imports %s", pkg, path)
		}
	}
	for _, pkg := range portPackages {
		require.Contains(t, imports, pkg)
		for _, path := range imports[pkg] {
			local := strings.TrimPrefix(path, module)
			assert.False(t, strings.HasPrefix(local, "adapter/") || strings.HasPrefix(local, "standin/"), "package %s imports %s", pkg, local)
		}
	}
	testOnlyTheDaemonImportsPlatform(t, imports)
}

// testOnlyTheDaemonImportsPlatform checks that only cmd/postmountd depends on the users'
// platform.
func testOnlyTheDaemonImportsPlatform(t *testing.T, imports map[string][]string) {
	for pkg, paths := range imports {
		if pkg != "cmd/postmountd" {
			assert.NotContains(t, paths, module+"platform", pkg)
		}
	}
}

// platformNames are names of the users' platform that must not be used outside its folder.
var platformNames = []string{"/-/", "enforcesCapacity", "savesProgress", "untilMs", "op/config", "servers/"}

// TestPlatformNamesAreUsedInItsFolderOnly checks that platformNames appear in no other folder.
func TestPlatformNamesAreUsedInItsFolderOnly(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if strings.HasPrefix(path, filepath.Join(root, "platform")) {
			return nil
		}
		raw, err := os.ReadFile(path)
		for _, name := range platformNames {
			assert.NotContains(t, string(raw), name, path)
		}
		return err
	})
	require.NoError(t, err)
}

// TestNoProxyLibraryAndNoChildProcess checks that packages excluded by the requirements are not
// imported.
func TestNoProxyLibraryAndNoChildProcess(t *testing.T) {
	for pkg, paths := range readImports(t) {
		assert.NotContains(t, paths, "net/http/httputil", pkg)
		assert.NotContains(t, paths, "os/exec", pkg)
	}
}

// readImports returns the imports of each package by its path in the module, without those of
// its tests.
func readImports(t *testing.T) map[string][]string {
	root := filepath.Join("..", "..")
	out := map[string][]string{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		pkg, err := filepath.Rel(root, filepath.Dir(path))
		for _, i := range f.Imports {
			name, _ := strconv.Unquote(i.Path.Value)
			out[filepath.ToSlash(pkg)] = append(out[filepath.ToSlash(pkg)], name)
		}
		return err
	})
	require.NoError(t, err)
	return out
}
