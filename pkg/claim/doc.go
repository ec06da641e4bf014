// Package claim runs a request at most once for each idempotency key.
//
// The invariant: no key is dispatched a second time unless every earlier
// dispatch of that key was proved not run. It rests on these rules:
//
//   - A caller-made key is dispatched only after its table row is known to be
//     "claimed" by this incarnation with the attempt id of the ticket.
//   - A "claimed" row is overwritten only by the incarnation that it names, by
//     the executor of its attempt (RecordOutcome), which writes "done" only, or by
//     an operator (Resolve). The last two may also replace "unknown". "done" is
//     never overwritten. A "not_run" row may be taken over by any incarnation.
//     Every write is conditional on the row version, so a delayed write cannot
//     replace a newer one.
//   - An incarnation forgets a caller-made key only when no write of the key is
//     in doubt. A "claimed" row of this incarnation whose attempt is not in
//     memory was therefore never dispatched and may be claimed again.
//   - An entry-issued key is dispatched only by its owner. The owner remembers
//     every key that it ran, or has its row in the store and remembers a time at
//     or after the creation of the key. A key that is not in memory and is not
//     newer than that time is claimed in the store like a caller-made one.
//   - The age of a key is judged by a clock that never goes back, so that a key
//     is refused for good before its row expires.
//     Another entry answers "not run" for such a key only if the owner sealed
//     itself after every dispatched key had a row, and the key has none.
//   - A ticket ends once, and a ticket that has ended cannot be dispatched.
//
// An attempt that arrives late, for instance a delayed duplicate of an earlier
// one, is decided by the current state of its key like any new attempt: it
// gets the recorded result, attaches to the request in flight, or runs if all
// earlier attempts ended not run.
//
// The state machine of a key (machine) does no I/O and reads no clock; Manager
// adds the lock, the waiting callers and the group commit.
package claim
