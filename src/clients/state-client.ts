/** Client of the state service within its limits on requests and changes a second. */
import { type Address, HttpClient, type HttpResponse } from '../http/client.js';
import { NoResponseError, ResponseTooLargeError } from '../http/errors.js';
import {
  type Change,
  type Condition,
  type Entry,
  type EntryPage,
  type EventBatch,
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

/** Where the state service is, and the part of its limits that this client may use. */
export interface StateClientOptions {
  address: Address;
  requestsPerS: number;
  changesPerS: number;
  /** The changes a second that are left once a limit that is announced is in force. */
  loweredChangesPerS: number;
  /** For the wait for the budget, and again for the response; watches may take longer. */
  timeoutMs: number;
  clock: Clock;
}

/** One request but for a watch. */
interface Call {
  method: 'GET' | 'POST' | 'DELETE';
  target: string;
  body?: unknown;
  priority: RequestPriority;
  /** Changes that it makes, which have a budget of their own; none when absent. */
  changes?: number;
  signal: AbortSignal | undefined;
}

/** The largest page that a list answers, with room for its frame. */
const MAX_PAGE_ENTRIES = 500;
const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Connections for each request a second: enough while answers take up to this many seconds. */
const CONNECTIONS_PER_REQUEST_PER_S = 0.3;
const WATCH_CONNECTIONS = 4;
/** When to come back after the service has refused: it does not say when. */
const REFUSED_RETRY_MS = 1000;
/** Statuses that are answers; what 404 and 409 mean depends on the request. */
const USABLE_STATUSES = [200, 400, 404, 409];

/**
 * The state service over HTTP. A refusal (429, 503) and a request that the
 * budget left no room for were not carried out; any other status that is no
 * answer, and no response at all, leave that open.
 */
export class StateClient implements KeyValueStore {
  private readonly http: HttpClient;
  /** For the leader's own requests: they must not queue behind users for a connection while the service is slow. */
  private readonly leadershipHttp: HttpClient;
  private readonly watchHttp: HttpClient;
  private readonly requestBudget: RequestBudget;
  private readonly changeBudget: RequestBudget;
  /** Requests that wait for the budget. */
  private queuedRequests = 0;
  /** Since when no request has been served; null while the last one was. */
  failingSince: number | null = null;
  /** Since when requests have had no answer of any kind, not even a refusal. */
  unansweredSince: number | null = null;
  /** When a request last left. */
  lastAttemptAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: StateClientOptions) {
    const { address, requestsPerS, changesPerS, clock } = options;
    const connections = Math.ceil(requestsPerS * CONNECTIONS_PER_REQUEST_PER_S);
    this.http = createHttpClient(address, connections);
    this.leadershipHttp = createHttpClient(address, connections);
    this.watchHttp = createHttpClient(address, WATCH_CONNECTIONS);
    this.requestBudget = new RequestBudget(requestsPerS, requestsPerS, clock.now());
    this.changeBudget = new RequestBudget(changesPerS, changesPerS, clock.now());
  }

  /** See `KeyValueStore`. */
  async get(key: string, priority: RequestPriority, signal?: AbortSignal): Promise<Entry | null> {
    const response = await this.call({ method: 'GET', target: keyTarget(key), priority, signal });
    return response.status === 404 ? null : parseEntry(response.body);
  }

  /** See `KeyValueStore`. */
  async listPage(
    prefix: string,
    after: string | null,
    signal?: AbortSignal,
    priority: RequestPriority = RequestPriority.leadership,
  ): Promise<EntryPage> {
    const target = listTarget(prefix, after, MAX_PAGE_ENTRIES);
    return parsePage((await this.call({ method: 'GET', target, priority, signal })).body);
  }

  /** See `KeyValueStore`. */
  async transact(
    conditions: Condition[],
    changes: Change[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<TransactionResult> {
    const response = await this.call({
      method: 'POST',
      target: PATHS.transaction,
      body: transactionBody(conditions, changes),
      priority,
      changes: changes.length,
      signal,
    });
    return {
      ok: response.status === 200,
      revision: parseRevision(response.body),
      failed: response.status === 409 ? parseFailed(response.body) : [],
    };
  }

  /** See `KeyValueStore`. */
  async grant(ttlMs: number, signal?: AbortSignal): Promise<number> {
    const response = await this.call({
      method: 'POST',
      target: PATHS.leases,
      body: grantBody(Math.round(ttlMs)),
      priority: RequestPriority.leadership,
      signal,
    });
    return parseLease(response.body);
  }

  /** See `KeyValueStore`. */
  async touch(lease: number, signal?: AbortSignal): Promise<boolean> {
    const response = await this.call({
      method: 'POST',
      target: leaseTarget(lease, true),
      body: {},
      priority: RequestPriority.leadership,
      signal,
    });
    return response.status === 200;
  }

  /** See `KeyValueStore`. */
  async revoke(lease: number, signal?: AbortSignal): Promise<void> {
    const target = leaseTarget(lease, false);
    await this.call({ method: 'DELETE', target, priority: RequestPriority.leadership, signal });
  }

  /** See `KeyValueStore`. What becomes of it counts for neither `failingSince` nor `lastAttemptAt`. */
  async watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<EventBatch | null> {
    await this.awaitBudget(RequestPriority.leadership, 0, signal);
    try {
      const response = await this.watchHttp.request({
        method: 'GET',
        target: watchTarget(prefix, after, Math.round(waitMs)),
        timeoutMs: waitMs + this.options.timeoutMs * 2,
        signal,
      });
      if (response.status === 410) return null;
      return parseEvents(this.checkStatus(response, 0).body);
    } catch (error) {
      // Its length has no bound, and the same request would have the same answer: lists come in pages.
      if (error instanceof ResponseTooLargeError) return null;
      throw error;
    }
  }

  /** Closes the connections; requests that wait for one are rejected. */
  close(): void {
    this.http.close();
    this.leadershipHttp.close();
    this.watchHttp.close();
  }

  private async call(call: Call): Promise<HttpResponse> {
    const { method, target, body, priority, changes = 0, signal } = call;
    const { clock, timeoutMs } = this.options;
    await this.awaitBudget(priority, changes, signal);
    this.lastAttemptAt = clock.now();
    const client = priority === RequestPriority.leadership ? this.leadershipHttp : this.http;
    try {
      const response = this.checkStatus(
        await client.request({ method, target, body, timeoutMs, signal }),
        changes,
      );
      this.failingSince = null;
      this.unansweredSince = null;
      return response;
    } catch (error) {
      // What we ended ourselves says nothing of the service.
      if (!signal?.aborted) this.recordFailure(error);
      throw error;
    }
  }

  private recordFailure(error: unknown): void {
    const now = this.options.clock.now();
    this.failingSince ??= now;
    if (error instanceof RequestRefusedError) this.unansweredSince = null;
    else this.unansweredSince ??= now;
  }

  /**
   * Waits for the budget, within the time that an answer could still be of use.
   * Rejects with `RequestRefusedError` when it would take longer, or when too
   * many wait already.
   */
  private async awaitBudget(
    priority: RequestPriority,
    changes: number,
    signal?: AbortSignal,
  ): Promise<void> {
    const { clock, timeoutMs, requestsPerS } = this.options;
    const deadline = clock.now() + timeoutMs;
    for (;;) {
      let waitMs = this.requestBudget.take(1, priority, clock.now());
      if (waitMs === 0 && changes > 0)
        waitMs = this.changeBudget.take(changes, priority, clock.now());
      if (waitMs === 0) return;
      if (clock.now() + waitMs > deadline || this.queuedRequests > requestsPerS)
        throw new RequestRefusedError(waitMs);
      this.queuedRequests++;
      try {
        await clock.sleep(waitMs, signal);
      } finally {
        this.queuedRequests--;
      }
    }
  }

  /** The response when it is an answer; throws the error that its status stands for. */
  private checkStatus(response: HttpResponse, changes: number): HttpResponse {
    const { status, body } = response;
    if (status === 429) this.recordRateLimit(changes);
    if (status === 429 || status === 503) throw new RequestRefusedError(REFUSED_RETRY_MS);
    if (!USABLE_STATUSES.includes(status))
      throw new NoResponseError(`state service answered ${status}`);
    if (status === 400)
      throw new RequestRejectedError(`state service answered 400: ${JSON.stringify(body)}`);
    return response;
  }

  private recordRateLimit(changes: number): void {
    const now = this.options.clock.now();
    this.requestBudget.recordRefusal(now);
    if (changes === 0) return;
    // Which of the two limits it was is not said; the announced one may be in force from now on.
    this.changeBudget.recordRefusal(now);
    this.changeBudget.lowerRate(this.options.loweredChangesPerS, now);
  }
}

function createHttpClient(address: Address, connections: number): HttpClient {
  return new HttpClient(address, { connections, maxBodyBytes: MAX_BODY_BYTES });
}
