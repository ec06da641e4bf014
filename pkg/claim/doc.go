// Package claim runs a request at most once for each idempotency key.
//
// Invariant: a key is dispatched again only if every earlier dispatch of the
// key is proved not to have run. The following rules ensure it:
//
//   - A caller-made key is dispatched only after its table row is known to be
//     "claimed" by this incarnation with the attempt id of the ticket.
//   - A "claimed" row is overwritten only by the incarnation that it names, by
//     the executor of its attempt (RecordOutcome), which writes "done" only, or by
//     an operator (Resolve). The last two may also replace "unknown". "done" is
//     never overwritten. A "not_run" row may be replaced by any incarnation.
//     Every write is conditional on the row version, so a delayed write cannot
//     replace a newer one.
//   - An incarnation removes a caller-made key from memory only when no write of
//     the key is in doubt. A "claimed" row of this incarnation whose attempt is
//     not in memory was therefore never dispatched and may be claimed again.
//   - An entry-issued key is dispatched only by its owner. The owner keeps every
//     key that it ran in memory, or has written its row to the store and keeps
//     Manager.evictedThrough at or after the creation time of the key. A key that
//     is not in memory and not newer than that time is claimed in the store like
//     a caller-made key.
//   - The age of a key is measured with a clock that never goes back, so that a
//     key is permanently refused before its row expires.
//   - Another entry instance answers "not run" for an entry-issued key only if
//     the owner sealed itself after every dispatched key had a row, and the key
//     has none.
//   - A ticket ends once, and a ticket that has ended cannot be dispatched.
//
// A late attempt, such as a delayed duplicate of an earlier one, is decided by
// the current state of its key like any new attempt: it gets the recorded
// result, waits for the request in flight, or runs if all earlier attempts
// ended not run.
//
// stateMachine holds the state of one key; it does no I/O and reads no clock.
// Manager adds locking, waiting callers and group commit.
package claim
