package constants

import "time"

// Front: connections of users, workers and health checks.
const (
	// MaxRequestBody is the protocol's limit on a request's body (bytes).
	MaxRequestBody = 64 << 10
	// MaxHeaderBytes bounds a message's first line and headers (bytes); real ones
	// take a few hundred.
	MaxHeaderBytes = 8 << 10
	// ServerReadBufferSize is what the event loop reads at once (bytes): a whole
	// usual report, without holding much memory.
	ServerReadBufferSize = 16 << 10
	// ServerIdleCheckInterval is how often idle connections are looked for.
	ServerIdleCheckInterval = time.Second
	// ServerIdleTimeout ends connections without a request: twenty report periods
	// of a slow deployment, so that no worker or poller is cut off.
	ServerIdleTimeout = 60 * time.Second
	// ServerReclaimIdle is after which time without a request a connection may be
	// closed for a new one when there are no more: workers report and users ask
	// more often.
	ServerReclaimIdle = 15 * time.Second
	// ServerSlowRequestTimeout ends connections that sent part of a request and
	// stopped: users give up after 5 s themselves.
	ServerSlowRequestTimeout = 10 * time.Second
	// ReservedSockets are kept from the front for state service, cloud,
	// workers and peers: at least so many, and of many sockets one in so many
	// (sockets, part).
	ReservedSockets        = 256
	ReservedSocketsDivisor = 6
	// NonCommandSockets of those are for anything but direct commands (sockets).
	NonCommandSockets = 64
	// ServerCrowdedEighths: with more than that many eighths of the front's sockets in
	// use, answers end their connections. All workers of a large fleet may come
	// to one controller; between two reports they must not shut out users and
	// health checks (eighths).
	ServerCrowdedEighths = 7
)
