package constants

import "time"

// HTTP server: connections of users, workers and health checks.
const (
	// MaxRequestBody is the protocol's limit on a request's body (bytes).
	MaxRequestBody = 64 << 10
	// MaxHeaderBytes bounds a message's first line and headers (bytes); real ones
	// take a few hundred.
	MaxHeaderBytes = 8 << 10
	// ServerReadBufferSize is how much the event loop reads at once (bytes): a whole
	// heartbeat of usual size, without holding much memory.
	ServerReadBufferSize = 16 << 10
	// ServerIdleCheckInterval is how often the server looks for idle connections.
	ServerIdleCheckInterval = time.Second
	// ServerIdleTimeout closes connections without a request: twenty heartbeat periods
	// of a slow deployment, so that no worker or polling user is cut off.
	ServerIdleTimeout = 60 * time.Second
	// ServerReclaimIdle is the time without a request after which a connection may be
	// closed for a new one when all are in use: workers send heartbeats and users poll
	// more often than that.
	ServerReclaimIdle = 15 * time.Second
	// ServerSlowRequestTimeout closes connections that sent part of a request and
	// stopped: users give up after 5 s themselves.
	ServerSlowRequestTimeout = 10 * time.Second
	// ReservedSockets are kept from the HTTP server for the key-value store, the cloud,
	// workers and other controllers: at least this many, and of a larger limit one in
	// ReservedSocketsDivisor (sockets, divisor).
	ReservedSockets        = 256
	ReservedSocketsDivisor = 6
	// NonCommandSockets of the reserved ones are for anything but direct commands
	// (sockets).
	NonCommandSockets = 64
	// ServerNearlyFullEighths: with more than this many eighths of the server's sockets in
	// use, responses end their connections. All workers of a large fleet may turn to one
	// controller; between two heartbeats they must not shut out users and health checks
	// (eighths).
	ServerNearlyFullEighths = 7
)
