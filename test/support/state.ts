import {
  type KeyValueStore,
  RequestRefusedError,
  RequestRejectedError,
  type TransactionResult,
} from '../../src/clients/key-value-store.js';
import { NoResponseError } from '../../src/http/errors.js';
import type {
  Change,
  Condition,
  Entry,
  StoreEvent,
} from '../../src/protocol/key-value-protocol.js';
import type { RequestPriority } from '../../src/runtime/request-budget.js';
import type { FakeClock } from './clock.js';

/**
 * Faults of a node's requests:
 *
 * - `refuse`: the service refuses them.
 * - `lose request`: they receive no response, and are delayed until the test executes them.
 * - `lose answer`: they are executed but receive no response.
 * - `dead`: the process of the node has ended.
 */
type Fault = 'refuse' | 'lose request' | 'lose answer' | 'dead' | null;

/** Maximum number of entries in a list page. */
export const PAGE_ENTRIES = 500;

/** An in-memory state service whose leases follow the fake clock. */
export class FakeStore {
  readonly entries = new Map<string, Entry & { lease?: number }>();
  revision = 1;
  private leases = new Map<number, { ttlMs: number; expiresAt: number }>();
  private lastLease = 0;
  private events: StoreEvent[] = [];
  private watchers: (() => void)[] = [];

  /**
   * Limits of a transaction; null for none. A larger one is rejected. The keys of its
   * oversized values are added to `oversizedKeys`, or all its keys when there are too many
   * changes or conditions.
   */
  limits: { valueBytes: number; changes: number } | null = null;
  readonly oversizedKeys: string[] = [];

  /** During an outage all requests are refused and no lease expires. */
  private isDown = false;

  constructor(readonly clock: FakeClock) {}

  get outage(): boolean {
    return this.isDown;
  }

  /** Starts or ends an outage. At its end all leases are renewed for their full time to live. */
  set outage(isDown: boolean) {
    if (this.isDown && !isDown)
      for (const lease of this.leases.values()) lease.expiresAt = this.clock.now() + lease.ttlMs;
    this.isDown = isDown;
  }

  expireLeases(): void {
    if (this.isDown) return;
    for (const [id, lease] of this.leases)
      if (lease.expiresAt <= this.clock.now()) this.endLease(id);
  }

  endLease(id: number): void {
    if (!this.leases.delete(id)) return;
    for (const [key, entry] of this.entries)
      if (entry.lease === id) this.change([{ op: 'delete', key }]);
  }

  grantLease(ttlMs: number): number {
    this.leases.set(++this.lastLease, { ttlMs, expiresAt: this.clock.now() + ttlMs });
    return this.lastLease;
  }

  renewLease(id: number): boolean {
    this.expireLeases();
    const lease = this.leases.get(id);
    if (!lease) return false;
    lease.expiresAt = this.clock.now() + lease.ttlMs;
    return true;
  }

  transact(conditions: Condition[], changes: Change[]): TransactionResult {
    this.expireLeases();
    this.checkSize(conditions, changes);
    for (const change of changes)
      if (change.op === 'put' && change.lease !== undefined && !this.leases.has(change.lease))
        throw new NoResponseError('400 no such lease');
    const failed = conditions
      .filter((condition) => (this.entries.get(condition.key)?.version ?? 0) !== condition.version)
      .map((condition) => condition.key);
    if (failed.length > 0) return { ok: false, revision: this.revision, failedKeys: failed };
    this.change(changes);
    return { ok: true, revision: this.revision, failedKeys: [] };
  }

  private checkSize(conditions: Condition[], changes: Change[]): void {
    if (!this.limits) return;
    const { valueBytes, changes: maxChanges } = this.limits;
    const large = changes.filter(
      (change) =>
        change.op === 'put' && Buffer.byteLength(JSON.stringify(change.value)) > valueBytes,
    );
    if (changes.length > maxChanges || conditions.length > maxChanges * 4) large.push(...changes);
    if (large.length === 0) return;
    this.oversizedKeys.push(...large.map((change) => change.key));
    throw new RequestRejectedError(
      `400 too large: ${large.map((change) => change.key).join(', ')}`,
    );
  }

