/* How instances keep copies of a table of the store (state_table in
 * apps/router): whole readings, changes that are followed, differences that a
 * peer tells and changes that are relayed may come late, twice, in any order,
 * or not at all. Processes restart and forget all; removals are forgotten
 * after a while.
 *
 * A row binds as soon as it comes, also where changes before it are missing;
 * the revision that an instance names moves only over what is complete.
 *
 * Claim: of each key whose last change is not after the revision that an
 * instance names, the instance knows that change; and each row that it holds
 * was there at the row's own revision. So no row goes back, and none that was
 * removed returns.
 *
 * The store may be restored from an older copy: what was written since is lost,
 * and its numbers are given out again, in a new epoch. A revision is the epoch
 * and the number (store_revision.hpp).
 *
 * Each BREAK_* leaves out one rule of the protocol; the claim has to fail.
 */

#ifndef WRITES
#define WRITES 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef RESTORES
#define RESTORES 0
#endif
#ifndef REORDERS
#define REORDERS 1
#endif
#ifndef QUEUE
#define QUEUE 2
#endif
#define KEYS 2
#define INSTANCES 2
#define EPOCH 5 /* more than WRITES + 1 */
#define REVISIONS (EPOCH * (RESTORES + 1))
#define epoch_of(r) ((r) / EPOCH)

#define cell(i, k) ((i) * KEYS + (k))
#define past(k, r) ((k) * REVISIONS + (r))

/* The store, and whether each key was there at each revision. */
byte store_revision = 0;
byte store_at[KEYS];
bit store_removed[KEYS];
bit was_there[KEYS * REVISIONS];

/* What the store is restored from: it as it was at some time. */
byte copy_revision = 0;
byte copy_at[KEYS];
bit copy_removed[KEYS];
byte restores = 0;
byte writes = 0;

/* The copies; `at` is 0 for a row that is not known. */
byte revision[INSTANCES];
byte forgotten[INSTANCES];
byte at[INSTANCES * KEYS];
bit removed[INSTANCES * KEYS];
byte restarts = 0;

/* from the store, whole, after, revision, and for each key: its revision (0:
 * not in the message) and whether it was removed. */
chan inbox[INSTANCES] = [QUEUE] of { bit, bit, byte, byte, byte, bit, byte, bit };

inline write_row()
{
    k = 0;
    if
    :: k = 0
    :: k = 1
    fi;
    if
    :: gone = 0
    :: store_at[k] > 0 && !store_removed[k] -> gone = 1
    fi;
    writes++;
    store_revision++;
    store_at[k] = store_revision;
    store_removed[k] = gone;
    note_rows()
}

inline note_rows()
{
    other = 0;
    do
    :: other < KEYS ->
        was_there[past(other, store_revision)] =
            store_at[other] > 0 && !store_removed[other];
        other++
    :: else -> break
    od
}

inline make_copy()
{
    copy_revision = store_revision;
    copy_at[0] = store_at[0]; copy_removed[0] = store_removed[0];
    copy_at[1] = store_at[1]; copy_removed[1] = store_removed[1]
}

/* Its rows get revisions of the new epoch, and one that it lacks is gone as of
 * the restore. */
#ifdef BREAK_EPOCHS_COME_FIRST
#define in_new_epoch(r) (r)
#else
#define in_new_epoch(r) ((r) % EPOCH + EPOCH * restores)
#endif

inline restore_row(key)
{
    if
    :: copy_at[key] > 0 ->
        store_at[key] = in_new_epoch(copy_at[key]);
        store_removed[key] = copy_removed[key];
        was_there[past(key, store_at[key])] = !copy_removed[key]
    :: copy_at[key] == 0 && store_at[key] > 0 ->
        store_at[key] = in_new_epoch(copy_revision);
        store_removed[key] = 1
    :: else
    fi
}

inline restore_store()
{
    restores++;
    restore_row(0);
    restore_row(1);
    store_revision = in_new_epoch(copy_revision);
    note_rows()
}

