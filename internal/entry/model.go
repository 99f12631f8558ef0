package entry

import (
	"hash/fnv"
	"net/http"
	"sort"
	"strings"

	"damaskreach/internal/adapt"
	"damaskreach/internal/call"
	"damaskreach/internal/tenant"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// serveModel answers completions and chat completions.
func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request) {
	c, refusal := e.parseModel(w, r)
	if refusal != nil {
		e.reject(w, r, c, refusal)
		return
	}
	e.serve(w, r, c)
}

func (e *Entry) parseModel(w http.ResponseWriter, r *http.Request) (call.Call, *refuse.Refusal) {
	owner, refusal := e.tenant(r)
	if refusal != nil {
		return call.Call{}, refusal
	}
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		return call.Call{}, refusal
	}
	q, refusal := parseQuestion(body)
	if refusal != nil {
		return call.Call{}, refusal
	}
	c := call.Call{Tenant: owner.Name, Method: r.Method, Path: r.URL.Path, Type: "application/json", Stream: q.Stream}
	c, refusal = withHeaders(c, r.Header)
	if refusal != nil {
		return call.Call{}, refusal
	}
	return e.resolve(c, q, body)
}

// resolve finds the adapter and version of a question.
func (e *Entry) resolve(c call.Call, q question, body []byte) (call.Call, *refuse.Refusal) {
	name, version, versioned := strings.Cut(q.Model, "@")
	a, known := e.Catalog().Adapter(name)
	if !known || a.Tenant != c.Tenant {
		// Another tenant's adapter is refused like one that does not exist, so that nobody learns of it.
		return c, unknownModel(q.Model)
	}
	if !versioned {
		version = pick(a, c)
	}
	if _, known := a.Versions[version]; !known {
		return c, unknownModel(q.Model)
	}
	c.Adapter, c.Version, c.Group = a.Name, version, a.Group
	c.Prefix = q.prefix()
	c.Tokens = usualTokens
	if q.MaxTokens != nil {
		c.Tokens, c.Most = *q.MaxTokens, *q.MaxTokens
	}
	var refusal *refuse.Refusal
	c.Body, refusal = withModel(body, c.Model())
	return c.WithSum(), refusal
}

func unknownModel(model string) *refuse.Refusal {
	return refuse.NewRefusal(verd.NotRun, refuse.UnknownModel, "there is no model %q", model)
}

// pick returns a version by the operators' weights. Repeats with one idempotency key get the same version while the
// weights stay, since it depends on the key alone.
func pick(a adapt.Adapter, c call.Call) string {
	versions := make([]string, 0, len(a.Versions))
	total := 0
	for version, weight := range a.Versions {
		versions = append(versions, version)
		total += weight
	}
	if total == 0 {
		return ""
	}
	sort.Strings(versions)
	at := int(spot(c) % uint64(total))
	for _, version := range versions {
		at -= a.Versions[version]
		if at < 0 {
			return version
		}
	}
	return ""
}

func spot(c call.Call) uint64 {
	key := c.Key
	if key == "" {
		key = c.ID
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // a hash never fails
	return h.Sum64() >> 8
}

func (e *Entry) tenant(r *http.Request) (tenant.Tenant, *refuse.Refusal) {
	owner, known := e.Catalog().TenantByKey(tenantKey(r.Header))
	if !known {
		return owner, refuse.NewRefusal(verd.NotRun, refuse.Forbidden, "the Authorization header holds no known API key")
	}
	return owner, nil
}
