package constants

import "time"

// HTTP server: connections of users, workers and health checks.
const (
	// MaxRequestBody is the protocol's limit on the size of a request's body (bytes).
	MaxRequestBody = 64 << 10
	// MaxHeaderBytes bounds a message's first line and headers (bytes). Valid ones take a
	// few hundred bytes.
	MaxHeaderBytes = 8 << 10
	// ServerReadBufferSize is how much the event loop reads at once (bytes): enough for a
	// whole heartbeat of usual size, without holding much memory.
	ServerReadBufferSize = 16 << 10
	// ServerIdleCheckInterval is how often the server checks for idle connections.
	ServerIdleCheckInterval = time.Second
	// ServerIdleTimeout is the time without a request after which the server closes a
	// connection: twenty heartbeat periods of a deployment with long periods, so that no
	// worker or polling user is disconnected.
	ServerIdleTimeout = 60 * time.Second
	// ServerReclaimIdle is the time without a request after which a connection may be closed
	// in favor of a new one when all sockets are in use: workers send heartbeats and users
	// poll more often than that.
	ServerReclaimIdle = 15 * time.Second
	// ServerSlowRequestTimeout replaces ServerIdleTimeout for a connection that has sent only
	// part of a request. Users time out after 5 s themselves.
	ServerSlowRequestTimeout = 10 * time.Second
	// ReservedSockets is the least number of sockets that the HTTP server leaves for the
	// key-value store, the cloud, workers and other controllers (sockets). If the limit on
	// sockets is larger, one in ReservedSocketsDivisor is reserved (divisor).
	ReservedSockets        = 256
	ReservedSocketsDivisor = 6
	// NonCommandSockets is how many of the reserved sockets direct commands may not use
	// (sockets).
	NonCommandSockets = 64
	// ServerNearlyFullEighths is the used part of the server's sockets above which responses
	// close their connections (eighths). All workers of a large fleet may send their
	// heartbeats to one controller; their connections must not shut out users and health
	// checks between two heartbeats.
	ServerNearlyFullEighths = 7
)
