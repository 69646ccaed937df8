/**
 * The durable writes of a leader, and their outcomes.
 *
 * Each write is one unit: its conditions and changes go into one transaction,
 * which may hold several units and also has a condition on the leader's key.
 *
 * The state service may apply a transaction whose response was lost, and may
 * apply it late, after newer writes have been acknowledged. Therefore each kind
 * of write documents which condition makes a late copy of it fail, or why a late
 * copy is harmless.
 */

import type { Change, Condition } from '../../protocol/key-value-protocol.js';

/**
 * Callbacks for the outcome of a write. At most one of them is called, and only
 * once. None is called for a write that is abandoned because the state service
 * rejects it as invalid; the next leader starts from the stored state.
 */
export interface DurableWriteOutcome {
  /** The write was applied at this revision of the state service. */
  applied(revision: number): void;
  /**
   * The write was not applied because its conditions failed, and it will never
   * apply unchanged. `failedKeys` may include keys of other writes.
   */
  conflict(failedKeys: string[]): void;
  /**
   * The write has to be retried. `mayBeApplied` is true if it was sent but received
   * no response, so that it may have been applied or may still be applied.
   * Otherwise it was not applied and never will be.
   */
  retry(mayBeApplied: boolean): void;
}

/** A unit of changes that is written durably. */
export interface DurableWrite extends DurableWriteOutcome {
  readonly conditions: Condition[];
  readonly changes: Change[];
  /** Approximate size in a transaction, in bytes. */
  readonly sizeBytes: number;
}
