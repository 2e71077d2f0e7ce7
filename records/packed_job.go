package records

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"ravenport/wire"
)

// A packed record is a JSON array. The previous version cannot decode an array as a job and
// therefore leaves the record unchanged. The array has three elements:
//
//   - the job without its assignments,
//   - the assignments, run-length encoded as a string of runs,
//   - the names of the shards in the assignments.
//
// If compression makes the record shorter, the record is instead an array of one string:
// the base64 encoding of the array of three elements, compressed with DEFLATE.
//
// A run represents consecutive tasks. It is encoded as a code in upper-case letters,
// followed by the number of tasks in base 36 with lower-case letters. The code is a number
// in base 26 with the least significant digit first. It identifies the kind of assignment
// that the tasks are in.

// Codes of a run. The codes of open assignments start at runOpen. Each shard has
// openCodesPerShard codes: the shard's first code plus the flags of the assignment.
const (
	runUnassigned = 0
	runClosed     = 1
	runOpen       = 2

	openCodesPerShard   = 4
	openFlagKeepWaiting = 1
	openFlagGuaranteed  = 2
)

// codeDigits are the digits of a run's code. They are disjoint from the digits of the
// number of tasks, which is in base 36 with lower-case letters.
const codeDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"

// taskCountBase is the base of a run's number of tasks.
const taskCountBase = 36

// packedElements is the number of elements of a packed record that is not compressed.
const packedElements = 3

// maxUnpackedSize limits the decompressed size of a packed record (bytes). A job of 100,000
// tasks, each in a separate assignment, takes less than a tenth of this limit. Without the
// limit, a damaged value of 16 KiB could decompress to 16 MiB.
const maxUnpackedSize = 4 << 20

var errMalformedPackedJob = errors.New("records: malformed packed job record")

// isPackedJob reports whether a job's stored record is packed rather than a plain JSON
// object.
func isPackedJob(data []byte) bool { return len(data) > 0 && data[0] == '[' }

// packJob encodes a job as a packed record.
func packJob(job *Job) json.RawMessage {
	withoutAssignments := *job
	withoutAssignments.Assignments = nil
	runs, shards := encodeRuns(job.Assignments)
	packed := Encode([]any{withoutAssignments, runs, shards})
	compressed := Encode([]string{base64.StdEncoding.EncodeToString(deflate(packed))})
	if len(compressed) < len(packed) {
		return compressed
	}
	return packed
}

// unpackJob decodes a packed record into job.
func unpackJob(data []byte, job *Job) error {
	var elements []json.RawMessage
	if err := wire.Decode(data, &elements); err != nil {
		return err
	}
	if len(elements) == 1 {
		packed, err := decompress(elements[0])
		if err != nil {
			return err
		}
		if err := wire.Decode(packed, &elements); err != nil {
			return err
		}
	}
	if len(elements) != packedElements {
		return errMalformedPackedJob
	}
	var runs string
	var shards []string
	err := errors.Join(
		wire.Decode(elements[0], job),
		wire.Decode(elements[1], &runs),
		wire.Decode(elements[2], &shards),
	)
	if err != nil {
		return err
	}
	return decodeRuns(job, runs, shards)
}

// encodeRuns encodes assignments as runs. shards are the names of the shards of the open
// assignments, in the order of their codes.
func encodeRuns(assignments []Assignment) (runs string, shards []string) {
	var encoded []byte
	shards = []string{}
	shardIndex := map[string]int{}
	next := 0 // the first task that is not encoded yet
	for _, assignment := range assignments {
		encoded = appendRun(encoded, runUnassigned, assignment.From-next)
		next = assignment.To
		if assignment.Closed {
			encoded = appendRun(encoded, runClosed, assignment.Tasks())
			continue
		}
		index, ok := shardIndex[assignment.Shard]
		if !ok {
			index = len(shards)
			shardIndex[assignment.Shard] = index
			shards = append(shards, assignment.Shard)
		}
		encoded = appendRun(encoded, openRunCode(assignment, index), assignment.Tasks())
	}
	return string(encoded), shards
}

