// Package route decides where a request goes: which route, service and class
// it matches, and which worker of the service's pools serves it. Everything
// here is pure.
package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/postmount/postmount/requests/fleet"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	byHost map[string][]fleet.Route // longest prefix first
}

// NewTable compiles the routes of a configuration.
func NewTable(routes []fleet.Route) *Table {
	t := &Table{byHost: map[string][]fleet.Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b fleet.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route for a host (a port is ignored) and path: the longest
// prefix of that host, else of the routes for every host.
func (t *Table) Match(host, path string) (fleet.Route, bool) {
	if r, ok := longestPrefix(t.byHost[hostname(host)], path); ok {
		return r, true
	}
	return longestPrefix(t.byHost[""], path)
}

func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func longestPrefix(routes []fleet.Route, path string) (fleet.Route, bool) {
	for _, r := range routes {
		if prefixMatches(r.Prefix, path) {
			return r, true
		}
	}
	return fleet.Route{}, false
}

// prefixMatches reports whether path lies under prefix, on a segment boundary.
func prefixMatches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}
