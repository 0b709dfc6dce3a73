package response

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrInvalidHead means that a server has sent something else than the head of a response. Nothing that it says is believed,
// and the request may have run.
var ErrInvalidHead = eris.New("invalid head of a response")

const (
	// minStatus and maxStatus bound the status of a final response.
	minStatus = http.StatusOK
	maxStatus = 599
)

// checkHead fails with ErrInvalidHead if the head of a response is invalid.
func checkHead(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return eris.Wrapf(ErrInvalidHead, "status %03d", r.StatusCode)
	}
	if r.ProtoMajor != 1 {
		return eris.Wrapf(ErrInvalidHead, "protocol %s", r.Proto)
	}
	return nil
}
