package entry

import (
	"encoding/json"
	"net/http"
	"sort"

	"damaskreach/internal/call"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// serveModels lists the tenant's own adapters and versions.
func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	owner, refusal := e.tenant(r)
	if refusal != nil {
		e.reject(w, r, call.Call{}, refusal)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	catalog := e.Catalog()
	for _, name := range catalog.Adapters() {
		a, _ := catalog.Adapter(name)
		if a.Tenant != owner.Name {
			continue
		}
		for version := range a.Versions {
			list.Data = append(list.Data, modelItem{ID: name + "@" + version, Object: "model", Owner: owner.Name})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(w, list)
}

type entryList struct {
	Entries []string `json:"entries"`
	Life    float64  `json:"life_seconds"`
}

// serveEntries is discovery: the addresses to use in order, and for how long the answer holds.
func (e *Entry) serveEntries(w http.ResponseWriter, r *http.Request) {
	serving, err := e.Serving(r.Context(), r.URL.Query().Get("model"))
	if err != nil {
		e.reject(w, r, call.Call{}, refuse.NewRefusal(verd.NotRun, refuse.Leaving, "listing entries: %v", err))
		return
	}
	list := entryList{Entries: []string{}, Life: e.EntriesLife.Seconds()}
	for _, s := range serving {
		list.Entries = append(list.Entries, s.HTTP)
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}
