package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong decision for each kind of row that a claim can conflict
// with.
func TestClaimConflicts(t *testing.T) {
	self := Incarnation{"entry-1", 1}
	result := &Result{Status: 200}
	for name, c := range map[string]struct {
		stored  row
		verdict Verdict // 0: the claim is sent again
		reason  string
	}{
		"foreign done":          {row{State: stateDone, Entry: "entry-2", Incarnation: 2, Result: result}, Recorded, ""},
		"foreign unknown":       {row{State: stateUnknown, Entry: "entry-2", Incarnation: 2}, Unknown, ""},
		"foreign claimed":       {row{State: stateClaimed, Entry: "entry-2", Incarnation: 2}, PassTo, ""},
		"foreign not run":       {row{State: stateNotRun, Entry: "entry-2", Incarnation: 2}, 0, ""},
		"earlier incarnation":   {row{State: stateClaimed, Entry: "entry-1", Incarnation: 9}, PassTo, ""},
		"own, earlier attempt":  {row{State: stateClaimed, Entry: "entry-1", Incarnation: 1, Attempt: "a0"}, 0, ""},
		"own done":              {row{State: stateDone, Entry: "entry-1", Incarnation: 1, Attempt: "a0", Result: result}, Recorded, ""},
		"other request":         {row{State: stateNotRun, Fingerprint: testFingerprint}, NotRun, ReasonKeyMismatch},
		"recorded without body": {row{State: stateDone, Result: &Result{Truncated: true}}, Recorded, ReasonRecordedWithoutBody},
	} {
		t.Run(name, func(t *testing.T) {
			m := stateMachine{self: self}
			m.start("a1")
			require.NotNil(t, m.startWrite(time.Time{}))
			e := m.writeConflicted(4, &c.stored)
			require.False(t, e.grant)
			if c.verdict == 0 {
				require.Nil(t, e.decision)
				require.Equal(t, stateClaimed, m.startWrite(time.Time{}).State)
				require.EqualValues(t, 4, m.version)
				require.True(t, m.writeCommitted().grant)
				return
			}
			require.NotNil(t, e.decision)
			require.Equal(t, c.verdict, e.decision.Verdict)
			require.Equal(t, c.reason, e.decision.Reason)
			require.True(t, m.fullyWritten())
			if c.verdict == PassTo {
				require.Equal(t, c.stored.owner(), e.decision.PassTo)
			}
		})
	}
}

// Guards against a claim that took effect although its reply was lost, and that is
// mistaken for the claim of another attempt.
func TestLostReply(t *testing.T) {
	m := stateMachine{}
	m.start("a1")
	written := *m.startWrite(time.Time{})
	m.writeFailed(true, maxAttemptFailures)
	m.startWrite(time.Time{})
	require.True(t, m.writeConflicted(1, &written).grant)
}
