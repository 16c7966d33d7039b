/* How the final state of a roll-out is settled (rollout_plan in the core, and
 * who writes for it): several deciders read the state row and write to it, each
 * with a verdict of its own. Writes may take effect late, twice, in any order,
 * or not at all; answers may be lost, so that a decider doesn't know what
 * became of its write. Deciders restart and forget all.
 *
 * Claim: once the row holds `completed` or `rolled_back`, it doesn't change.
 *
 * Each BREAK_* leaves out one rule of the protocol; the claim has to fail.
 */

#ifndef DECIDERS
#define DECIDERS 3
#endif
#ifndef WRITES
#define WRITES 4
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#define QUEUE 3

mtype = { none, serving, completed, rolled_back };

#define is_final(state) ((state) == completed || (state) == rolled_back)

#ifdef BREAK_FINAL_STATE_IS_KEPT
#define may_write(state) true
#else
#define may_write(state) (!is_final(state))
#endif

mtype row = none;
byte row_revision = 0;
byte writes = 0;
byte restarts = 0;

/* Writes on their way: the state, and the revision that was read before. */
chan wire = [QUEUE] of { mtype, byte };

inline ask(wanted)
{
    writes++;
    wire!wanted, read_revision
}

proctype decider()
{
    mtype read = none;
    byte read_revision = 0;
    /* A decider that has read nothing yet doesn't write. */
    bit has_read = 0;
    do
    :: atomic {
        read = row;
        read_revision = row_revision;
        has_read = 1 }
    :: atomic {
        restarts < RESTARTS ->
        restarts++;
        read = none;
        read_revision = 0;
        has_read = 0 }
    :: atomic {
        has_read && may_write(read) && writes < WRITES && len(wire) < QUEUE ->
        if
        :: read == none -> ask(serving)
        :: ask(completed)
        :: ask(rolled_back)
        fi }
    :: atomic { writes == WRITES && len(wire) == 0 -> break }
    od
}

proctype store()
{
    mtype state;
    byte revision;
    do
    :: atomic { wire?state, revision ->
        if
        :: skip -> /* also, or only, later than those behind it */
           if
           :: len(wire) < QUEUE -> wire!state, revision
           :: else
           fi
        :: skip
        fi;
        if
#ifdef BREAK_WRITE_IS_CONDITIONAL
        :: true ->
#else
        :: revision == row_revision ->
#endif
            assert(!is_final(row));
            row = state;
            row_revision++
        :: true /* lost, or refused */
        fi }
    :: atomic { writes == WRITES && len(wire) == 0 -> break }
    od
}

init
{
    byte i;
    atomic {
        run store();
        for (i : 1 .. DECIDERS) { run decider() }
    }
}