active proctype operators()
{
    byte k, other;
    bit gone;
    do
    :: atomic { writes < WRITES -> write_row() }
    :: atomic { restores < RESTORES && copy_revision == 0 -> make_copy() }
    :: atomic {
        restores < RESTORES && copy_revision > 0 &&
            copy_revision < store_revision -> restore_store()
       }
    :: writes == WRITES && restores == RESTORES -> break
    od
}

/* A whole reading names the rows that are there, a difference all that have
 * changed since. */
#define in_message(w, since, when, gone) \
    ((when) > 0 && ((w) -> !(gone) : (when) > (since)))

/* The store compares numbers, so that the changes since a revision of an
 * earlier epoch are only some. */
#ifdef BREAK_ANOTHER_EPOCH_IS_READ_WHOLE
#define may_follow(i) 1
#else
#define may_follow(i) (epoch_of(revision[i]) == epoch_of(store_revision))
#endif
#define is_told(w, since, when, gone) \
    ((when) > 0 && ((w) -> !(gone) : (when) % EPOCH > (since) % EPOCH))

inline read_store(i, w)
{
    inbox[i] ! 1, w, (w -> 0 : revision[i]), store_revision,
        (is_told(w, revision[i], store_at[0], store_removed[0]) ->
            store_at[0] : 0), store_removed[0],
        (is_told(w, revision[i], store_at[1], store_removed[1]) ->
            store_at[1] : 0), store_removed[1]
}

inline ask_peer(i, j)
{
#ifdef BREAK_WHOLE_AFTER_FORGETTING
    w = revision[i] == 0;
#else
    w = revision[i] == 0 || revision[i] < forgotten[j];
#endif
    inbox[i] ! 0, w, (w -> 0 : revision[i]), revision[j],
        (in_message(w, revision[i], at[cell(j, 0)], removed[cell(j, 0)]) ->
            at[cell(j, 0)] : 0), removed[cell(j, 0)],
        (in_message(w, revision[i], at[cell(j, 1)], removed[cell(j, 1)]) ->
            at[cell(j, 1)] : 0), removed[cell(j, 1)]
}

#define is_there(i, k) (at[cell(i, k)] > 0 && !removed[cell(i, k)])

#define is_news(i, k, when) ((when) > at[cell(i, k)])

#ifdef BREAK_UNLISTED_ROWS_GO
#define is_unlisted(i, k, when, r) 0
#else
#define is_unlisted(i, k, when, r) \
    ((when) == 0 && at[cell(i, k)] > 0 && !removed[cell(i, k)] && \
     at[cell(i, k)] <= (r))
#endif

/* Its removal may be what was forgotten. */
#ifdef BREAK_OLD_ROWS_BIND_NOTHING
#define may_be_removed(i, k, when) 0
#else
#define may_be_removed(i, k, when) \
    ((when) <= forgotten[i] && !is_there(i, k))
#endif

inline take_row(i, k, w, r, when, gone)
{
    if
    :: is_news(i, k, when) && (w || !may_be_removed(i, k, when)) ->
        at[cell(i, k)] = when;
        removed[cell(i, k)] = gone
    :: w && is_unlisted(i, k, when, r) ->
        at[cell(i, k)] = r;
        removed[cell(i, k)] = 1
    :: else
    fi
}

/* A whole table does not tell what was removed before. */
#ifdef BREAK_WHOLE_TABLES_LACK_REMOVALS
#define lacks_removals 0
#else
#define lacks_removals 1
#endif

/* What an older whole table names may have been removed since. */
#ifdef BREAK_OLDER_TABLES_ARE_IGNORED
#define is_older(i, w, r) 0
#else
#define is_older(i, w, r) ((w) && (r) < revision[i])
#endif

#ifdef BREAK_NOTHING_IS_SKIPPED
#define follows(i, w, since) 1
#else
#define follows(i, w, since) ((w) || (since) <= revision[i])
#endif

