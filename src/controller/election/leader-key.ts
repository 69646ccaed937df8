/**
 * Keys of leader elections, and the requests that win an election through the
 * state service's fencing.
 */
import type { TransactionResult } from '../../clients/key-value-store.js';
import {
  decodeLeaderRecord,
  encodeLeaderRecord,
  encodeTerm,
  type LeaderRecord,
} from '../../records/leader-record.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';

/**
 * Key of the leader record, which is attached to the leader's lease. The writes of
 * progress and of the demand forecast are conditioned on the version of this key.
 */
export const LEADER_KEY = 'leader';

/** Key of the number of the last term that was won. */
export const TERM_KEY = 'term';

/** Delay before an election without a response is read back, in renewal intervals. */
const READ_BACK_DELAY_RENEWAL_INTERVALS = 0.2;

/**
 * Writes the leader key and the term in one transaction. It applies only if the
 * leader key is absent and the term still has the version `lastTermVersion`,
 * which is 0 for an absent term.
 */
export function requestLeadership(
  ctx: ControllerContext,
  record: LeaderRecord,
  lastTermVersion: number,
  signal: AbortSignal,
): Promise<TransactionResult> {
  return ctx.state.transact(
    [
      { key: LEADER_KEY, version: 0 },
      { key: TERM_KEY, version: lastTermVersion },
    ],
    [
      { op: 'put', key: LEADER_KEY, value: encodeLeaderRecord(record), lease: record.lease },
      { op: 'put', key: TERM_KEY, value: encodeTerm(record.term) },
    ],
    RequestPriority.leadership,
    signal,
  );
}

/**
 * Determines the outcome of an election whose transaction got no response: it may
 * have been applied, may be applied later, or never. Returns the version of the
 * leader key if this controller won, otherwise null. The caller must then revoke
 * the lease of the record, so that a late copy of the transaction is refused.
 */
export async function readBackElection(
  ctx: ControllerContext,
  record: LeaderRecord,
  signal: AbortSignal,
): Promise<number | null> {
  await ctx.clock.sleep(ctx.timing.renewalIntervalMs * READ_BACK_DELAY_RENEWAL_INTERVALS, signal);
  const entry = await ctx.state.get(LEADER_KEY, RequestPriority.leadership, signal);
  const storedRecord = entry ? decodeLeaderRecord(entry.value) : null;
  return entry && storedRecord && isSameElection(storedRecord, record) ? entry.version : null;
}

/**
 * Reports whether two records were written by the same election, which its lease
 * identifies. Term and incarnation do not: a process whose election was not
 * applied in time stands for the same term again, under another lease, and the
 * earlier election may still be applied.
 */
function isSameElection(a: LeaderRecord, b: LeaderRecord): boolean {
  return a.lease === b.lease && a.incarnation === b.incarnation && a.term === b.term;
}
