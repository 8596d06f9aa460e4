package booking

import (
	"net/url"
	"strings"

	"radishhollow/core/config"
)

// overrides are headers by which some frameworks replace the method of a request.
var overrides = []string{"X-Http-Method-Override", "X-Http-Method", "X-Method-Override"}

// Idempotent tells whether the sheet declares the request idempotent. The most specific matching call decides, and a
// non-idempotent one wins a tie. A path that an endpoint could read as another path never matches.
func Idempotent(calls []config.Call, r Request) bool {
	if !unambiguous(r) {
		return false
	}
	best, idempotent := -1, false
	for _, call := range calls {
		length, ok := match(call, r)
		switch {
		case !ok || length < best:
		case length > best:
			best, idempotent = length, call.Idempotent
		default:
			idempotent = idempotent && call.Idempotent
		}
	}
	return idempotent
}

// match returns twice the length of the literal part of the pattern, plus one for a pattern without a wildcard.
func match(call config.Call, r Request) (int, bool) {
	if call.Method != r.Method {
		return 0, false
	}
	if prefix, ok := strings.CutSuffix(call.Path, "*"); ok && strings.HasSuffix(prefix, "/") {
		return 2 * len(prefix), strings.HasPrefix(r.Path, prefix)
	}
	return 2*len(call.Path) + 1, call.Path == r.Path
}

// unambiguous refuses dot segments, empty segments, encoded or reversed slashes, double encoding, path parameters,
// control characters and method overrides, since frameworks differ in how they read them.
func unambiguous(r Request) bool {
	for _, name := range overrides {
		if len(r.Header.Values(name)) > 0 {
			return false
		}
	}
	query, err := url.ParseQuery(r.Query)
	if err != nil {
		return false
	}
	for name := range query {
		if strings.EqualFold(name, "_method") {
			return false
		}
	}
	rest, ok := strings.CutPrefix(r.Path, "/")
	if !ok {
		return false
	}
	segments := strings.Split(rest, "/")
	for i, segment := range segments {
		last := i == len(segments)-1
		if segment == "" && !last {
			return false
		}
		if !unambiguousSegment(segment) {
			return false
		}
	}
	return true
}

func unambiguousSegment(segment string) bool {
	plain, err := url.PathUnescape(segment)
	if err != nil || plain == "." || plain == ".." || strings.ContainsAny(plain, `/\;%?#`) {
		return false
	}
	for _, char := range plain {
		if char < ' ' || char == 0x7f || char == '\uFFFD' {
			return false
		}
	}
	return true
}
