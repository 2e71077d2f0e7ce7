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

// SizeLimits are the limits on a record, as they are and as they will be.
type SizeLimits struct {
	Current, Next int // bytes; Next is the smaller
	// PackingEnabled: no process of the version before can come any more, which could not
	// read a packed record.
	PackingEnabled bool
}

// Encode writes a job's record so that it can be stored; ok is false if it cannot
// be. A record of usual size is written plainly. One that the version before left
// larger than the limit to come stays plain while that version may still read it,
// as the old limit holds as long, and is packed afterwards.
func (z SizeLimits) Encode(j, was *Job) (value json.RawMessage, ok bool) {
	plain := Encode(j)
	switch {
	case len(plain) <= z.Next:
		return plain, true
	case z.PackingEnabled:
		packed := packJob(j)
		if len(packed) > z.Next && j.End != "" {
			// A job that is over is placed nowhere any more: what says where it
			// may run can go, so that it can always end.
			bare := *j
			bare.Spec.Types, bare.Spec.Image, bare.Spec.Zone = nil, "", ""
			packed = packJob(&bare)
		}
		return packed, len(packed) <= z.Next
	}
	return plain, len(plain) <= z.Current && was != nil && sizeAtEnd(was) > z.Next
}

// EncodeWithHeadroom says whether a record with new pieces can be stored now and to its end.
func (z SizeLimits) EncodeWithHeadroom(j, was *Job) (value json.RawMessage, ok bool) {
	value, ok = z.Encode(j, was)
	return value, ok && (z.PackingEnabled || sizeAtEnd(j) <= max(z.Next, sizeAtEnd(was)))
}

// sizeAtEnd is the most that a record takes later without new pieces: all of them
// closed, and its end told.
func sizeAtEnd(j *Job) int {
	n := len(Encode(j)) + len(`,"end":"cancelled"`)
	for _, ch := range j.Assignments {
		if !ch.Closed {
			n += len(`,"c":true`)
		}
	}
	return n
}

// FitsUntilEnd says whether a job could be stored to its end: with a piece in each of
// so many shards, closed or not, and its end told.
func (z SizeLimits) FitsUntilEnd(j *Job, shards []string) bool {
	full := *j
	full.End = "cancelled "
	full.Attempt = 1 << 32
	for i, p := range shards {
		full.Assignments = append(full.Assignments, Assignment{From: j.Spec.Tasks - i, To: j.Spec.Tasks, Shard: p, Closed: true, KeepWaiting: true, Guaranteed: true})
	}
	return len(Encode(full)) <= z.Next
}

// A packed record is an array, which the version before cannot take for a job and
// leaves alone: the record without assignments, the assignments as runs, and the names of
// the shards in them. If that is still too large it is an array of one string,
// the same compressed.

// Codes of a run: a gap, closed, and from codeOpen on four for each shard.
const (
	codeGap = iota
	codeClosed
	codeOpen
	codeKeep       = 1
	codeGuaranteed = 2
	codesAShard    = 4
)

const codeDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"

func packJob(j *Job) json.RawMessage {
	bare := *j
	bare.Assignments = nil
	var runs strings.Builder
	shards := []string{}
	index := map[string]int{}
	run := func(code, n int) {
		if n <= 0 {
			return
		}
		var b []byte
		for {
			b = append(b, codeDigits[code%len(codeDigits)])
			if code /= len(codeDigits); code == 0 {
				break
			}
		}
		runs.Write(b)
		runs.WriteString(strconv.FormatInt(int64(n), 36))
	}
	at := 0
	for _, ch := range j.Assignments {
		run(codeGap, ch.From-at)
		at = ch.To
		if ch.Closed {
			run(codeClosed, ch.Tasks())
			continue
		}
		i, ok := index[ch.Shard]
		if !ok {
			i = len(shards)
			index[ch.Shard] = i
			shards = append(shards, ch.Shard)
		}
		code := codeOpen + i*codesAShard
		if ch.KeepWaiting {
			code += codeKeep
		}
		if ch.Guaranteed {
			code += codeGuaranteed
		}
		run(code, ch.Tasks())
	}
	plain := Encode([]any{bare, runs.String(), shards})
	var z bytes.Buffer
	w, err := flate.NewWriter(&z, flate.BestCompression)
	if err == nil {
		if _, err = w.Write(plain); err == nil {
			err = w.Close()
		}
	}
	if err != nil {
		panic(fmt.Sprintf("records: packing: %v", err)) // into memory: cannot happen
	}
	if small := Encode([]string{base64.StdEncoding.EncodeToString(z.Bytes())}); len(small) < len(plain) {
		return small
	}
	return plain
}

var errNotPacked = errors.New("not a packed record")

// unpackJob reads what pack wrote.
func unpackJob(data []byte, j *Job) error {
	var elements []json.RawMessage
	if err := wire.Decode(data, &elements); err != nil {
		return err
	}
	if len(elements) == 1 {
		var text string
		if err := wire.Decode(elements[0], &text); err != nil {
			return err
		}
		z, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return err
		}
		plain, err := io.ReadAll(flate.NewReader(bytes.NewReader(z)))
		if err != nil {
			return err
		}
		if err := wire.Decode(plain, &elements); err != nil {
			return err
		}
	}
	if len(elements) != 3 {
		return errNotPacked
	}
	var runs string
	var names []string
	if err := errors.Join(wire.Decode(elements[0], j), wire.Decode(elements[1], &runs), wire.Decode(elements[2], &names)); err != nil {
		return err
	}
	at := 0
	for len(runs) > 0 {
		code, scale := 0, 1
		for len(runs) > 0 && strings.IndexByte(codeDigits, runs[0]) >= 0 {
			code += scale * strings.IndexByte(codeDigits, runs[0])
			scale *= len(codeDigits)
			runs = runs[1:]
		}
		end := strings.IndexAny(runs, codeDigits)
		if end < 0 {
			end = len(runs)
		}
		n, err := strconv.ParseInt(runs[:end], 36, 32)
		if err != nil || n <= 0 {
			return errNotPacked
		}
		runs = runs[end:]
		ch := Assignment{From: at, To: at + int(n)}
		at = ch.To
		switch {
		case code == codeGap:
			continue
		case code == codeClosed:
			ch.Closed = true
		default:
			code -= codeOpen
			if code/codesAShard >= len(names) {
				return errNotPacked
			}
			ch.Shard = names[code/codesAShard]
			ch.KeepWaiting = code%codesAShard&codeKeep != 0
			ch.Guaranteed = code%codesAShard&codeGuaranteed != 0
		}
		j.Assignments = append(j.Assignments, ch)
	}
	return nil
}
