/**
 * Interface of the state service: a consensus-backed key-value store with
 * versions, transactions, leases and watches. Tests substitute a scripted store.
 */
import { NoResponseError } from '../http/errors.js';
import type {
  Change,
  Condition,
  Entry,
  EntryPage,
  EventBatch,
} from '../protocol/key-value-protocol.js';
import type { RequestPriority } from '../runtime/request-budget.js';

/** Outcome of a transaction. */
export interface TransactionResult {
  /** Whether all conditions held and all changes were made; otherwise none was made. */
  ok: boolean;
  /** Revision of the store after the transaction. */
  revision: number;
  /** Keys whose conditions did not hold. */
  failedKeys: string[];
}

/**
 * The state service refused the request, or the request budget did not allow it
 * in time. It was not carried out and may be retried after `retryMs`.
 */
export class RequestRefusedError extends Error {
  constructor(readonly retryMs: number) {
    super('request refused by the state service or by the request budget');
  }
}

/**
 * The state service rejected the request and did not carry it out: it is
 * malformed, larger than the service accepts, or names a lease that has ended.
 * Retried unchanged, it would be rejected again.
 */
export class RequestRejectedError extends NoResponseError {}

/**
 * Every method rejects with:
 *
 * - `RequestRefusedError`: not carried out; it may be retried later.
 * - `RequestRejectedError`: not carried out; it must not be retried unchanged.
 * - `NoResponseError`: a change may have been carried out, or may still be. Only
 *   a later read shows whether it was.
 * - `MalformedMessageError`: the response is invalid; the outcome of a change is
 *   unknown.
 * - `AbortedError`: not carried out; the signal was aborted during the wait for
 *   the budget.
 */
export interface KeyValueStore {
  /** Returns the entry of a key, or null when the key does not exist. */
  get(key: string, priority: RequestPriority, signal?: AbortSignal): Promise<Entry | null>;

  /**
   * Returns one page of the entries under the prefix whose keys sort after the
   * given one, or the first page when it is null, in key order.
   */
  listPage(
    prefix: string,
    after: string | null,
    signal?: AbortSignal,
    priority?: RequestPriority,
  ): Promise<EntryPage>;

  /** Makes all changes when all conditions hold, otherwise none (compare and swap). */
  transact(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<TransactionResult>;

  /** Creates a lease that ends after `ttlMs` without a renewal; returns its id. */
  grantLease(ttlMs: number, signal?: AbortSignal): Promise<number>;

  /** Renews a lease for its full time to live; returns false when the lease has ended. */
  renewLease(lease: number, signal?: AbortSignal): Promise<boolean>;

  /** Ends a lease, which deletes the keys attached to it. */
  revokeLease(lease: number, signal?: AbortSignal): Promise<void>;

  /**
   * Returns the changes under the prefix after the given revision as soon as
   * there are any, or an empty batch after `waitMs`. Returns null when the
   * revision is too old or too much has changed since; the caller must then
   * read the keys again.
   */
  watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<EventBatch | null>;
}
