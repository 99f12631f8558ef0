package entry

import (
	"net/http"
	"net/url"
	"strings"

	"damaskreach/internal/call"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// servePlain passes a call to a plain service through with its method, path, body and status.
// Calls with methods that HTTP calls safe may be repeated; all others are non-idempotent unless the caller says otherwise.
func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request, group, path string) {
	c, refusal := e.parsePlain(w, r, group, path)
	if refusal != nil {
		e.reject(w, r, c, refusal)
		return
	}
	e.serve(w, r, c)
}

func (e *Entry) parsePlain(w http.ResponseWriter, r *http.Request, group, path string) (call.Call, *refuse.Refusal) {
	owner, refusal := e.tenant(r)
	if refusal != nil {
		return call.Call{}, refusal
	}
	g, known := e.Catalog().Group(group)
	if !known || !g.Plain {
		return call.Call{}, refuse.NewRefusal(verd.NotRun, refuse.UnknownModel, "there is no plain service %q", group)
	}
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		return call.Call{}, refusal
	}
	c := call.Call{
		Tenant:        owner.Name,
		Group:         g.Name,
		Method:        r.Method,
		Path:          path,
		Type:          r.Header.Get("Content-Type"),
		Body:          body,
		NonIdempotent: !safe(r.Method),
	}
	c, refusal = withHeaders(c, r.Header)
	return c.WithSum(), refusal
}

// plainPath returns the group that a URL names under /plain/, and the path and query for its service just as the caller
// escaped them.
func plainPath(u *url.URL) (group, path string, ok bool) {
	rest, ok := strings.CutPrefix(u.EscapedPath(), "/plain/")
	if !ok {
		return "", "", false
	}
	escaped, path, ok := strings.Cut(rest, "/")
	if !ok {
		return "", "", false
	}
	group, err := url.PathUnescape(escaped)
	if err != nil {
		return "", "", false
	}
	path = "/" + path
	if u.RawQuery != "" || u.ForceQuery {
		path += "?" + u.RawQuery
	}
	return group, path, true
}

func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