  private change(changes: Change[]): void {
    this.revision++;
    for (const change of changes) {
      const version = this.revision;
      if (change.op === 'delete') {
        this.entries.delete(change.key);
        this.events.push({ op: 'delete', key: change.key, version });
      } else {
        const value = JSON.parse(JSON.stringify(change.value));
        const entry = { key: change.key, value, version };
        this.entries.set(
          change.key,
          change.lease === undefined ? entry : { ...entry, lease: change.lease },
        );
        this.events.push({ op: 'put', key: change.key, value, version });
      }
    }
    const waiting = this.watchers;
    this.watchers = [];
    for (const wake of waiting) wake();
  }

  eventsSince(prefix: string, after: number): StoreEvent[] {
    return this.events.filter((event) => event.version > after && event.key.startsWith(prefix));
  }

  onChange(wake: () => void): void {
    this.watchers.push(wake);
  }
}

/** One node's client of the store, with faults set by the test. */
export class FakeStateService implements KeyValueStore {
  /** Fault that affects all further requests; null for none. */
  fault: Fault = null;
  /** Delayed requests, which the test executes by calling them. */
  delayedRequests: (() => void)[] = [];
  /** Number of requests other than watches and lease requests. */
  requests = 0;
  /** Called with the changes of each transaction before it is executed. */
  onTransact: (changes: Change[]) => void = () => {};
  /** Reports whether the next transaction receives no response and is delayed. */
  delaysNextTransaction: () => boolean = () => false;

  constructor(private readonly store: FakeStore) {}

  private get refused(): boolean {
    return this.store.outage || this.fault === 'refuse';
  }

  private async serve<T>(work: () => T): Promise<T> {
    if (this.fault === 'dead') throw new NoResponseError('the process has ended');
    if (this.refused) throw new RequestRefusedError(100);
    if (this.fault === 'lose request') {
      this.delayedRequests.push(() => void work());
      throw new NoResponseError('timed out');
    }
    this.store.expireLeases();
    const result = work();
    if (this.fault === 'lose answer') throw new NoResponseError('timed out');
    return result;
  }

  get(key: string): Promise<Entry | null> {
    this.requests++;
    return this.serve(() => this.store.entries.get(key) ?? null);
  }

  listPage(prefix: string, after: string | null = null, _signal?: AbortSignal) {
    this.requests++;
    return this.serve(() => {
      const entries = [...this.store.entries.values()]
        .filter((entry) => entry.key.startsWith(prefix) && entry.key > (after ?? ''))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return {
        entries: entries.slice(0, PAGE_ENTRIES),
        more: entries.length > PAGE_ENTRIES,
        revision: this.store.revision,
      };
    });
  }

  transact(
    conditions: Condition[],
    changes: Change[],
    _priority?: RequestPriority,
    _signal?: AbortSignal,
  ): Promise<TransactionResult> {
    this.requests++;
    this.onTransact(changes);
    if (!this.refused && this.fault !== 'dead' && this.delaysNextTransaction()) {
      this.delayedRequests.push(() => void this.store.transact(conditions, changes));
      return Promise.reject(new NoResponseError('timed out'));
    }
    return this.serve(() => this.store.transact(conditions, changes));
  }

  grantLease(ttlMs: number): Promise<number> {
    return this.serve(() => this.store.grantLease(ttlMs));
  }

  renewLease(lease: number): Promise<boolean> {
    return this.serve(() => this.store.renewLease(lease));
  }

  revokeLease(lease: number): Promise<void> {
    return this.serve(() => this.store.endLease(lease));
  }

  async watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<{ events: StoreEvent[]; revision: number } | null> {
    await this.serve(() => null);
    const ready = () => ({
      events: this.store.eventsSince(prefix, after),
      revision: this.store.revision,
    });
    if (ready().events.length > 0) return ready();
    const { clock } = this.store;
    const deadline = clock.now() + waitMs;
    for (;;) {
      const changed = new Promise<void>((resolve) => this.store.onChange(resolve));
      const remainingMs = Math.max(0, deadline - clock.now());
      // While requests of the node are refused, an open watch keeps waiting, as in an outage.
      const stopWaiting = new AbortController();
      const signals = signal ? [signal, stopWaiting.signal] : [stopWaiting.signal];
      const wait = clock.sleep(
        this.refused ? Math.max(remainingMs, 100) : remainingMs,
        AbortSignal.any(signals),
      );
      await Promise.race([changed, wait]);
      // When a change came first, the wait is aborted; otherwise it would stay registered with the clock and the signal.
      wait.catch(() => {});
      stopWaiting.abort();
      if (this.fault === 'dead') throw new NoResponseError('the process has ended');
      if (this.refused) continue;
      if (ready().events.length > 0 || clock.now() >= deadline) return ready();
    }
  }
}
