/* The holds protocol for one target: who may have how much in flight on it.
 *
 * Time is not counted. A lease, promise or deadline ends at any moment, and a
 * rule that waits may go on only when what it waits for is over; this is what
 * the waits of the protocol guarantee. A request counts from the check in its
 * sender, so a sender that is paused between check and send, and wakes late,
 * is included: the target refuses what is past its deadline.
 *
 * A step that an entry does not take for long stands for a pause, a cut from
 * the platform or from peers, or an outage. A write may take effect at any
 * later time, also after its writer has died, and its answer may be lost.
 *
 * Each -DBREAK_... removes one rule; spec/run checks that the claim then
 * fails. */

#ifndef LIMIT
#define LIMIT 2     /* requests in flight that the target bears */
#endif
#ifndef WRITES
#define WRITES 3    /* row writes that are started */
#endif
#ifndef DEATHS
#define DEATHS 1
#endif
#define HALF (LIMIT / 2)
#define N 3
#define NONE 3      /* no entry */

/* Why a row is written. */
#define IDLE 0
#define TAKE 1
#define MOVE 2      /* to another holder, or to no holder */
#define OTHER 3     /* claim, clear the previous holder, replace successor */

typedef row { byte holder; byte successor; byte previous };

row table;          /* the row; without a holder it does not exist */
row view[N];        /* as each entry last read or wrote it */

typedef write {
    byte kind;
    row to;
    byte from;      /* holder whose heartbeat is checked, or NONE */
    bit claim;      /* expects that there is no row */
    bit current;    /* no row write since */
    bit silent;     /* no heartbeat of `from` since */
    bit applied;
};
write pending[N];

bit alive[N];
bit confirmed[N];
byte promised[N];   /* bit s: holds a promise of entry s */

byte within[N];     /* in flight, started within half of the limit */
byte by_beat[N];    /* above half, deadline bounded by a confirmation */
byte by_word[N];    /* above half, deadline bounded by a promise */
byte word_of[N];    /* bit s: whose promises bound these */

byte writes_left = WRITES;
byte deaths_left = DEATHS;

#define BIT(i) (1 << (i))
#define TOTAL(e) (within[e] + by_beat[e] + by_word[e])

/* No request above half is left that the confirmation of e allowed. */
#ifdef BREAK_DEADLINE_PAST_GRACE
#define BEAT_WORK_OVER(e) true
#else
#define BEAT_WORK_OVER(e) (by_beat[e] == 0)
#endif
#ifdef BREAK_TAKE_INSIDE_LEASE
#define BEAT_OVER(e) BEAT_WORK_OVER(e)
#else
#define BEAT_OVER(e) (!confirmed[e] && BEAT_WORK_OVER(e))
#endif

/* The promise of s to h is over, with the requests that it allowed. */
#define WORD_OVER(s, h) (!(promised[h] & BIT(s)) && !(word_of[h] & BIT(s)))

/* Known to have ended for lease and grace; for the longest request. */
#define ENDED(e) (!alive[e] && by_beat[e] == 0 && by_word[e] == 0)
#ifdef BREAK_CLEAR_ENDED_AT_ONCE
#define WORK_OVER(e) ENDED(e)
#else
#define WORK_OVER(e) (ENDED(e) && within[e] == 0)
#endif

#ifdef BREAK_SUCCESSOR_ENDED_AT_ONCE
#define SUCCESSOR_OVER(s, h) (!alive[s])
#else
#define SUCCESSOR_OVER(s, h) (!alive[s] && WORD_OVER(s, h))
#endif

#ifdef BREAK_TAKE_INSIDE_PROMISE
#define FREE_TO_TAKE(x, h) true
#else
#define FREE_TO_TAKE(x, h) WORD_OVER(x, h)
#endif

#ifdef BREAK_ANYONE_TAKES
#define MAY_SUCCEED(x, h) true
#else
#define MAY_SUCCEED(x, h) \
    (view[x].successor == NONE || \
     (view[x].successor == x && FREE_TO_TAKE(x, h)) || \
     (view[x].successor != x && SUCCESSOR_OVER(view[x].successor, h)))
