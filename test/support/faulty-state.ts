import {
  type KeyValueStore,
  RequestRefusedError,
  type TransactionResult,
} from '../../src/clients/key-value-store.js';
import { NoResponseError } from '../../src/http/errors.js';
import type { Change, Condition, Entry } from '../../src/protocol/key-value-protocol.js';
import { FakeStateService, type FakeStore } from './state.js';

/** Probabilities, 0 to 1, of the faults of a request. The rest is executed and answered at once. */
export interface FaultShares {
  /** Refused with 503 and not executed. */
  refused: number;
  /** Unanswered and never executed. */
  lost: number;
  /** Unanswered and executed after the timeout. */
  late: number;
  /** Executed at once and unanswered. */
  unanswered: number;
  /** Executed at once and answered late, even after the timeout, as to a process that was suspended. */
  slow: number;
}

export const NO_FAULTS: FaultShares = { refused: 0, lost: 0, late: 0, unanswered: 0, slow: 0 };

const TRANSIT_MS = 3;
const TIMEOUT_MS = 1200;
const MAX_SLOW_MS = 6000;
const MAX_REFUSAL_AFTER_TIMEOUT_MS = 1000;

/** Late requests are executed this long after the timeout at the earliest and at the latest. */
const MIN_LATE_MS = 200;
const MAX_LATE_MS = 11_000;

/** A client of the store whose requests suffer random faults. */
export class FaultyStateService implements KeyValueStore {
  faults: FaultShares = NO_FAULTS;
  /** Faults of transactions, which may suffer alone. */
  transactionFaults: FaultShares = NO_FAULTS;
  /** Share of unanswered requests after which the service refuses this client for a moment, 0 to 1. */
  refusalAfterTimeoutShare = 0;
  /** Until when this client is refused, in milliseconds of the fake clock. */
  private refusedUntil = 0;
  /** The process of the client was killed: it sends nothing more and receives no answers. */
  isKilled = false;
  private readonly direct: FakeStateService;

  constructor(
    private readonly store: FakeStore,
    private readonly random: () => number,
    /** Called after each executed request. */
    private readonly onExecuted: () => void,
  ) {
    this.direct = new FakeStateService(store);
  }

  get(key: string): Promise<Entry | null> {
    return this.serve(() => this.store.entries.get(key) ?? null);
  }

  async listPage(prefix: string, after: string | null = null) {
    await this.serve(() => null);
    return this.direct.listPage(prefix, after);
  }

  transact(conditions: Condition[], changes: Change[]): Promise<TransactionResult> {
    return this.serve(() => this.store.transact(conditions, changes), this.transactionFaults);
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

  async watch(prefix: string, after: number, waitMs: number, signal?: AbortSignal) {
    await this.serve(() => null);
    return this.direct.watch(prefix, after, waitMs, signal);
  }

  private async serve<T>(work: () => T, faults = this.faults): Promise<T> {
    const { clock } = this.store;
    this.assertRunning();
    const fault = this.drawFault(faults);
    await clock.sleep(TRANSIT_MS);
    this.assertRunning();
    if (fault === 'refused' || this.store.outage || clock.now() < this.refusedUntil)
      throw new RequestRefusedError(100);
    if (fault === 'lost' || fault === 'late') {
      if (fault === 'late') void this.executeLate(work);
      return this.timeOut();
    }
    const result = this.execute(work);
    if (fault === 'unanswered') return this.timeOut();
    await clock.sleep(fault === 'slow' ? this.random() * MAX_SLOW_MS : TRANSIT_MS);
    this.assertRunning();
    return result;
  }

  private async executeLate(work: () => unknown): Promise<void> {
    const delayMs = MIN_LATE_MS + this.random() ** 3 * (MAX_LATE_MS - MIN_LATE_MS);
    await this.store.clock.sleep(TIMEOUT_MS + delayMs);
    // A request that arrives in an outage is refused.
    if (this.store.outage) return;
    try {
      this.execute(work);
    } catch {
      // The lease of a late transaction has ended.
    }
  }

  private execute<T>(work: () => T): T {
    this.store.expireLeases();
    try {
      return work();
    } finally {
      this.onExecuted();
    }
  }

  private async timeOut(): Promise<never> {
    const { clock } = this.store;
    await clock.sleep(TIMEOUT_MS);
    if (this.random() < this.refusalAfterTimeoutShare)
      this.refusedUntil = clock.now() + this.random() * MAX_REFUSAL_AFTER_TIMEOUT_MS;
    throw new NoResponseError('timed out');
  }

  private assertRunning(): void {
    if (this.isKilled) throw new NoResponseError('the process has ended');
  }

  private drawFault(faults: FaultShares): keyof FaultShares | null {
    let draw = this.random();
    for (const [fault, share] of Object.entries(faults)) {
      if (draw < share) return fault as keyof FaultShares;
      draw -= share;
    }
    return null;
  }
}
