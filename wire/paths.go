package wire

import "strconv"

// Keys and names are not escaped in queries: ravenport uses only characters that need no
// escaping there.

// KeyPath returns the path of one key of the key-value store.
func KeyPath(key string) string { return PathKV + "/" + key }

// ListPath returns the path that lists at most limit keys with a prefix. The page
// begins with the first key that follows after; after is empty for the first page.
func ListPath(prefix, after string, limit int) string {
	path := PathKV + "?under=" + prefix
	if after != "" {
		path += "&from=" + after
	}
	return path + "&limit=" + strconv.Itoa(limit)
}

// WatchPath returns the path that watches the keys with a prefix for changes after a
// revision. The store answers after at most waitMS (ms).
func WatchPath(prefix string, after uint64, waitMS int64) string {
	return PathWatch + "?under=" + prefix + "&from=" + strconv.FormatUint(after, 10) +
		"&block_ms=" + strconv.FormatInt(waitMS, 10)
}

// RenewPath returns the path that renews a lease.
func RenewPath(lease uint64) string {
	return PathLeases + "/" + strconv.FormatUint(lease, 10) + "/" + renewSuffix
}

// MachinesPath returns the path that lists at most limit machines of the cloud. The
// page begins with the first name that follows after; after is empty for the first
// page.
func MachinesPath(after string, limit int) string {
	path := PathMachines + "?limit=" + strconv.Itoa(limit)
	if after != "" {
		path += "&from=" + after
	}
	return path
}