// openRunCode returns the code of an open assignment in the shard at shardIndex.
func openRunCode(assignment Assignment, shardIndex int) int {
	code := runOpen + shardIndex*openCodesPerShard
	if assignment.KeepWaiting {
		code += openFlagKeepWaiting
	}
	if assignment.Guaranteed {
		code += openFlagGuaranteed
	}
	return code
}

// appendRun appends a run of the given number of tasks, or nothing if tasks is not positive.
func appendRun(runs []byte, code, tasks int) []byte {
	if tasks <= 0 {
		return runs
	}
	for {
		runs = append(runs, codeDigits[code%len(codeDigits)])
		code /= len(codeDigits)
		if code == 0 {
			break
		}
	}
	return strconv.AppendInt(runs, int64(tasks), taskCountBase)
}

// decodeRuns decodes runs and appends their assignments to the job.
func decodeRuns(job *Job, runs string, shards []string) error {
	next := 0 // the first task that is not decoded yet
	codeCount := runOpen + len(shards)*openCodesPerShard
	for len(runs) > 0 {
		code, tasks, rest, err := readRun(runs, codeCount)
		if err != nil {
			return err
		}
		runs = rest
		if tasks > job.Spec.Tasks-next {
			return errMalformedPackedJob
		}
		assignment := Assignment{From: next, To: next + tasks}
		next = assignment.To
		switch code {
		case runUnassigned:
			continue
		case runClosed:
			assignment.Closed = true
		default:
			openCode := code - runOpen
			flags := openCode % openCodesPerShard
			assignment.Shard = shards[openCode/openCodesPerShard]
			assignment.KeepWaiting = flags&openFlagKeepWaiting != 0
			assignment.Guaranteed = flags&openFlagGuaranteed != 0
		}
		job.Assignments = append(job.Assignments, assignment)
	}
	return nil
}

// readRun decodes the first run and returns the remaining runs as rest. It returns an error
// if the code of the run is not below codeCount.
func readRun(runs string, codeCount int) (code, tasks int, rest string, err error) {
	code, runs, err = readCode(runs, codeCount)
	if err != nil {
		return 0, 0, "", err
	}
	end := strings.IndexAny(runs, codeDigits)
	if end < 0 {
		end = len(runs)
	}
	n, err := strconv.ParseInt(runs[:end], taskCountBase, 32)
	if err != nil || n <= 0 {
		return 0, 0, "", errMalformedPackedJob
	}
	return code, int(n), runs[end:], nil
}

// readCode decodes the code at the start of a run and returns the rest of runs. A code with
// more digits than the largest valid code is rejected before it can overflow.
func readCode(runs string, codeCount int) (code int, rest string, err error) {
	digits := 0
	for scale := 1; digits < len(runs); scale *= len(codeDigits) {
		digit := strings.IndexByte(codeDigits, runs[digits])
		if digit < 0 {
			break
		}
		if scale >= codeCount {
			return 0, "", errMalformedPackedJob
		}
		code += scale * digit
		digits++
	}
	if digits == 0 || code >= codeCount {
		return 0, "", errMalformedPackedJob
	}
	return code, runs[digits:], nil
}

// deflate compresses data with DEFLATE.
func deflate(data []byte) []byte {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err == nil {
		_, err = writer.Write(data)
	}
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		panic(fmt.Sprintf("records: packing: %v", err)) // cannot happen: the writer writes to memory
	}
	return compressed.Bytes()
}

// decompress decodes the only element of a compressed record.
func decompress(element json.RawMessage) ([]byte, error) {
	var text string
	if err := wire.Decode(element, &text); err != nil {
		return nil, err
	}
	compressed, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxUnpackedSize+1)
	unpacked, err := io.ReadAll(reader)
	if err == nil && len(unpacked) > maxUnpackedSize {
		return nil, errMalformedPackedJob
	}
	return unpacked, err
}
