package crowd

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// legalHead is the size of the largest head that every configuration accepts.
const legalHead = 16 << 10

// fill returns as many different lines as a head of legal size has room for beside the given text. Each line is made from the
// text that is different for each.
func fill(head string, line func(name string) string) string {
	var text strings.Builder
	for k := 0; ; k++ {
		next := line(strconv.FormatInt(int64(k), 36) + "z")
		if len(head)+text.Len()+len(next)+len("\r\n") > legalHead {
			return text.String()
		}
		text.WriteString(next)
	}
}

// shapes returns heads of legal size, as the lines that follow those of an ordinary head.
func shapes() map[string]func(head string) string {
	return map[string]func(head string) string{
		"short lines": func(head string) string { return fill(head, func(name string) string { return name + ":\r\n" }) },
		"lines of one name": func(head string) string {
			return fill(head, func(string) string { return "a:\r\n" })
		},
		"folded lines": func(head string) string {
			return "A: b\r\n" + fill(head+"A: b\r\n", func(string) string { return " c\r\n" })
		},
		"odd names": func(head string) string {
			return fill(head, func(name string) string { return "!#$%&'*+-.^_`|~" + name + ":\t\r\n" })
		},
		"1,200 lines": func(string) string {
			var text strings.Builder
			for k := range 1200 {
				fmt.Fprintf(&text, "a%d: bcde\r\n", k)
			}
			return text.String()
		},
		"one line": func(head string) string {
			return "A: " + strings.Repeat("x", legalHead-len(head)-len("A: \r\n\r\n")) + "\r\n"
		},
	}
}

// headCrowds returns callers that send heads which are expensive, over the limit or without end.
func headCrowds() map[string]crowd {
	whole := func(name string) crowd {
		return crowd{conns: 800, opening: func(l target, _ int) string {
			head := l.head("Content-Length: 0\r\n")
			return head + shapes()[name](head) + "\r\n"
		}}
	}
	short := lines(600, 0, false)
	return map[string]crowd{
		"whole heads of short lines":       whole("short lines"),
		"whole heads of lines of one name": whole("lines of one name"),
		"whole heads of folded lines":      whole("folded lines"),
		"whole heads of odd names":         whole("odd names"),
		"short lines over the limit":       {conns: 600, opening: headWith(lines(20000, 0, false) + "\r\n")},
		"short lines without end":          {conns: 600, opening: headWith(""), next: short},
		"folded lines without end":         {conns: 600, opening: headWith("A: b\r\n"), next: strings.Repeat(" c\r\n", 600)},
		"empty lines without end":          {conns: 600, opening: fixed(""), next: strings.Repeat("\r\n", endlessChunk/2)},
		"line feeds without end":           {conns: 600, opening: fixed(""), next: strings.Repeat("\n", endlessChunk)},
		"empty lines after a request":      {conns: 600, opening: headWith("Content-Length: 0\r\n\r\n"), next: strings.Repeat("\r\n", endlessChunk/2)},
	}
}

// places are the daemons of TestHeads with their listeners.
func places() map[string]func(*testing.T) map[string]target {
	return map[string]func(*testing.T) map[string]target{"forward": startForward, "own": startOwn}
}

func listeners(interfaceName string) []string {
	if interfaceName == "own" {
		return []string{"callers", "operators", "peers"}
	}
	return []string{"callers", "operators", "peers", "readiness"}
}

// Guards against heads of callers that nobody controls at any one listener which end the process, take more than its memory or
// descriptors, or keep an ordinary request at one of its listeners from an answer.
func TestHeads(t *testing.T) {
	kinds := headCrowds()
	for _, place := range slices.Sorted(maps.Keys(places())) {
		for _, listener := range listeners(place) {
			for _, name := range slices.Sorted(maps.Keys(kinds)) {
				t.Run(place+"/"+listener+"/"+name, func(t *testing.T) {
					all := places()[place](t)
					testCrowdBeside(t, kinds[name], []target{all[listener]}, slices.Collect(maps.Values(all)), memoryMB*descriptorsPerMB)
				})
			}
		}
	}
}

