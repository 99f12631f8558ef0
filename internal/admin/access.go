package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

const realm = `Basic realm="damaskreach: any name, an operator's key as password"`

// reading lets operators read. Without any key in the settings everybody who reaches the port may.
func (a *Admin) reading(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if sums := a.Operators(); len(sums) > 0 && !allowed(r, sums) {
			w.Header().Set("WWW-Authenticate", realm)
			http.Error(w, "an operator's key is needed", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// changing lets operators change something. Without any key in the settings nobody may: whoever reaches the port of a
// node whose settings were left at their defaults could otherwise shut it down.
func (a *Admin) changing(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sums := a.Operators()
		switch {
		case len(sums) == 0:
			http.Error(w, "the node's settings name no operators' keys, so nobody may change anything here", http.StatusForbidden)
		case !allowed(r, sums):
			http.Error(w, "an operator's key is needed as bearer token", http.StatusUnauthorized)
		default:
			next(w, r)
		}
	}
}

// allowed looks for an operator's key as bearer token, or as the password that browsers ask for. All sums are compared in
// constant time, so that the time of the answer tells nothing of them.
func allowed(r *http.Request, sums []string) bool {
	key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !bearer && r.Method == http.MethodGet {
		_, key, _ = r.BasicAuth()
	}
	if key == "" {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	found := 0
	for _, text := range sums {
		known, err := hex.DecodeString(text)
		if err == nil {
			found |= subtle.ConstantTimeCompare(sum[:], known)
		}
	}
	return found == 1
}
