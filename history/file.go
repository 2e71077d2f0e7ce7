package history

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
)

const (
	// damagedSuffix is appended to the name of a damaged file, which is kept in the same
	// directory as the new file.
	damagedSuffix = ".damaged"
	// temporarySuffix is appended to the name of a new file until it replaces the present
	// file.
	temporarySuffix = ".new"
	fileMode        = 0o600
)

// DamageError reports the position up to which a damaged file could be read, and the cause.
type DamageError struct {
	Path   string
	Offset int // number of intact bytes before the damage
	Events int // number of events in the intact bytes
	Cause  error
}

func (d *DamageError) Error() string {
	return fmt.Sprintf("history: %s is damaged after %d bytes (%d events read): %v", d.Path, d.Offset, d.Events, d.Cause)
}

// Unwrap returns the cause.
func (d *DamageError) Unwrap() error { return d.Cause }

// File appends events to a history file. It is not safe for concurrent use.
type File struct {
	path      string
	minEvents int // minimum number of events to keep, once as many were appended
	codec     *codec
	events    []Event // the latest, at most twice minEvents
}

// Open opens or creates a history file that keeps at least the latest minEvents events. If
// the file is damaged, Open renames it and creates a new file with the latest events from
// before the damage. Open then returns both a usable File and a *DamageError.
func Open(path string, minEvents int) (*File, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	f := &File{path: path, minEvents: max(minEvents, 1), codec: c}
	damage, err := f.load()
	if err != nil {
		c.close()
		return nil, err
	}
	if damage != nil {
		return f, damage
	}
	return f, nil
}

// load reads the file, renames it if it is damaged, and writes a new file with the latest
// events.
func (f *File) load() (*DamageError, error) {
	events, err := f.read()
	var damage *DamageError
	if err != nil && !errors.As(err, &damage) {
		return nil, err
	}
	f.events = latest(events, f.minEvents)
	if damage != nil {
		if err := os.Rename(f.path, f.path+damagedSuffix); err != nil {
			return nil, fmt.Errorf("history: renaming a damaged file: %w", err)
		}
	}
	return damage, f.rewrite()
}

// Read reads the events in a history file. If the file is damaged, Read returns the events
// before the damage and a *DamageError.
func Read(path string) ([]Event, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	defer c.close()
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return (&File{path: path, codec: c}).read()
}

// read reads the file. A missing file has no events.
func (f *File) read() ([]Event, error) {
	data, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	events, intactBytes, cause := f.codec.parse(data)
	if cause != nil {
		return events, &DamageError{Path: f.path, Offset: intactBytes, Events: len(events), Cause: cause}
	}
	return events, nil
}

// Append appends events to the file. When the number of events exceeds twice the minimum to
// be kept, Append rewrites the file with only the latest events.
func (f *File) Append(events ...Event) error {
	f.events = append(f.events, events...)
	if len(f.events) > 2*f.minEvents {
		f.events = latest(f.events, f.minEvents)
		return f.rewrite()
	}
	frame, err := f.codec.appendFrame(nil, events)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(f.path, os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	_, err = file.Write(frame)
	if err := errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// Latest returns up to n of the latest events, oldest first.
func (f *File) Latest(n int) []Event { return slices.Clone(latest(f.events, n)) }

// Close releases the resources of the File.
func (f *File) Close() { f.codec.close() }

// rewrite atomically replaces the file by one with the events that are kept. A concurrent
// reader sees either the old file or the new one.
func (f *File) rewrite() error {
	data := []byte(magic)
	if len(f.events) > 0 {
		var err error
		if data, err = f.codec.appendFrame(data, f.events); err != nil {
			return err
		}
	}
	temporary := f.path + temporarySuffix
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	if err := os.Rename(temporary, f.path); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// latest returns up to n of the latest events, oldest first.
func latest(events []Event, n int) []Event { return events[max(0, len(events)-n):] }
