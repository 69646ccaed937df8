/**
 * Transactions that are applied only while the leader key has the version of this
 * term. Serves docs/design.md "Safety" 1: an earlier leader can't overwrite what a
 * later one has written, not even by a transaction that is applied late.
 */
import type { KeyValueStore, TransactionResult } from '../../clients/key-value-store.js';
import type { Change, Condition } from '../../protocol/key-value-protocol.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import { LEADER_KEY } from '../election/leader-key.js';
import type { LeaderTerm } from '../election/leader-term.js';

/** The content of a transaction. `conditions` hold besides the one on the leader key. */
export interface LeaderTransaction {
  conditions: Condition[];
  changes: Change[];
  priority: RequestPriority;
}

/**
 * Makes the changes if the conditions hold and the leader key has the version of
 * the term. If it has not, the term has ended, whatever its renewals say: resigns
 * from it and returns the failed result. Rejects as `KeyValueStore.transact`.
 */
export async function transactAsLeader(
  state: KeyValueStore,
  term: LeaderTerm,
  { conditions, changes, priority }: LeaderTransaction,
): Promise<TransactionResult> {
  const result = await state.transact(
    [{ key: LEADER_KEY, version: term.version }, ...conditions],
    changes,
    priority,
    term.signal,
  );
  if (failedOnLeaderKey(result)) term.resign('leader key held by another controller');
  return result;
}

/** Reports whether the transaction was not applied because the leader key has another version. */
export function failedOnLeaderKey(result: TransactionResult): boolean {
  return result.failedKeys.includes(LEADER_KEY);
}
