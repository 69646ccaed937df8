/** The keys that an election is about, and the requests that win one through the state service's fencing. */
import type { TransactionResult } from '../../clients/key-value-store.js';
import {
  decodeLeaderRecord,
  encodeLeaderRecord,
  encodeTerm,
  type LeaderRecord,
} from '../../records/leader-record.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';

/** Key of the leader record, attached to the leader's lease. Writes of a leader are conditioned on its version. */
export const LEADER_KEY = 'leader';

/** Key of the number of the last term that was won. */
export const TERM_KEY = 'term';

/** How long to wait before an unanswered election is read back, in renewal intervals. */
const READ_BACK_DELAY = 0.2;

/**
 * Writes the leader key and the term in one transaction, if nobody leads and
 * nobody has led since the term was read with this version (0: it was absent).
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
 * A transaction without an answer may have been applied, may be applied later
 * or never: neither outcome may be believed before it is read back. Returns
 * the version of the leader key if it is ours. Otherwise the lease is revoked,
 * so that a copy of the transaction that arrives later is refused, and the
 * result is null.
 */
export async function readBackElection(
  ctx: ControllerContext,
  { term, lease }: LeaderRecord,
  signal: AbortSignal,
): Promise<number | null> {
  await ctx.clock.sleep(ctx.timing.renewMs * READ_BACK_DELAY, signal);
  const entry = await ctx.state.get(LEADER_KEY, RequestPriority.leadership, signal);
  const found = entry ? decodeLeaderRecord(entry.value) : null;
  if (entry && found?.incarnation === ctx.incarnation && found.term === term) return entry.version;
  await ctx.state.revoke(lease, signal);
  return null;
}
