package audit

import (
	"sync"
	"time"

	"github.com/apex/log"

	"baobabstep/core/config"
)

// Log writes one line for each version that comes into force on a VM.
type Log struct {
	to log.Interface
	vm string

	mu   sync.Mutex
	last uint64
}

// NewLog returns a log for the VM called vm.
func NewLog(to log.Interface, vm string) *Log { return &Log{to: to, vm: vm} }

// InForce writes the line for the version, unless it was written before. It
// may be called as often as convenient.
func (l *Log) InForce(now time.Time, s *config.Set) {
	if s == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Manifest.Version <= l.last {
		return
	}
	e := &s.Manifest.Entry
	l.to.WithFields(log.Fields{
		"vm": l.vm, "version": s.Manifest.Version, "previous_version": l.last, "digest": s.Digest.String(),
		"change_id": e.ChangeID, "operator": e.Operator, "action": e.Action, "subject": e.Subject, "reason": e.Reason,
		"accepted_at": e.At, "in_force_at": now.UTC(),
	}).Info("configuration in force")
	l.last = s.Manifest.Version
}
