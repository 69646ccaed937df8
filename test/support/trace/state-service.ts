import { draw } from './draw.js';
import type { EventCounts } from './event-counts.js';
import type { RequestHandler, SimulatedNetwork, SimulatedRequest } from './net.js';

/** A stored key. */
interface Row {
  key: string;
  value: unknown;
  /** Revision of the store at the last write of the key. */
  version: number;
  /** Null when the key is not bound to a lease. */
  leaseId: number | null;
}

/** A change of a key, with the event that a watch receives in the form of the protocol. */
interface StoredEvent {
  key: string;
  event: { set?: string; v?: unknown; delete?: string; stamp: number };
}

/** A change in a transaction, in the form of the protocol. */
interface Change {
  set?: string;
  v?: unknown;
  ticket?: number;
  delete?: string;
}

/** A transaction, in the form of the protocol. */
interface Transaction {
  when: { path: string; stamp: number }[];
  writes: Change[];
}

type Respond = Parameters<RequestHandler>[1];

/** Faults of the service towards one controller. The rates are shares of its requests. */
export interface StateFaults {
  /** Status with which all requests are rejected; null when they are not. */
  errorStatus: number | null;
  /** Requests that are executed without a response. */
  lostResponseRate: number;
  /** Transactions that are executed 3 to 23 seconds later, without a response. */
  delayedTransactionRate: number;
}

/**
 * Limits of transactions. The service responds with status 400 to a larger
 * transaction, and with 429 to more changes per second.
 */
export interface TransactionLimits {
  maxValueBytes: number;
  maxChanges: number;
  maxChangesPerS: number;
}

const NO_FAULTS: StateFaults = {
  errorStatus: null,
  lostResponseRate: 0,
  delayedTransactionRate: 0,
};
/** Maximum number of keys in a page of a list. */
const PAGE_ROWS = 20;

/**
 * The state service, with versions, leases, watches and scripted faults. Its
 * messages use the field names of the protocol.
 */
export class SimulatedStateService {
  readonly rows = new Map<string, Row>();
  /** Faults by the name of the controller that they affect. */
  readonly faults = new Map<string, StateFaults>();
  /** Null while transactions are not limited. */
  limits: TransactionLimits | null = null;
  /** A watch after an earlier revision gets status 410, because its events are compacted. */
  private oldestWatchRevision = 0;
  private revision = 1;
  private events: StoredEvent[] = [];
  private readonly leases = new Map<number, { ttlMs: number; endsAt: number }>();
  private lastLeaseId = 0;
  /** Callbacks of watches that wait for an event. */
  private waitingWatches: (() => void)[] = [];
  private outage = false;
  private currentSecond = 0;
  /** Changes requested in the current second of simulated time. */
  private changesInSecond = 0;

  constructor(
    private readonly net: SimulatedNetwork,
    private readonly seed: string,
    private readonly counts: EventCounts,
  ) {
    net.serve('state', 1, (request, respond) => this.handle(request, respond));
  }

  /**
   * During an outage, all requests get status 503 and no lease expires. At its
   * end all leases are renewed.
   */
  setOutage(on: boolean): void {
    const now = this.net.time.now();
    if (this.outage && !on)
      for (const lease of this.leases.values()) lease.endsAt = now + lease.ttlMs;
    this.outage = on;
  }

  /** Compacts all events up to now, so that every waiting watch gets status 410. */
  compact(): void {
    this.oldestWatchRevision = ++this.revision;
    for (const notify of this.waitingWatches.splice(0)) notify();
  }

  private handle(request: SimulatedRequest, respond: Respond): void {
    const faults = this.faults.get(request.from) ?? NO_FAULTS;
    const { time } = this.net;
    const errorStatus = this.outage ? 503 : faults.errorStatus;
    if (errorStatus !== null) {
      this.respondWithError(errorStatus, respond);
      return;
    }
    this.expireLeases();
    const sample = draw(this.seed, 'state', request.from, time.now(), JSON.stringify(request.body));
    const isTransaction = request.target === '/multi';
    if (isTransaction && sample < faults.delayedTransactionRate) {
      this.counts.add('delayed transactions');
      time.schedule(3000 + sample * 20_000, () => this.serve(request, () => {}));
      return;
    }
    const isResponseLost = sample > 1 - faults.lostResponseRate;
    if (isResponseLost) this.counts.add('lost state service responses');
    this.serve(request, isResponseLost ? () => {} : respond);
  }

  private respondWithError(status: number, respond: Respond): void {
    this.counts.add(`state service: ${status}`);
    respond(status, {});
  }

  private serve(request: SimulatedRequest, respond: Respond): void {
    const { method, body } = request;
    const url = new URL(request.target, 'http://state');
    const [, kind = '', ...rest] = url.pathname.split('/');
    const query = (name: string) => url.searchParams.get(name) ?? '';
    if (kind === 'multi') {
      this.transact(body as Transaction, respond);
      return;
    }
    if (kind === 'follow') {
      this.watch(query('starts'), Number(query('after')), Number(query('waitMs')), respond);
      return;
    }
    if (kind === 'store' && rest.length > 0) {
      this.read(rest.map(decodeURIComponent).join('/'), respond);
      return;
    }
    if (kind === 'store') {
      this.list(query('starts'), query('after'), Number(query('limit')), respond);
      return;
    }
    const leaseId = Number(rest[0]);
    if (kind !== 'grants') {
      respond(404, {});
      return;
    }
    if (rest.length === 0) {
      this.grantLease((body as { lifeMs: number }).lifeMs, respond);
      return;
    }
    if (method === 'DELETE') this.endLease(leaseId);
    else if (!this.renewLease(leaseId)) {
      respond(404, {});
      return;
    }
    respond(200, {});
  }