#endif

#define DOWN_TO_HALF(x, h) \
    (ENDED(h) || (BEAT_OVER(h) && MAY_SUCCEED(x, h)))

#ifdef BREAK_THIRD_CLAIMANT
#define PREVIOUS_OVER(x) true
#else
#define PREVIOUS_OVER(x) \
    (view[x].previous == NONE || WORK_OVER(view[x].previous))
#endif

/* How much entry e may use. */
#define HOLDS(e) (view[e].holder == e)
#ifdef BREAK_FULL_WITH_PREVIOUS
#define ALONE(e) HOLDS(e)
#else
#define ALONE(e) (HOLDS(e) && view[e].previous == NONE)
#endif
#ifdef BREAK_FULL_WHILE_HANDING_OVER
#define STAYS(e) true
#else
#define STAYS(e) (pending[e].kind != MOVE)
#endif
#ifdef BREAK_FULL_UNCONFIRMED
#define FULL_BY_BEAT(e) (ALONE(e) && STAYS(e))
#else
#define FULL_BY_BEAT(e) (ALONE(e) && STAYS(e) && confirmed[e])
#endif
#ifdef BREAK_PROMISE_WHILE_UNRESOLVED
#define RESOLVED(e) true
#else
#define RESOLVED(e) (pending[e].kind == IDLE)
#endif
#define FULL_BY_WORD(e) \
    (ALONE(e) && STAYS(e) && RESOLVED(e) && view[e].successor != NONE && \
     (promised[e] & BIT(view[e].successor)))
#ifdef BREAK_PREVIOUS_GOES_ON
#define MAY_START(e) (HOLDS(e) || view[e].previous == e)
#else
#define MAY_START(e) (HOLDS(e))
#endif
/* Erasing gives the target up: nothing is started any more. */
#define GIVES_UP(e) (pending[e].kind == MOVE && pending[e].to.holder == NONE)

#ifdef BREAK_PROMISE_WITH_PREVIOUS
#define MADE_PREVIOUS(s, h) false
#else
#define MADE_PREVIOUS(s, h) (view[s].holder == s && view[s].previous == h)
#endif
#ifdef BREAK_PROMISE_WHILE_TAKING
#define TAKING(s, h) false
#else
#define TAKING(s, h) (pending[s].kind == TAKE && pending[s].from == h)
#endif

#ifdef BREAK_CLEAR_BEFORE_DRAINED
#define DRAINED(e) true
#else
#define DRAINED(e) (TOTAL(e) == 0)
#endif
#ifdef BREAK_HAND_OVER_ABOVE_HALF
#define MAY_HAND_OVER(e) true
#else
#define MAY_HAND_OVER(e) (TOTAL(e) <= HALF)
#endif
#ifdef BREAK_NO_HEARTBEAT_CHECK
#define UNCHANGED(e) true
#else
#define UNCHANGED(e) (pending[e].from == NONE || pending[e].silent)
#endif
#ifdef BREAK_CLAIM_OVER_ROW
#define EXPECTED(e) (pending[e].claim || pending[e].current)
#else
#define EXPECTED(e) \
    ((pending[e].claim && table.holder == NONE) || \
     (!pending[e].claim && pending[e].current))
#endif

#define STALE(e) \
    (view[e].holder != table.holder || \
     view[e].successor != table.successor || \
     view[e].previous != table.previous)

inline copy(to_row, from_row)
{
    to_row.holder = from_row.holder;
    to_row.successor = from_row.successor;
    to_row.previous = from_row.previous
}

inline forget_write(e)
{
    pending[e].kind = IDLE;
    pending[e].to.holder = NONE;
    pending[e].to.successor = NONE;
    pending[e].to.previous = NONE;
    pending[e].from = NONE;
    pending[e].claim = 0;
    pending[e].current = 0;
    pending[e].silent = 0;
    pending[e].applied = 0
}

inline choose_successor(e, whose)
{
    if
    :: whose != 0 -> pending[e].to.successor = 0
    :: whose != 1 -> pending[e].to.successor = 1
    :: whose != 2 -> pending[e].to.successor = 2
    :: pending[e].to.successor = NONE
    fi
}

