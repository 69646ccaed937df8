/**
 * The state service as the routines of a controller use it: a
 * consensus-backed key-value store with versions, transactions, leases and
 * watches. Tests put a scripted one in its place.
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

/** What a transaction came to. */
export interface TransactionResult {
  /** All conditions held, and every change was made. Otherwise none was. */
  ok: boolean;
  /** Revision of the store at the transaction. */
  revision: number;
  /** Keys whose conditions did not hold. */
  failed: string[];
}

/**
 * The state service did not serve the request, or the budget left no room to
 * send it: it was not carried out and may be sent again after `retryMs`.
 */
export class RequestRefusedError extends Error {
  constructor(readonly retryMs: number) {
    super('state service refused');
  }
}

/**
 * The request can't be carried out as it stands, and was not: it is malformed,
 * larger than the service accepts, or names a lease that has ended. Sent again
 * unchanged, it would be refused again.
 */
export class RequestRejectedError extends NoResponseError {}

/**
 * Every method rejects with `RequestRefusedError` (not carried out, try
 * later), `RequestRejectedError` (not carried out, must not be repeated
 * unchanged) or `NoResponseError` (a change may or may not have been carried
 * out, or may yet be: only a later read can tell), and with `AbortedError` when
 * the signal ends the wait for the budget.
 */
export interface KeyValueStore {
  /** The entry of one key; null when the key does not exist. */
  get(key: string, priority: RequestPriority, signal?: AbortSignal): Promise<Entry | null>;

  /** Entries under the prefix with keys after the given one, in the order of keys. */
  listPage(
    prefix: string,
    after: string | null,
    signal?: AbortSignal,
    priority?: RequestPriority,
  ): Promise<EntryPage>;

  /** Compare and swap: makes all changes when all conditions hold, otherwise none. */
  transact(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<TransactionResult>;

  /** The id of a new lease that ends after `ttlMs` without a renewal. */
  grant(ttlMs: number, signal?: AbortSignal): Promise<number>;

  /** Renews a lease for its full time; false when it has ended. */
  touch(lease: number, signal?: AbortSignal): Promise<boolean>;

  /** Ends a lease, which deletes its keys. */
  revoke(lease: number, signal?: AbortSignal): Promise<void>;

  /**
   * Changes under the prefix after the revision, as soon as there are any; none
   * after `waitMs`. Null: the revision is too old, or too much has changed
   * since. Read the keys again.
   */
  watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<EventBatch | null>;
}