// Guards against a single request with a head of legal size that is refused although the daemon is idle.
func TestSingleRequest(t *testing.T) {
	for _, place := range slices.Sorted(maps.Keys(places())) {
		t.Run(place, func(t *testing.T) {
			all := places()[place](t)
			for _, listener := range listeners(place) {
				awaitOK(t, all[listener])
				for _, name := range slices.Sorted(maps.Keys(shapes())) {
					t.Run(listener+"/"+name, func(t *testing.T) {
						require.Equal(t, http.StatusOK, all[listener].sendShape(t, shapes()[name]))
					})
				}
			}
		})
	}
}

// heldRequests are callers whose requests have large heads and are served until their callers leave.
func heldRequests(more string) crowd {
	return crowd{conns: 400, opening: func(l target, _ int) string {
		l.path = "/held/x"
		return l.head("Content-Length: 0\r\n" + more + "\r\n")
	}}
}

// Guards against ordinary requests that get no answer while whole requests with large heads hold the memory of connections.
func TestHeldRequests(t *testing.T) {
	for name, more := range map[string]string{
		"1,000 short lines": lines(1000, 0, false), "1,900 short lines": lines(shortLines, 0, false), "one line": "A: " + strings.Repeat("x", 15<<10) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			all := startForward(t)
			everywhere := slices.Collect(maps.Values(all))
			for range 4 {
				everywhere = append(everywhere, all["callers"])
			}
			testCrowdBeside(t, heldRequests(more), []target{all["callers"]}, everywhere, memoryMB*descriptorsPerMB)
		})
	}
}

// Guards against bytes that nobody reads, behind requests that are being served, which take the memory of the machine.
func TestUnreadBytes(t *testing.T) {
	opening := func(more string) func(target, int) string {
		return func(l target, _ int) string {
			l.path = "/held/x"
			return l.head("Content-Length: 0\r\n\r\n" + more)
		}
	}
	for name, c := range map[string]crowd{
		"empty lines without end": {conns: 600, opening: opening(""), next: strings.Repeat("\r\n", endlessChunk/2)},
		"a head without end":      {conns: 600, opening: opening("GET / HTTP/1.1\r\nHost: h\r\n"), next: lines(600, 0, false)},
	} {
		t.Run(name, func(t *testing.T) {
			all := startForward(t)
			testCrowdBeside(t, c, []target{all["callers"]}, slices.Collect(maps.Values(all)), memoryMB*descriptorsPerMB)
		})
	}
}

// Guards against an overload of whole requests in which the daemon answers neither the platform's readiness checks nor its peers.
func TestInternalListenersInOverload(t *testing.T) {
	c := heldRequests("")
	c.conns = 1200
	all := startForward(t)
	testCrowdBeside(t, c, []target{all["callers"]}, []target{all["readiness"], all["peers"], all["operators"]}, memoryMB*descriptorsPerMB)
}

// processDescriptors is the limit of descriptors of TestDescriptors. It is far below what fits the memory of connections.
const processDescriptors = 400

// Guards against callers that take all descriptors of the process, so that it reaches neither the store nor the endpoints.
func TestDescriptors(t *testing.T) {
	for name, c := range map[string]crowd{
		"silent connections": {conns: 800, opening: fixed("")},
		"idle connections":   {conns: 800, opening: headWith("Content-Length: 0\r\n\r\n")},
		"heads held open":    {conns: 800, opening: headWith("A: b\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			all := startForwardWith(t, processDescriptors)
			testCrowdBeside(t, c, []target{all["callers"]}, slices.Collect(maps.Values(all)), processDescriptors)
		})
	}
	t.Run("whole requests", func(t *testing.T) {
		c := heldRequests("")
		c.conns = 800
		all := startForwardWith(t, processDescriptors)
		testCrowdBeside(t, c, []target{all["callers"]}, []target{all["readiness"], all["peers"], all["operators"]}, processDescriptors)
	})
}