inline take_message(i, j)
{
    inbox[i] ? from_store, w, since, r, at0, gone0, at1, gone1;
    if
    :: !is_older(i, w, r) && r > 0 ->
        before = revision[i];
        take_row(i, 0, w, r, at0, gone0);
        take_row(i, 1, w, r, at1, gone1);
        if
        :: follows(i, w, since) && r > revision[i] -> revision[i] = r
        :: else
        fi;
        if
        :: w && lacks_removals -> forgotten[i] = r
        :: else
        fi;
        check_copy(i);
        relay(i, j)
    :: else
    fi;
    from_store = 0; w = 0; since = 0; r = 0;
    at0 = 0; gone0 = 0; at1 = 0; gone1 = 0; before = 0
}

/* A change that was read from the store is passed on, and may be lost. Of a
 * whole table the rows are, and no more: others came and went in between. */
#ifdef BREAK_WHOLE_TABLES_CLAIM_NOTHING
#define claimed_after(w) before
#else
#define claimed_after(w) ((w) -> r : (since > before -> since : before))
#endif

inline relay(i, j)
{
    if
    :: from_store && before > 0 && len(inbox[j]) < QUEUE ->
        if
        :: inbox[j] ! 0, 0, claimed_after(w), r, at0, gone0, at1, gone1
        :: true
        fi
    :: else
    fi
}

#define knows_last(i, k) \
    (store_at[k] > revision[i] || \
     is_there(i, k) == (store_at[k] > 0 && !store_removed[k]))

/* A removal may be one that a whole table stands for, at its revision: it may
 * lack a row that has changed again since. */
#define holds_true(i, k) \
    (!is_there(i, k) || was_there[past(k, at[cell(i, k)])])

inline check_copy(i)
{
    assert(knows_last(i, 0));
    assert(knows_last(i, 1));
    assert(holds_true(i, 0));
    assert(holds_true(i, 1))
}

/* Removals are forgotten after a while, here at any time, unless changes before
 * them are missing. */
#define may_forget(i, k) \
    (removed[cell(i, k)] && at[cell(i, k)] <= revision[i])

inline forget_removal(i, k)
{
    if
    :: at[cell(i, k)] > forgotten[i] -> forgotten[i] = at[cell(i, k)]
    :: else
    fi;
    at[cell(i, k)] = 0;
    removed[cell(i, k)] = 0
}

inline restart(i)
{
    restarts++;
    revision[i] = 0;
    forgotten[i] = 0;
    at[cell(i, 0)] = 0; removed[cell(i, 0)] = 0;
    at[cell(i, 1)] = 0; removed[cell(i, 1)] = 0;
    do
    :: nempty(inbox[i]) -> inbox[i] ? _, _, _, _, _, _, _, _
    :: empty(inbox[i]) -> break
    od
}

proctype instance(byte i)
{
    byte j = 1 - i;
    bit from_store, w, gone0, gone1;
    byte since, r, at0, at1, before;
    do
    :: atomic { nfull(inbox[i]) -> read_store(i, 1) }
    :: atomic {
        nfull(inbox[i]) && revision[i] > 0 && may_follow(i) -> read_store(i, 0)
       }
    :: atomic {
        nfull(inbox[i]) && revision[j] > revision[i] ->
            ask_peer(i, j);
            w = 0
       }
    :: atomic { nempty(inbox[i]) -> take_message(i, j) }
    :: atomic { /* a message is lost */
        nempty(inbox[i]) -> inbox[i] ? _, _, _, _, _, _, _, _
       }
    :: atomic { /* messages change places */
        REORDERS && len(inbox[i]) == 2 ->
            inbox[i] ? from_store, w, since, r, at0, gone0, at1, gone1;
            inbox[i] ! from_store, w, since, r, at0, gone0, at1, gone1;
            from_store = 0; w = 0; since = 0; r = 0;
            at0 = 0; gone0 = 0; at1 = 0; gone1 = 0
       }
    :: atomic {
        may_forget(i, 0) -> forget_removal(i, 0)
       }
    :: atomic {
        may_forget(i, 1) -> forget_removal(i, 1)
       }
    :: atomic { restarts < RESTARTS -> restart(i) }
    od
}

init
{
    atomic {
        run instance(0);
        run instance(1)
    }
}