  private read(key: string, respond: Respond): void {
    const row = this.rows.get(key);
    if (row) respond(200, { path: key, v: row.value, stamp: row.version });
    else respond(404, {});
  }

  private list(prefix: string, after: string, limit: number, respond: Respond): void {
    const matching = [...this.rows.values()]
      .filter((row) => row.key.startsWith(prefix) && row.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const pageSize = Math.min(limit, PAGE_ROWS);
    const rows = matching
      .slice(0, pageSize)
      .map(({ key, value, version }) => ({ path: key, v: value, stamp: version }));
    respond(200, { rows, hasNext: matching.length > pageSize, ledgerRev: this.revision });
  }

  private transact({ when, writes }: Transaction, respond: Respond): void {
    this.expireLeases();
    if (writes.some((change) => change.ticket !== undefined && !this.leases.has(change.ticket))) {
      respond(400, { error: 'no such ticket' });
      return;
    }
    if (this.isTooLarge(when, writes)) {
      this.respondWithError(400, respond);
      return;
    }
    if (this.exceedsChangeRate(writes)) {
      this.respondWithError(429, respond);
      return;
    }
    const failed = when
      .filter((condition) => (this.rows.get(condition.path)?.version ?? 0) !== condition.stamp)
      .map((condition) => condition.path);
    if (failed.length > 0) {
      this.counts.add('transaction conflicts');
      respond(409, { ledgerRev: this.revision, failed });
      return;
    }
    this.apply(writes);
    respond(200, { ledgerRev: this.revision });
  }

  private isTooLarge(conditions: unknown[], changes: Change[]): boolean {
    if (!this.limits) return false;
    const { maxValueBytes, maxChanges } = this.limits;
    const hasLargeValue = changes.some(
      (change) => Buffer.byteLength(JSON.stringify(change.v ?? null)) > maxValueBytes,
    );
    return hasLargeValue || changes.length > maxChanges || conditions.length > maxChanges * 4;
  }

  private exceedsChangeRate(changes: Change[]): boolean {
    const second = Math.floor(this.net.time.now() / 1000);
    if (second !== this.currentSecond) this.changesInSecond = 0;
    this.currentSecond = second;
    this.changesInSecond += changes.length;
    return this.limits !== null && this.changesInSecond > this.limits.maxChangesPerS;
  }

  private apply(changes: Change[]): void {
    const version = ++this.revision;
    for (const change of changes) {
      const key = change.set ?? change.delete ?? '';
      if (change.set === undefined) this.rows.delete(key);
      else
        this.rows.set(key, {
          key,
          value: change.v,
          version,
          leaseId: change.ticket ?? null,
        });
      this.events.push({
        key,
        event:
          change.set === undefined
            ? { delete: key, stamp: version }
            : { set: key, v: change.v, stamp: version },
      });
    }
    for (const notify of this.waitingWatches.splice(0)) notify();
  }

  /** Responds with the events after a revision, at the latest after `waitMs`. */
  private watch(prefix: string, after: number, waitMs: number, respond: Respond): void {
    const deadlineAt = this.net.time.now() + waitMs;
    const tryRespond = () => {
      if (hasResponded) return;
      const events = this.eventsSince(prefix, after);
      const isTimedOut = this.net.time.now() >= deadlineAt - 0.001;
      const isCompacted = after < this.oldestWatchRevision;
      if (events.length === 0 && !isTimedOut && !isCompacted) {
        this.waitingWatches.push(tryRespond);
        return;
      }
      hasResponded = true;
      timer.callback = null;
      if (isCompacted) this.respondWithError(410, respond);
      else respond(200, { news: events.map((stored) => stored.event), ledgerRev: this.revision });
    };
    let hasResponded = false;
    const timer = this.net.time.schedule(waitMs, tryRespond);
    tryRespond();
  }

  private eventsSince(prefix: string, after: number): StoredEvent[] {
    let from = this.events.length;
    while (from > 0 && (this.events[from - 1] as StoredEvent).event.stamp > after) from--;
    return this.events.slice(from).filter((stored) => stored.key.startsWith(prefix));
  }

  private grantLease(ttlMs: number, respond: Respond): void {
    this.leases.set(++this.lastLeaseId, { ttlMs, endsAt: this.net.time.now() + ttlMs });
    this.net.time.schedule(ttlMs + 1, () => this.expireLeases());
    respond(200, { ticket: this.lastLeaseId });
  }

  /** Returns false when there is no such lease. */
  private renewLease(id: number): boolean {
    const lease = this.leases.get(id);
    if (!lease) return false;
    lease.endsAt = this.net.time.now() + lease.ttlMs;
    this.net.time.schedule(lease.ttlMs + 1, () => this.expireLeases());
    return true;
  }

  private expireLeases(): void {
    if (this.outage) return;
    const now = this.net.time.now();
    for (const [id, lease] of this.leases) if (lease.endsAt <= now) this.endLease(id);
  }

  /** Ends the lease and deletes the keys that are bound to it. */
  private endLease(id: number): void {
    if (!this.leases.delete(id)) return;
    const bound = [...this.rows.values()].filter((row) => row.leaseId === id);
    if (bound.length > 0) this.apply(bound.map((row) => ({ delete: row.key })));
  }
}
