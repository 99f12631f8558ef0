package admin

import (
	_ "embed"
	"html/template"
	"net/http"
	"time"

	"damaskreach/internal/event"
	"damaskreach/internal/query"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

const mostShown = 200 // decisions on the page

// view is what the page shows.
type view struct {
	status
	About  string
	Since  string
	Asked  bool
	Fault  string
	Events []event.Event
	Silent []string
}

// servePage answers with a page for a browser: status, runners, refusals and a search of explanations.
func (a *Admin) servePage(w http.ResponseWriter, r *http.Request) {
	v := view{status: a.status(false), About: r.URL.Query().Get("about"), Since: r.URL.Query().Get("since")}
	v.Asked = v.About != "" || v.Since != ""
	if v.Asked {
		a.search(r, &v)
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'")
	_ = page.Execute(w, v) // the operator may be gone
}

func (a *Admin) search(r *http.Request, v *view) {
	q := query.Query{About: v.About, Most: mostShown}
	since, err := parseTime(v.Since, time.Now())
	if err != nil {
		v.Fault = err.Error()
		return
	}
	q.Since = since
	v.Events, v.Silent = a.Explain(r.Context(), q)
}