/* Whether the row is still as in the view decides if a write can apply. */
inline start_write(e, why)
{
    writes_left--;
    pending[e].kind = why;
    copy(pending[e].to, view[e]);
    pending[e].current = !STALE(e)
}

inline take(x, left)
{
    start_write(x, TAKE);
    pending[x].from = view[x].holder;
    pending[x].silent = 1;
    pending[x].to.holder = x;
    pending[x].to.previous = left;
    choose_successor(x, x)
}

inline apply(e)
{
    copy(table, pending[e].to);
    pending[0].current = 0;
    pending[1].current = 0;
    pending[2].current = 0;
    pending[e].applied = 1
}

/* Reads the row. A write whose row has moved on is settled by that: keeping
 * it, its late answer would bring back an older row. */
inline read(e)
{
    copy(view[e], table);
#ifndef BREAK_OLDER_ROW_RETURNS
    if
    :: pending[e].applied || (!pending[e].claim && !pending[e].current) ->
        forget_write(e)
    :: else
    fi
#endif
}

/* Writes the heartbeat and reads the row. Both are one step: what happens
 * between them is either read, or needs the confirmation to be over. A taker
 * reads the heartbeat at the latest before its wait, so only a write that is
 * already pending can miss a later one. */
inline beat(e)
{
#ifndef BREAK_CONFIRM_WITHOUT_READING
    read(e);
#endif
    confirmed[e] = 1;
    if :: pending[0].from == e -> pending[0].silent = 0 :: else fi;
    if :: pending[1].from == e -> pending[1].silent = 0 :: else fi;
    if :: pending[2].from == e -> pending[2].silent = 0 :: else fi
}

/* The promise in use ends before the confirmation does. */
inline rest_on_confirmation(e)
{
#ifndef BREAK_REPLACE_INSIDE_PROMISE
    promised[e] = 0;
    by_beat[e] = by_beat[e] + by_word[e];
    by_word[e] = 0;
    word_of[e] = 0
#else
    skip
#endif
}

/* The claim: the target never has more in flight than it bears. */
#define CHECK assert(TOTAL(0) + TOTAL(1) + TOTAL(2) <= LIMIT)

#define CAN_WRITE(e) \
    (alive[e] && pending[e].kind == IDLE && writes_left > 0)
#define END_WORD(e) \
    if \
    :: by_word[e] == 0 -> word_of[e] = 0 \
    :: else \
    fi

