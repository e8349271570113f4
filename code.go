package baobabstep

import (
	"errors"
	"fmt"
)

// Code is a numeric result code. Codes appear on the wire, in logs and at the
// end of error texts; docs/RESULT_CODES.md lists them all. Numbers are never
// reused.
type Code uint16

// Result codes. 1xx: flows; 2xx: requests; 3xx: configuration; 4xx: platform
// and peers; 5xx: settings and input; 9xx: internal errors.
const (
	CodeOK Code = 0

	// CodeUnknownFlow: no VM and no target has state of the flow.
	CodeUnknownFlow Code = 101
	// CodeTargetGone: the flow's target died or lost the flow's state.
	CodeTargetGone Code = 102
	// CodeFlowSilent: one end of the flow answered none of the probes.
	CodeFlowSilent Code = 103
	// CodeNoCapacity: every target of the service is at its limit.
	CodeNoCapacity Code = 104
	// CodeNoTarget: no target of the service may take new work.
	CodeNoTarget Code = 105
	// CodeWrongService: the packet named another service or target.
	CodeWrongService Code = 106
	// CodeTargetLeaving: the target takes no new work.
	CodeTargetLeaving Code = 107
	// CodeTableFull: the VM cannot hold another half-open flow.
	CodeTableFull Code = 108

	// CodeRefusedNotRun: the request was not run and will not be.
	CodeRefusedNotRun Code = 201
	// CodeOutcomeUnknown: the request may or may not have run.
	CodeOutcomeUnknown Code = 202
	// CodeDeadlineExceeded: the deadline passed before the request was run.
	CodeDeadlineExceeded Code = 203
	// CodeOverloaded: refused early and not run; RetryAfter says when to retry.
	CodeOverloaded Code = 204
	// CodeCancelled: the caller cancelled the request before it was run.
	CodeCancelled Code = 205
	// CodeShed: a target refused the attempt without running it.
	CodeShed Code = 206
	// CodeAnswerTooLarge: the answer did not fit the reassembly limit.
	CodeAnswerTooLarge Code = 207
	// CodeStopping: the VM is stopping and did not run the request.
	CodeStopping Code = 208

	// CodeConflict: the base version or revision is no longer the current one.
	CodeConflict Code = 301
	// CodeInvalid: the input violates a validation rule.
	CodeInvalid Code = 302
	// CodeDangerous: valid, but has to be confirmed by name.
	CodeDangerous Code = 303
	// CodeNotFound: no such key, account, template or draft.
	CodeNotFound Code = 304
	// CodeOldVersion: the version is older than the one in force.
	CodeOldVersion Code = 305
	// CodeAuditBroken: the audit trail failed verification.
	CodeAuditBroken Code = 306

	// CodePlatformUnavailable: the platform did not accept the call.
	CodePlatformUnavailable Code = 401
	// CodePlatformUnknown: the platform may or may not have applied the write.
	CodePlatformUnknown Code = 402
	// CodeCompacted: the platform no longer has the revisions asked for.
	CodeCompacted Code = 403
	// CodeBudgetSpent: the budget for platform calls is exhausted.
	CodeBudgetSpent Code = 404
	// CodePeerUnreachable: there is no connection to the peer.
	CodePeerUnreachable Code = 405
	// CodeUnauthenticated: the sender is not authenticated.
	CodeUnauthenticated Code = 406
	// CodeIncomplete: the VM lacks data that it needs to answer.
	CodeIncomplete Code = 407

	// CodeSettings: the settings file is invalid.
	CodeSettings Code = 501
	// CodeMalformed: a datagram or message could not be decoded.
	CodeMalformed Code = 502
	// CodeForeignVersion: the datagram has another protocol version.
	CodeForeignVersion Code = 503
	// CodeTooLarge: the input is larger than the limit.
	CodeTooLarge Code = 504
	// CodeUsage: the command line is invalid.
	CodeUsage Code = 505

	// CodeInternal: an invariant was violated.
	CodeInternal Code = 901
)

// Error is an error with a result code.
type Error struct {
	Code Code
	// Op names the operation that failed, for example "config.accept".
	Op  string
	Err error
}

// Error returns the operation, the cause and the code.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %v (%d %v)", e.Op, e.Err, uint16(e.Code), e.Code)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Errorf returns an error with a code; format may use %w.
//
// Only the standard library is used: every program links this package, and each
// linked library delays the start of a program that has a tenth of a core.
func Errorf(code Code, op, format string, args ...any) error {
	return &Error{Code: code, Op: op, Err: fmt.Errorf(format, args...)}
}

// CodeOf returns the code of err: CodeOK for nil, CodeInternal for an error
// without a code.
func CodeOf(err error) Code {
	if err == nil {
		return CodeOK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeInternal
}
