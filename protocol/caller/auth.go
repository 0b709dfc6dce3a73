package caller

import (
	"encoding/json"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"time"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/lists"
)

// KeyPrefix begins every key.
const KeyPrefix = "gg-"

const leaseRetry = time.Second

var (
	keyPattern = regexp.MustCompile(`gg-[0-9a-f]{40}`)
	unicodeEsc = regexp.MustCompile(`(?i)\\u0067|\\u002d|\\u003[0-9]|\\u006[1-6]`)
)

// identity is who sent a request.
type identity struct {
	key       lists.KeyID
	workspace lists.WorkspaceID
	plan      lists.Plan
}

// identify finds the workspace of the request's key. It fails with a refusal.
func (s *Server) identify(r *http.Request) (identity, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if key == "" || !strings.EqualFold(scheme, "bearer") {
		return identity{}, refusal.New(refusal.KeyMissing, http.StatusUnauthorized, "the request has no key in the header Authorization: Bearer KEY")
	}
	if !s.Fleet.Serving() {
		return identity{}, refusal.Later(refusal.LeaseExpired, leaseRetry, "this instance is cut off, ask another one")
	}
	state := s.Catalog.State()
	k, ok := state.KeyByHash(lists.HashKey(strings.TrimSpace(key)))
	if !ok {
		return identity{}, refusal.New(refusal.KeyUnknown, http.StatusUnauthorized, "the key is not known")
	}
	if k.Revoked {
		return identity{}, refusal.New(refusal.KeyRevoked, http.StatusUnauthorized, "the key was withdrawn")
	}
	p, ok := state.PlanOf(k.Workspace)
	if !ok {
		return identity{}, refusal.New(refusal.KeyUnknown, http.StatusUnauthorized, "the workspace of the key has no plan")
	}
	return identity{key: k.ID, workspace: k.Workspace, plan: p}, nil
}

// confirm checks again, just before the request is sent on, that the key
// still counts and that the instance may still act on its lists.
func (s *Server) confirm(i identity) error {
	if !s.Fleet.Serving() {
		return refusal.Later(refusal.LeaseExpired, leaseRetry, "this instance is cut off, ask another one")
	}
	if k := s.Catalog.State().Keys[i.key]; k.Revoked {
		return refusal.New(refusal.KeyRevoked, http.StatusUnauthorized, "the key was withdrawn")
	}
	return nil
}

// misplaced reports whether a key stands where an upstream would see it.
func misplaced(r *http.Request, body []byte) error {
	if holdsKey(r.URL.RawQuery) || holdsKey(r.URL.Path) || holdsKey(string(body)) || holdsEscapedKey(body) {
		return errMisplaced()
	}
	for name, values := range r.Header {
		if name != "Authorization" && holdsKey(strings.Join(values, "\n")) {
			return errMisplaced()
		}
	}
	return nil
}

func errMisplaced() error {
	return refusal.New(refusal.KeyMisplaced, http.StatusBadRequest, "a key may stand only in the header Authorization")
}

func holdsKey(text string) bool {
	if keyPattern.MatchString(text) {
		return true
	}
	plain, err := url.QueryUnescape(text)
	return err == nil && keyPattern.MatchString(plain)
}

// holdsEscapedKey looks into the strings of a JSON body that uses escapes.
func holdsEscapedKey(body []byte) bool {
	if !unicodeEsc.Match(body) {
		return false
	}
	var v any
	if json.Unmarshal(body, &v) != nil {
		return false
	}
	plain, err := json.Marshal(v)
	return err == nil && keyPattern.Match(plain)
}
