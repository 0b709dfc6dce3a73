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

// KeyPrefix is the prefix of every API key.
const KeyPrefix = "gg-"

// leaseRetryAfter is the Retry-After of refusals for an expired lease.
const leaseRetryAfter = time.Second

var (
	// keyPattern matches a whole API key: the prefix and 20 bytes in hex.
	keyPattern = regexp.MustCompile(`gg-[0-9a-f]{40}`)
	// escapedKeyChar matches the JSON escape of any character that a key can contain.
	escapedKeyChar = regexp.MustCompile(`(?i)\\u0067|\\u002d|\\u003[0-9]|\\u006[1-6]`)
)

// identity is the authenticated sender of a request.
type identity struct {
	key       lists.KeyID
	workspace lists.WorkspaceID
	plan      lists.Plan
}

// identify authenticates the request by its API key and returns the key's workspace and
// plan. Errors are refusals. It refuses every key while the lease is expired, because
// the instance then may not have received the revocation of a key.
func (s *Server) identify(r *http.Request) (identity, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if key == "" || !strings.EqualFold(scheme, "bearer") {
		return identity{}, refusal.New(refusal.KeyMissing, http.StatusUnauthorized, "the request has no key in the header Authorization: Bearer KEY")
	}
	if !s.Fleet.Serving() {
		return identity{}, refusal.Later(refusal.LeaseExpired, leaseRetryAfter, "this instance is cut off, ask another one")
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

// recheckIdentity verifies, immediately before the request is forwarded, that the lease
// is valid and the key has not been revoked since identify.
func (s *Server) recheckIdentity(i identity) error {
	if !s.Fleet.Serving() {
		return refusal.Later(refusal.LeaseExpired, leaseRetryAfter, "this instance is cut off, ask another one")
	}
	if k := s.Catalog.State().Keys[i.key]; k.Revoked {
		return refusal.New(refusal.KeyRevoked, http.StatusUnauthorized, "the key was withdrawn")
	}
	return nil
}

// checkKeyPlacement refuses a request that contains an API key outside the Authorization
// header, because the key would be forwarded to an upstream.
func checkKeyPlacement(r *http.Request, body []byte) error {
	if containsKey(r.URL.RawQuery) || containsKey(r.URL.Path) || containsKey(string(body)) || containsEscapedKey(body) {
		return keyMisplaced()
	}
	for name, values := range r.Header {
		if name != "Authorization" && containsKey(strings.Join(values, "\n")) {
			return keyMisplaced()
		}
	}
	return nil
}

func keyMisplaced() error {
	return refusal.New(refusal.KeyMisplaced, http.StatusBadRequest, "a key may stand only in the header Authorization")
}

// containsKey reports whether the text contains an API key, plain or URL-encoded.
func containsKey(text string) bool {
	if keyPattern.MatchString(text) {
		return true
	}
	plain, err := url.QueryUnescape(text)
	return err == nil && keyPattern.MatchString(plain)
}

// containsEscapedKey reports whether a JSON body contains an API key of which characters
// are written as Unicode escapes. Bodies without such escapes are not parsed.
func containsEscapedKey(body []byte) bool {
	if !escapedKeyChar.Match(body) {
		return false
	}
	var v any
	if json.Unmarshal(body, &v) != nil {
		return false
	}
	plain, err := json.Marshal(v)
	return err == nil && keyPattern.Match(plain)
}
