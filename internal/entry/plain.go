package entry

import (
	"net/http"

	"damaskreach/internal/call"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// servePlain passes a call to a plain service through with its method, path, body and status.
// Calls with methods that HTTP calls safe may be repeated; all others are non-idempotent unless the caller says otherwise.
func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	c, refusal := e.parsePlain(w, r)
	if refusal != nil {
		e.reject(w, r, c, refusal)
		return
	}
	e.serve(w, r, c)
}

func (e *Entry) parsePlain(w http.ResponseWriter, r *http.Request) (call.Call, *refuse.Refusal) {
	owner, refusal := e.tenant(r)
	if refusal != nil {
		return call.Call{}, refusal
	}
	g, known := e.Catalog().Group(r.PathValue("group"))
	if !known || !g.Plain {
		return call.Call{}, refuse.NewRefusal(verd.NotRun, refuse.UnknownModel, "there is no plain service %q", r.PathValue("group"))
	}
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		return call.Call{}, refusal
	}
	c := call.Call{
		Tenant: owner.Name,
		Group:  g.Name,
		Method: r.Method,
		Path:   plainPath(r),
		Type:   r.Header.Get("Content-Type"),
		Body:   body,
		Once:   !safe(r.Method),
	}
	c, refusal = withHeaders(c, r.Header)
	return c.WithSum(), refusal
}

func plainPath(r *http.Request) string {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
