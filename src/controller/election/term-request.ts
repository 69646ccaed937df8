/**
 * The request by which a controller wins a term, fenced by the versions of the
 * leader key and the term, and how its outcome is determined. Each election is
 * logged with its term, its lease, its outcome and the version of the leader key.
 */
import { RequestRefusedError, type TransactionResult } from '../../clients/key-value-store.js';
import {
  decodeLeaderRecord,
  encodeLeaderRecord,
  encodeTerm,
  type LeaderRecord,
} from '../../records/leader-record.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { LEADER_KEY, TERM_KEY } from './leader-key.js';

/** Delay before an election without a response is read back, in renewal intervals. */
const READ_BACK_DELAY_RENEWAL_INTERVALS = 0.2;

/** What is logged of an election besides its term and lease. */
type ElectionDetails =
  | { outcome: 'won'; version: number }
  | { outcome: 'lost'; failedKeys: string[] }
  | { outcome: 'refused' }
  | { outcome: 'unknown'; err: unknown }
  | { outcome: 'not applied' };

/**
 * Requests the record's term. The outcome of a transaction without a response is
 * read back before it is acted on. Returns the version of the leader key, or null
 * when the election is lost. Rejects when the request was refused, or when its
 * outcome can't be read. Unless the election is won, the caller must revoke the
 * lease of the record, so that the transaction is not applied later.
 */
export async function requestTerm(
  ctx: ControllerContext,
  record: LeaderRecord,
  lastTermVersion: number,
  signal: AbortSignal,
): Promise<number | null> {
  try {
    const result = await requestLeadership(ctx, record, lastTermVersion, signal);
    if (!result.ok) {
      logElection(ctx, record, { outcome: 'lost', failedKeys: result.failedKeys });
      return null;
    }
    logElection(ctx, record, { outcome: 'won', version: result.revision });
    return result.revision;
  } catch (err) {
    if (err instanceof RequestRefusedError) {
      logElection(ctx, record, { outcome: 'refused' });
      throw err;
    }
    logElection(ctx, record, { outcome: 'unknown', err });
  }
  const version = await readBackElection(ctx, record, signal);
  const details: ElectionDetails =
    version === null ? { outcome: 'not applied' } : { outcome: 'won', version };
  logElection(ctx, record, details);
  return version;
}

function logElection(
  { log }: ControllerContext,
  { term, lease }: LeaderRecord,
  details: ElectionDetails,
): void {
  log.info({ term, lease, ...details }, 'election finished');
}

/**
 * Writes the leader key and the term in one transaction. It applies only if the
 * leader key is absent and the term still has the version `lastTermVersion`,
 * which is 0 for an absent term.
 */
function requestLeadership(
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
 * leader key if this controller won, otherwise null.
 */
async function readBackElection(
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
