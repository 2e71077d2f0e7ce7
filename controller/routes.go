package controller

import (
	"strings"

	"ravenport/apiserver"
	"ravenport/httpwire"
	"ravenport/server"
	"ravenport/wire"
)

// Read-only paths for operators, beside the protocol's own.
const (
	PathStatus  = "/status"
	PathMetrics = "/metrics"
)

// route passes a request to the actor that answers it. It runs on the server's event loop
// and does not block.
func (c *Controller) route(r *server.Request) {
	path, _, _ := strings.Cut(r.Target, "?")
	switch path {
	case wire.PathHeartbeat:
		c.routeHeartbeat(r)
	case wire.PathHealth:
		if allowMethod(r, "GET") {
			c.control.Tell(healthRequest{r})
		}
	case wire.PathJobs:
		if allowMethod(r, "POST") {
			c.apiServer.Tell(apiserver.Submit{Request: r, Body: r.Body})
		}
	case PathStatus:
		if allowMethod(r, "GET") {
			c.control.Tell(statusRequest{r})
		}
	case PathMetrics:
		if allowMethod(r, "GET") {
			c.apiServer.Tell(apiserver.GetMetrics{Request: r})
		}
	default:
		c.routeJob(r, path)
	}
}

// routeHeartbeat passes a worker's heartbeat to the control actor.
func (c *Controller) routeHeartbeat(r *server.Request) {
	if !allowMethod(r, "POST") {
		return
	}
	heartbeat, err := wire.ParseHeartbeat(r.Body)
	if err != nil {
		r.Respond(&httpwire.Response{Status: 400, Body: []byte(`{"error":"malformed report"}`)})
		return
	}
	c.control.Tell(workerHeartbeat{r, heartbeat})
}

// routeJob passes a request about one job to the API server.
func (c *Controller) routeJob(r *server.Request, path string) {
	job, ok := strings.CutPrefix(path, wire.PathJobs+"/")
	if !ok {
		respondNotFound(r)
		return
	}
	id, operation, hasOperation := strings.Cut(job, "/")
	switch {
	case !hasOperation:
		if allowMethod(r, "GET") && allowJobID(r, id) {
			c.apiServer.Tell(apiserver.Poll{Request: r, JobID: id})
		}
	case operation == wire.CancelSuffix:
		if allowMethod(r, "POST") && allowJobID(r, id) {
			c.apiServer.Tell(apiserver.Cancel{Request: r, JobID: id})
		}
	default:
		respondNotFound(r)
	}
}

// allowMethod returns whether a request has a method, and refuses it if not.
func allowMethod(r *server.Request, method string) bool {
	if r.Method == method {
		return true
	}
	r.Respond(&httpwire.Response{Status: 405, Allow: method, Body: []byte(`{"error":"method not allowed"}`)})
	return false
}

// allowJobID returns whether an id may be a job's, and refuses the request if not.
func allowJobID(r *server.Request, id string) bool {
	if wire.ValidJobID(id) {
		return true
	}
	respondNotFound(r)
	return false
}

func respondNotFound(r *server.Request) {
	r.Respond(&httpwire.Response{Status: 404, Body: []byte(`{"error":"not found"}`)})
}