#define ENTRY(e) \
    /* Heartbeat, reading, and the end of the confirmation. */ \
    :: atomic { alive[e] && !confirmed[e] && \
        (HOLDS(e) || view[e].holder == NONE || \
         pending[e].kind != IDLE) -> beat(e) } \
    :: atomic { alive[e] && STALE(e) -> read(e) } \
    :: atomic { confirmed[e] -> confirmed[e] = 0 } \
    /* Promises. */ \
    :: atomic { alive[e] && HOLDS(e) && view[e].successor < N && \
        alive[view[e].successor] && \
        !(promised[e] & BIT(view[e].successor)) && \
        !TAKING(view[e].successor, e) && \
        !MADE_PREVIOUS(view[e].successor, e) -> \
        promised[e] = promised[e] | BIT(view[e].successor) } \
    :: atomic { promised[e] != 0 -> promised[e] = 0 } \
    /* Requests. */ \
    :: atomic { alive[e] && MAY_START(e) && !GIVES_UP(e) && \
        TOTAL(e) < HALF -> within[e]++; CHECK } \
    :: atomic { alive[e] && FULL_BY_BEAT(e) && !GIVES_UP(e) && \
        TOTAL(e) >= HALF && TOTAL(e) < LIMIT -> by_beat[e]++; CHECK } \
    :: atomic { alive[e] && FULL_BY_WORD(e) && !GIVES_UP(e) && \
        TOTAL(e) >= HALF && TOTAL(e) < LIMIT -> by_word[e]++; \
        word_of[e] = word_of[e] | BIT(view[e].successor); CHECK } \
    :: atomic { within[e] > 0 -> within[e]-- } \
    :: atomic { by_beat[e] > 0 -> by_beat[e]-- } \
    :: atomic { by_word[e] > 0 -> by_word[e]--; END_WORD(e) } \
    /* Takeover: the holder stays on as previous, or nobody does, or the \
       previous one stays while the holder's work is over. */ \
    :: atomic { CAN_WRITE(e) && view[e].holder < N && !HOLDS(e) && \
        PREVIOUS_OVER(e) && DOWN_TO_HALF(e, view[e].holder) && \
        !WORK_OVER(view[e].holder) -> take(e, view[e].holder) } \
    :: atomic { CAN_WRITE(e) && view[e].holder < N && !HOLDS(e) && \
        WORK_OVER(view[e].holder) && \
        (PREVIOUS_OVER(e) || view[e].previous == e) -> take(e, NONE) } \
    :: atomic { CAN_WRITE(e) && view[e].holder < N && !HOLDS(e) && \
        WORK_OVER(view[e].holder) && view[e].previous != e && \
        !PREVIOUS_OVER(e) -> take(e, view[e].previous) } \
    /* Other writes. */ \
    :: atomic { CAN_WRITE(e) && HOLDS(e) && view[e].previous < N && \
        WORK_OVER(view[e].previous) -> \
        start_write(e, OTHER); pending[e].to.previous = NONE } \
    :: atomic { CAN_WRITE(e) && view[e].previous == e && DRAINED(e) -> \
        start_write(e, OTHER); pending[e].to.previous = NONE } \
    :: atomic { CAN_WRITE(e) && HOLDS(e) && confirmed[e] -> \
        rest_on_confirmation(e); \
        start_write(e, OTHER); choose_successor(e, e) } \
    :: atomic { CAN_WRITE(e) && HOLDS(e) && confirmed[e] && \
        view[e].previous == NONE && MAY_HAND_OVER(e) -> \
        start_write(e, MOVE); pending[e].to.previous = e; \
        if \
        :: e != 0 -> pending[e].to.holder = 0 \
        :: e != 1 -> pending[e].to.holder = 1 \
        :: e != 2 -> pending[e].to.holder = 2 \
        fi; \
        choose_successor(e, pending[e].to.holder) } \
    :: atomic { CAN_WRITE(e) && HOLDS(e) && view[e].previous == NONE && \
        TOTAL(e) == 0 -> \
        start_write(e, MOVE); pending[e].to.holder = NONE; \
        pending[e].to.successor = NONE } \
    :: atomic { CAN_WRITE(e) && view[e].holder == NONE && confirmed[e] -> \
        start_write(e, OTHER); pending[e].claim = 1; \
        pending[e].to.holder = e; pending[e].to.previous = NONE; \
        choose_successor(e, e) } \
    /* A write takes effect; its writer learns that it did, or that it \
       never will. */ \
    :: atomic { pending[e].kind != IDLE && !pending[e].applied && \
        EXPECTED(e) && UNCHANGED(e) -> apply(e) } \
    :: atomic { alive[e] && pending[e].kind != IDLE && \
        pending[e].applied -> \
        copy(view[e], pending[e].to); forget_write(e) } \
    :: atomic { alive[e] && pending[e].kind != IDLE && \
        !pending[e].applied && !(EXPECTED(e) && UNCHANGED(e)) -> \
        copy(view[e], table); forget_write(e) } \
    /* Death. */ \
    :: atomic { alive[e] && deaths_left > 0 -> deaths_left--; alive[e] = 0; \
        confirmed[e] = 0; promised[e] = 0; view[e].holder = NONE; view[e].successor = NONE; \
        view[e].previous = NONE }

inline begin(e)
{
    view[e].holder = 0;
    view[e].successor = 1;
    view[e].previous = NONE;
    alive[e] = 1;
    forget_write(e)
}

active proctype entries()
{
    d_step {
        table.holder = 0;
        table.successor = 1;
        table.previous = NONE;
        begin(0);
        begin(1);
        begin(2)
    }
    do
    ENTRY(0)
    ENTRY(1)
    ENTRY(2)
    od
}
