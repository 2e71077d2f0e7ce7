package controller

import (
	"strings"

	"ravenport/apiserver"
	"ravenport/httpwire"
	"ravenport/server"
	"ravenport/wire"
)

// Read-only paths for operators, in addition to the paths of the wire protocol.
const (
	PathStatus  = "/status"
	PathMetrics = "/metrics"
)

// route passes a request to the actor that answers it. It runs on the server's event loop
// and must not block.
func (c *Controller) route(req *server.Request) {
	path, _, _ := strings.Cut(req.Target, "?")
	switch path {
	case wire.PathHeartbeat:
		c.routeHeartbeat(req)
	case wire.PathHealth:
		if allowMethod(req, "GET") {
			c.control.Tell(healthRequest{req})
		}
	case wire.PathJobs:
		if allowMethod(req, "POST") {
			c.apiServer.Tell(apiserver.Submit{Request: req, Body: req.Body})
		}
	case PathStatus:
		if allowMethod(req, "GET") {
			c.control.Tell(statusRequest{req})
		}
	case PathMetrics:
		if allowMethod(req, "GET") {
			c.apiServer.Tell(apiserver.GetMetrics{Request: req})
		}
	default:
		c.routeJob(req, path)
	}
}

// routeHeartbeat passes a worker's heartbeat to the control actor.
func (c *Controller) routeHeartbeat(req *server.Request) {
	if !allowMethod(req, "POST") {
		return
	}
	heartbeat, err := wire.ParseHeartbeat(req.Body)
	if err != nil {
		req.Respond(&httpwire.Response{Status: 400, Body: []byte(`{"error":"malformed report"}`)})
		return
	}
	c.control.Tell(workerHeartbeat{req, heartbeat})
}

// routeJob passes a request about a single job to the API server.
func (c *Controller) routeJob(req *server.Request, path string) {
	job, ok := strings.CutPrefix(path, wire.PathJobs+"/")
	if !ok {
		respondNotFound(req)
		return
	}
	id, operation, hasOperation := strings.Cut(job, "/")
	switch {
	case !hasOperation:
		if allowMethod(req, "GET") && allowJobID(req, id) {
			c.apiServer.Tell(apiserver.Poll{Request: req, JobID: id})
		}
	case operation == wire.CancelSuffix:
		if allowMethod(req, "POST") && allowJobID(req, id) {
			c.apiServer.Tell(apiserver.Cancel{Request: req, JobID: id})
		}
	default:
		respondNotFound(req)
	}
}

// allowMethod returns whether a request has the given method, and answers the request with
// status 405 if it does not.
func allowMethod(req *server.Request, method string) bool {
	if req.Method == method {
		return true
	}
	req.Respond(&httpwire.Response{Status: 405, Allow: method, Body: []byte(`{"error":"method not allowed"}`)})
	return false
}

// allowJobID returns whether id is a valid job id, and answers the request with status 404
// if it is not.
func allowJobID(req *server.Request, id string) bool {
	if wire.ValidJobID(id) {
		return true
	}
	respondNotFound(req)
	return false
}

func respondNotFound(req *server.Request) {
	req.Respond(&httpwire.Response{Status: 404, Body: []byte(`{"error":"not found"}`)})
}
