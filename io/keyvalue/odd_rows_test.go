package keyvalue_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"radishhollow/core/route"
	"radishhollow/io/keyvalue"
)

// Guards against one odd row that makes a daemon refuse the whole instance list, or that is taken for an endpoint.
func TestOddRowLeavesTheOthers(t *testing.T) {
	odd := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"sequence":1,"instances":[%s,{"address":"127.0.0.1:1","incarnation":"a","kind":"model","name":"m"}]}`, odd)
	}))
	defer server.Close()
	for name, text := range map[string]string{
		"address as a number": `{"address":7}`, "number too large": `{"address":1e400}`, "name as a list": `{"address":"127.0.0.1:2","name":[]}`,
		"nested": `{"x":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`, "port": `{"address":"127.0.0.1:65536"}`,
		"port 0": `{"address":"127.0.0.1:0"}`, "host name": `{"address":"host:1"}`, "no address": `{}`, "null": `null`, "text": `"x"`,
	} {
		odd = text
		list := &keyvalue.InstanceList{Client: &keyvalue.Client{Address: server.Listener.Addr().String(), HTTP: keyvalue.NewHTTPClient()}}
		_, err := list.Read(t.Context())
		assert.NoError(t, err, name) //nolint:testifylint // All rows are tried.
		assert.Equal(t, []route.Listing{row("127.0.0.1:1", "a")}, list.Endpoints(), name)
	}
}
