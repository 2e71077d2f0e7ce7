package wire

import (
	"strconv"
)

// KeyPath is the path of one key.
func KeyPath(key string) string { return PathKV + "/" + key }

// Keys and names go into queries as they are: ravenport uses only characters
// that need no escaping there.

// ListPath is the path that lists the keys under a prefix after a key.
func ListPath(prefix, after string, limit int) string {
	q := PathKV + "?under=" + prefix
	if after != "" {
		q += "&from=" + after
	}
	return q + "&limit=" + strconv.Itoa(limit)
}

// WatchPath is the path that follows a prefix from a revision on.
func WatchPath(prefix string, from uint64, waitMS int64) string {
	return PathWatch + "?under=" + prefix + "&from=" + strconv.FormatUint(from, 10) +
		"&block_ms=" + strconv.FormatInt(waitMS, 10)
}

// RenewPath is the path that renews a lease.
func RenewPath(lease uint64) string {
	return PathLeases + "/" + strconv.FormatUint(lease, 10) + "/" + renewSuffix
}

// MachinesPath is the path that lists machines after a name.
func MachinesPath(after string, limit int) string {
	q := PathMachines + "?limit=" + strconv.Itoa(limit)
	if after != "" {
		q += "&from=" + after
	}
	return q
}
