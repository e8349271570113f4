package baobabstep

import (
	"errors"
	"fmt"
)

// Code is a numbered result code. Codes appear on the wire, in logs and as the
// last part of error texts; docs/RESULT_CODES.md lists them all. A number is
// never given to another meaning.
type Code uint16

// Result codes. 1xx: flows; 2xx: requests; 3xx: configuration; 4xx: platform
// and peers; 5xx: settings and input; 9xx: faults of the program.
const (
	CodeOK Code = 0

	// CodeUnknownFlow: no VM and no target knows the flow.
	CodeUnknownFlow Code = 101
	// CodeTargetGone: the flow's target died or forgot the flow.
	CodeTargetGone Code = 102
	// CodeFlowSilent: one end stayed silent over all probes.
	CodeFlowSilent Code = 103
	// CodeNoCapacity: every target of the service is at its limit.
	CodeNoCapacity Code = 104
	// CodeNoTarget: the service has no target that may take new work.
	CodeNoTarget Code = 105
	// CodeWrongService: the packet named another service or target.
	CodeWrongService Code = 106
	// CodeTargetLeaving: the target takes no new work.
	CodeTargetLeaving Code = 107
	// CodeTableFull: the VM cannot hold another half-open flow.
	CodeTableFull Code = 108

	// CodeRefusedNotRun: the request was not run, and will not be.
	CodeRefusedNotRun Code = 201
	// CodeOutcomeUnknown: the request may or may not have run.
	CodeOutcomeUnknown Code = 202
	// CodeDeadlineExceeded: the time ran out before the request was run.
	CodeDeadlineExceeded Code = 203
	// CodeOverloaded: refused early and not run; RetryAfter says when.
	CodeOverloaded Code = 204
	// CodeCancelled: the caller withdrew the request before it was run.
	CodeCancelled Code = 205
	// CodeShed: a target refused the attempt without running it.
	CodeShed Code = 206
	// CodeAnswerTooLarge: the answer did not fit the reassembly limit.
	CodeAnswerTooLarge Code = 207
	// CodeStopping: the VM is stopping and did not run the request.
	CodeStopping Code = 208

	// CodeConflict: another change came first.
	CodeConflict Code = 301
	// CodeInvalid: the input does not satisfy the rules.
	CodeInvalid Code = 302
	// CodeDangerous: valid, but needs to be confirmed by name.
	CodeDangerous Code = 303
	// CodeNotFound: no such key, account, template or draft.
	CodeNotFound Code = 304
	// CodeOldVersion: the version is older than the one in force.
	CodeOldVersion Code = 305
	// CodeAuditBroken: the audit trail does not verify.
	CodeAuditBroken Code = 306

	// CodePlatformUnavailable: the platform did not take the call.
	CodePlatformUnavailable Code = 401
	// CodePlatformUnknown: the platform may have taken the write.
	CodePlatformUnknown Code = 402
	// CodeCompacted: the platform no longer has the revisions asked for.
	CodeCompacted Code = 403
	// CodeBudgetSpent: the budget for platform calls is used up.
	CodeBudgetSpent Code = 404
	// CodePeerUnreachable: no connection to the peer.
	CodePeerUnreachable Code = 405
	// CodeUnauthenticated: the sender did not prove who it is.
	CodeUnauthenticated Code = 406
	// CodeIncomplete: the VM lacks what it needs to answer, and says so.
	CodeIncomplete Code = 407

	// CodeSettings: the settings file is wrong.
	CodeSettings Code = 501
	// CodeMalformed: a datagram or message could not be decoded.
	CodeMalformed Code = 502
	// CodeForeignVersion: a datagram of another protocol version.
	CodeForeignVersion Code = 503
	// CodeTooLarge: the input is larger than the limit.
	CodeTooLarge Code = 504
	// CodeUsage: the command line is wrong.
	CodeUsage Code = 505

	// CodeInternal: a broken invariant.
	CodeInternal Code = 901
)

// Error is an error with a result code.
type Error struct {
	Code Code
	// Op names the operation that failed, as "config.accept".
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
// It uses the standard library alone: every program links this package, and one
// that starts on a tenth of a core waits for each library that it links.
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
