import { HttpClient, type HttpResponse } from '../http/client.js';
import { NoResponseError, ResponseTooLargeError } from '../http/errors.js';
import {
  type Change,
  type Condition,
  type Entry,
  grantBody,
  keyTarget,
  leaseTarget,
  listTarget,
  parseEntry,
  parseEvents,
  parseFailed,
  parseLease,
  parsePage,
  parseRevision,
  transactionBody,
  watchTarget,
} from '../protocol/key-value-protocol.js';
import { PATHS } from '../protocol/paths.js';
import type { Clock } from '../runtime/clock.js';
import { RequestBudget, RequestPriority } from '../runtime/request-budget.js';
import {
  type KeyValueStore,
  RequestRefusedError,
  RequestRejectedError,
  type TransactionResult,
} from './key-value-store.js';

export interface StateClientOptions {
  address: { host: string; port: number };
  requestsPerS: number;
  changesPerS: number;
  /** The changes a second that are left once a limit that is announced is in force. */
  loweredChangesPerS: number;
  timeoutMs: number;
  clock: Clock;
}

/** The largest page that a list answers, with room for its frame. */
const LIST_LIMIT = 500;
const BODY_LIMIT = 4 * 1024 * 1024;
/** Connections for each request a second: enough while answers take up to this many seconds. */
const CONNECTIONS = 0.3;

export class StateClient implements KeyValueStore {
  private readonly http: HttpClient;
  /** For what leads: it must not stand in line behind users for a connection while the service is slow. */
  private readonly leadershipHttp: HttpClient;
  private readonly watchHttp: HttpClient;
  private readonly requestBudget: RequestBudget;
  private readonly changeBudget: RequestBudget;
  private queued = 0;
  /** Since when no request has been served; null while the last one was. */
  failingSince: number | null = null;
  /** Since when requests have had no answer of any kind, not even a refusal. */
  unansweredSince: number | null = null;
  /** When a request last left. */
  lastAttemptAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: StateClientOptions) {
    const { requestsPerS, changesPerS, clock } = options;
    const connections = Math.ceil(requestsPerS * CONNECTIONS);
    this.http = new HttpClient(options.address, { connections, bodyLimit: BODY_LIMIT });
    this.leadershipHttp = new HttpClient(options.address, { connections, bodyLimit: BODY_LIMIT });
    this.watchHttp = new HttpClient(options.address, { connections: 4, bodyLimit: BODY_LIMIT });
    this.requestBudget = new RequestBudget(requestsPerS, requestsPerS, clock.now());
    this.changeBudget = new RequestBudget(changesPerS, changesPerS, clock.now());
  }

  async get(key: string, priority: RequestPriority, signal?: AbortSignal): Promise<Entry | null> {
    const response = await this.call('GET', keyTarget(key), undefined, priority, 0, signal);
    return response.status === 404 ? null : parseEntry(response.body);
  }

  async listPage(
    prefix: string,
    after: string | null,
    signal?: AbortSignal,
    priority: RequestPriority = RequestPriority.lead,
  ) {
    const target = listTarget(prefix, after, LIST_LIMIT);
    return parsePage((await this.call('GET', target, undefined, priority, 0, signal)).body);
  }

  async transact(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<TransactionResult> {
    const body = transactionBody(conditions, changes);
    const response = await this.call(
      'POST',
      PATHS.transaction,
      body,
      priority,
      changes.length,
      signal,
    );
    return {
      ok: response.status === 200,
      revision: parseRevision(response.body),
      failed: response.status === 409 ? parseFailed(response.body) : [],
    };
  }

  async grant(ttlMs: number, signal?: AbortSignal): Promise<number> {
    const body = grantBody(Math.round(ttlMs));
    return parseLease(
      (await this.call('POST', PATHS.leases, body, RequestPriority.lead, 0, signal)).body,
    );
  }

  async touch(lease: number, signal?: AbortSignal): Promise<boolean> {
    const target = leaseTarget(lease, true);
    return (await this.call('POST', target, {}, RequestPriority.lead, 0, signal)).status === 200;
  }

  async revoke(lease: number, signal?: AbortSignal): Promise<void> {
    await this.call(
      'DELETE',
      leaseTarget(lease, false),
      undefined,
      RequestPriority.lead,
      0,
      signal,
    );
  }

  async watch(prefix: string, after: number, waitMs: number, signal?: AbortSignal) {
    await this.spend(RequestPriority.lead, 0, signal);
    try {
      const response = await this.watchHttp.request({
        method: 'GET',
        target: watchTarget(prefix, after, Math.round(waitMs)),
        timeoutMs: waitMs + this.options.timeoutMs * 2,
        signal,
      });
      if (response.status === 410) return null;
      return parseEvents(this.check(response).body);
    } catch (error) {
      // Its length has no bound, and the same question would have the same answer: lists come in pages.
      if (error instanceof ResponseTooLargeError) return null;
      throw error;
    }
  }

  close(): void {
    this.http.close();
    this.leadershipHttp.close();
    this.watchHttp.close();
  }

  private async call(
    method: 'GET' | 'POST' | 'DELETE',
    target: string,
    body: unknown,
    priority: RequestPriority,
    changes: number,
    signal?: AbortSignal,
  ): Promise<HttpResponse> {
    await this.spend(priority, changes, signal);
    this.lastAttemptAt = this.options.clock.now();
    const client = priority === RequestPriority.lead ? this.leadershipHttp : this.http;
    try {
      const response = this.check(
        await client.request({ method, target, body, timeoutMs: this.options.timeoutMs, signal }),
        changes,
      );
      this.failingSince = null;
      this.unansweredSince = null;
      return response;
    } catch (error) {
      if (!signal?.aborted) {
        const now = this.options.clock.now();
        this.failingSince ??= now;
        if (error instanceof RequestRefusedError) this.unansweredSince = null;
        else this.unansweredSince ??= now;
      }
      throw error;
    }
  }

  /** Waits for the budget, within the time that an answer could still be of use. */
  private async spend(
    priority: RequestPriority,
    changes: number,
    signal?: AbortSignal,
  ): Promise<void> {
    const { clock, timeoutMs, requestsPerS } = this.options;
    const deadline = clock.now() + timeoutMs;
    for (;;) {
      let wait = this.requestBudget.take(1, priority, clock.now());
      if (wait === 0 && changes > 0) wait = this.changeBudget.take(changes, priority, clock.now());
      if (wait === 0) return;
      if (clock.now() + wait > deadline || this.queued > requestsPerS)
        throw new RequestRefusedError(wait);
      this.queued++;
      try {
        await clock.sleep(wait, signal);
      } finally {
        this.queued--;
      }
    }
  }

  private check(response: HttpResponse, changes = 0): HttpResponse {
    if (response.status === 429) {
      const now = this.options.clock.now();
      this.requestBudget.recordRefusal(now);
      if (changes > 0) {
        // Which of the two limits it was is not said; the announced one may be in force from now on.
        this.changeBudget.recordRefusal(now);
        this.changeBudget.lowerRate(this.options.loweredChangesPerS, now);
      }
      throw new RequestRefusedError(1000);
    }
    if (response.status === 503) throw new RequestRefusedError(1000);
    if (![200, 400, 404, 409].includes(response.status))
      throw new NoResponseError(`state service answered ${response.status}`);
    if (response.status === 400)
      throw new RequestRejectedError(
        `state service answered 400: ${JSON.stringify(response.body)}`,
      );
    return response;
  }
}
