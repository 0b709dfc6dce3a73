package response

import (
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead means that a server has sent something else than the head of a response. Nothing that it says is believed,
// and the request may have run.
var ErrInvalidHead = eris.New("invalid head of a response")

const (
	// minStatus and maxStatus bound the status of a final response.
	minStatus = http.StatusOK
	maxStatus = 599
	// maxLoggedName bounds the bytes of a name in an error.
	maxLoggedName = 40
)

// checkHead fails with ErrInvalidHead if the head of a response is invalid.
func checkHead(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return eris.Wrapf(ErrInvalidHead, "status %03d", r.StatusCode)
	}
	if r.ProtoMajor != 1 {
		return eris.Wrapf(ErrInvalidHead, "protocol %s", r.Proto)
	}
	return checkNames(r.Header)
}

// checkNames fails with ErrInvalidHead if the name of a field is no token. net/http takes blanks in names, also the one
// before the colon, which makes two fields of what others read as one.
func checkNames(h map[string][]string) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrInvalidHead, "name of a field %.*q", maxLoggedName, name)
		}
	}
	return nil
}
