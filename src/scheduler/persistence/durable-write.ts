/**
 * What a leader makes durable, and what happens to it afterwards.
 *
 * Each write is one unit: its conditions and changes go into one transaction,
 * which may hold several units and has the condition on the leader's key
 * besides. The state service may apply a transaction whose answer was lost, and
 * may apply it late, when newer writes have been answered. So each kind of
 * write says which condition makes a late copy of it fail, or why a late copy
 * is harmless.
 */

import type { Change, Condition } from '../../protocol/key-value-protocol.js';

/**
 * What the writer reports of a write: one of these at most, once. None is
 * reported of a write that the state service rejects as such and that is given
 * up: the next leader begins with what is stored.
 */
export interface DurableWriteOutcome {
  /** The write was applied, at this revision of the state service. */
  applied(revision: number): void;
  /**
   * Nothing was applied, because conditions of this write failed, on these
   * keys among others: as it is, it will never apply.
   */
  conflict(failedKeys: string[]): void;
  /**
   * It has to be written again. `mayBeApplied`: it was sent and not answered,
   * so that it may have been applied, or may be yet; otherwise it was not and
   * never will be.
   */
  retry(mayBeApplied: boolean): void;
}

/** A unit of durable work. */
export interface DurableWrite extends DurableWriteOutcome {
  readonly conditions: Condition[];
  readonly changes: Change[];
  /** Roughly the bytes that it takes of a transaction. */
  readonly size: number;
}
