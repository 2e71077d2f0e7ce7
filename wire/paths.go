package wire

import "strconv"

// Keys and names go into queries as they are: ravenport uses only characters that need no
// escaping there.

// KeyPath is the path of one key of the key-value store.
func KeyPath(key string) string { return PathKV + "/" + key }

// ListPath is the path that lists at most limit keys under a prefix, after a key; after
// is empty for the first page.
func ListPath(prefix, after string, limit int) string {
	path := PathKV + "?under=" + prefix
	if after != "" {
		path += "&from=" + after
	}
	return path + "&limit=" + strconv.Itoa(limit)
}

// WatchPath is the path that watches a prefix for changes after a revision, for at most
// waitMS (ms).
func WatchPath(prefix string, after uint64, waitMS int64) string {
	return PathWatch + "?under=" + prefix + "&from=" + strconv.FormatUint(after, 10) +
		"&block_ms=" + strconv.FormatInt(waitMS, 10)
}

// RenewPath is the path that renews a lease.
func RenewPath(lease uint64) string {
	return PathLeases + "/" + strconv.FormatUint(lease, 10) + "/" + renewSuffix
}

// MachinesPath is the path that lists at most limit machines of the cloud, after a name;
// after is empty for the first page.
func MachinesPath(after string, limit int) string {
	path := PathMachines + "?limit=" + strconv.Itoa(limit)
	if after != "" {
		path += "&from=" + after
	}
	return path
}
