package apiserver

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/logkey"
	"ravenport/wire"
)

// rejection is an error response.
type rejection struct {
	status      int
	problem     wire.Problem
	retryAfterS int // 0 if repeating the request does not help
}

// Rejections that do not depend on the request. Their texts are part of the protocol
// with users.
var (
	// rejectTooManyRequests answers submissions and cancellations beyond
	// constants.MaxPendingRequests.
	rejectTooManyRequests = retryable(http.StatusTooManyRequests, "overloaded")
	// rejectOverloaded answers polls that were not admitted.
	rejectOverloaded = retryable(http.StatusServiceUnavailable, "overloaded")
	// rejectStoreUnavailable answers requests that need the store while it cannot be
	// reached.
	rejectStoreUnavailable = retryable(http.StatusServiceUnavailable, "state service away")
	// rejectNotReady answers submissions that arrive before the machine types are known,
	// and submissions of a known job whose record could not be found.
	rejectNotReady  = retryable(http.StatusServiceUnavailable, "not ready")
	rejectTooLong   = permanent(http.StatusUnprocessableEntity, "too long to be stored")
	rejectNoSuchJob = permanent(http.StatusNotFound, "no such job")
)

func retryable(status int, text string) rejection {
	return rejection{status: status, problem: wire.Problem{Error: text}, retryAfterS: constants.RetryAfterS}
}

func permanent(status int, text string) rejection {
	return rejection{status: status, problem: wire.Problem{Error: text}}
}

// respond sends the rejection.
func (r rejection) respond(request Request) {
	request.Respond(&httpwire.Response{Status: r.status, Body: encode(r.problem), RetryAfterS: r.retryAfterS})
}

// respondJSON sends value as the body of a response.
func respondJSON(request Request, status int, value any) {
	request.Respond(&httpwire.Response{Status: status, Body: encode(value)})
}

func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		slog.Error("cannot encode response", logkey.Err, err)
	}
	return body
}
