package booking

import (
	"net/url"
	"strings"

	"radishhollow/core/config"
)

// methodOverrideHeaders lists the headers that make some web frameworks replace the method of a request.
var methodOverrideHeaders = []string{"X-Http-Method-Override", "X-Http-Method", "X-Method-Override"}

// Idempotent reports whether the service's configured calls declare the request idempotent. The most specific matching
// call decides; of equally specific calls, a non-idempotent one takes precedence. A path that an endpoint could
// normalize to a different path never matches.
func Idempotent(calls []config.Call, r Request) bool {
	if !unambiguous(r) {
		return false
	}
	highest, idempotent := -1, false
	for _, call := range calls {
		specificity, ok := matchCall(call, r)
		switch {
		case !ok || specificity < highest:
		case specificity > highest:
			highest, idempotent = specificity, call.Idempotent
		default:
			idempotent = idempotent && call.Idempotent
		}
	}
	return idempotent
}

// matchCall returns the specificity of the call's path pattern and reports whether the call matches the request. The
// specificity is twice the length of the literal part, plus one for a pattern without a wildcard.
func matchCall(call config.Call, r Request) (int, bool) {
	if call.Method != r.Method {
		return 0, false
	}
	if prefix, ok := strings.CutSuffix(call.Path, "*"); ok && strings.HasSuffix(prefix, "/") {
		return 2 * len(prefix), strings.HasPrefix(r.Path, prefix)
	}
	return 2*len(call.Path) + 1, call.Path == r.Path
}

// unambiguous reports whether all web frameworks interpret the path and the method alike. It rejects dot segments,
// empty segments, encoded slashes, backslashes, double encoding, path parameters, control characters, invalid UTF-8 and
// method overrides.
func unambiguous(r Request) bool {
	for _, name := range methodOverrideHeaders {
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
	decoded, err := url.PathUnescape(segment)
	if err != nil || decoded == "." || decoded == ".." || strings.ContainsAny(decoded, `/\;%?#`) {
		return false
	}
	for _, char := range decoded {
		if char < ' ' || char == 0x7f || char == '\uFFFD' {
			return false
		}
	}
	return true
}
