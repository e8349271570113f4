package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// broken are the descriptions of broken rules.
	broken []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

// breakf notes a broken rule.
func (r *record) breakf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := "BROKEN " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.write(text)
}

func (r *record) write(text string) {
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), text)
}

// verdict writes and returns how many times a rule was broken, and closes the file.
func (r *record) verdict() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf("broken rules: %d", len(r.broken)))
	_ = r.file.Close()
	return len(r.broken)
}
