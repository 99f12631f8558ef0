package admin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"damaskreach/internal/admin"
	"damaskreach/internal/catlog"
	"damaskreach/internal/digest"
	"damaskreach/internal/meter"
	"damaskreach/internal/rows"
	"damaskreach/internal/sess"
)

func TestStatusTellsWhatIsInForce(t *testing.T) {
	c, _ := catlog.NewCatalog().WithTail([]rows.Row{{Key: "conf/tenant/x", Value: []byte(`{"name":"x"}`), Rev: 3}}, 0, 5)
	c, _ = c.With([]rows.Row{{Key: "conf/group/g", Value: []byte(`{"name":"h"}`), Rev: 9}})
	a := &admin.Admin{
		Session:   func() sess.Session { return sess.Session{Node: "n1"} },
		Nodes:     func() []sess.Session { return []sess.Session{{Node: "n2"}} },
		Digests:   func() []digest.Digest { return []digest.Digest{{Runner: "r1"}} },
		Catalog:   func() catlog.Catalog { return c },
		Operators: func() []string { return nil },
		Meter:     meter.NewMeter(),
	}
	full, short := get(a, "/status"), get(a, "/status?short")
	for _, want := range []string{`"node":"n1"`, `"rev":9`, `"complete":5`, `"rejected":["conf/group/g: revision 9: `} {
		if !strings.Contains(short, want) || !strings.Contains(full, want) {
			t.Errorf("status = %s\nshort = %s\nwant %s in both", full, short, want)
		}
	}
	for _, want := range []string{"n2", "r1"} {
		if strings.Contains(short, want) || !strings.Contains(full, want) {
			t.Errorf("status = %s\nshort = %s\nwant %s in the first only", full, short, want)
		}
	}
}

func get(a *admin.Admin, path string) string {
	answer := httptest.NewRecorder()
	a.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil))
	return answer.Body.String()
}
