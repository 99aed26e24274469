// Package route matches a request to its route and chooses the worker that serves
// it. The package does no I/O.
package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/postmount/postmount/requests/fleet"
)

// Table maps hosts and path prefixes to routes. It is immutable.
type Table struct {
	byHost map[string][]fleet.Route // longest prefix first
}

// NewTable builds the table of the routes of a configuration.
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

// Match returns the route with the longest matching path prefix among the routes
// of the host, or else among those without a host. A port in host is ignored.
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

// prefixMatches reports whether prefix matches path at a segment boundary.
func prefixMatches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}
