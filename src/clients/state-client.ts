/** HTTP client of the state service, within its rate limits for requests and changes. */
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
  parseFailedKeys,
  parseLeaseId,
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

/** Address of the state service, and the share of its rate limits that this client may use. */
export interface StateClientOptions {
  address: Address;
  requestsPerS: number;
  changesPerS: number;
  /** Rate for changes once the limits that the settings announce are in force. */
  loweredChangesPerS: number;
  /** Timeout of the wait for the budget, and again of the request. Watches may take longer. */
  timeoutMs: number;
  clock: Clock;
}

/** A request other than a watch. */
interface Call {
  method: 'GET' | 'POST' | 'DELETE';
  target: string;
  body?: unknown;
  priority: RequestPriority;
  /** Number of changes, which count against a separate budget; defaults to 0. */
  changes?: number;
  signal: AbortSignal | undefined;
}

/** Maximum number of entries in a list page, set by the state service. */
const MAX_PAGE_ENTRIES = 500;
/** Maximum length of a response body: the largest list page with its JSON framing. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Connections for each request per second: sufficient while responses take up to this many seconds. */
const CONNECTIONS_PER_REQUEST_PER_S = 0.3;
const WATCH_CONNECTIONS = 4;
/** Delay before a refused request may be retried; the service does not announce one. */
const REFUSED_RETRY_MS = 1000;
/** Statuses with a known outcome; the meaning of 404 and 409 depends on the request. */
const EXPECTED_STATUSES = [200, 400, 404, 409];

/**
 * The state service over HTTP. A request that is refused with 429 or 503, or for
 * lack of budget, was not carried out. After any other unexpected status, or
 * without a response, the outcome is unknown.
 */
export class StateClient implements KeyValueStore {
  private readonly http: HttpClient;
  /** For requests of the leadership priority, which must not queue behind users' requests while the service is slow. */
  private readonly leadershipHttp: HttpClient;
  private readonly watchHttp: HttpClient;
  private readonly requestBudget: RequestBudget;
  private readonly changeBudget: RequestBudget;
  /** Number of requests that wait for the budget. */
  private queuedRequests = 0;
  /**
   * Time of the first failed request since the last success, in milliseconds on the monotonic
   * clock; null after a success.
   */
  failingSince: number | null = null;
  /** Like `failingSince`, but a refusal by the service also resets it to null. */
  unansweredSince: number | null = null;
  /** Time at which a request was last sent, in milliseconds on the monotonic clock. */
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
      failedKeys: response.status === 409 ? parseFailedKeys(response.body) : [],
    };
  }

  /** See `KeyValueStore`. */
  async grantLease(ttlMs: number, signal?: AbortSignal): Promise<number> {
    const response = await this.call({
      method: 'POST',
      target: PATHS.leases,
      body: grantBody(Math.round(ttlMs)),
      priority: RequestPriority.leadership,
      signal,
    });
    return parseLeaseId(response.body);
  }

  /** See `KeyValueStore`. */
  async renewLease(lease: number, signal?: AbortSignal): Promise<boolean> {
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
  async revokeLease(lease: number, signal?: AbortSignal): Promise<void> {
    const target = leaseTarget(lease, false);
    await this.call({ method: 'DELETE', target, priority: RequestPriority.leadership, signal });
  }

  /** See `KeyValueStore`. A watch does not update `failingSince`, `unansweredSince` or `lastAttemptAt`. */
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
      // The length of a batch is not limited, and a retried watch would return the same batch. On null,
      // the caller reads the keys in pages.
      if (error instanceof ResponseTooLargeError) return null;
      throw error;
    }
  }

  /** Closes idle connections and rejects the requests that wait for one. Requests in flight continue. */
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
      // A request that its caller aborted does not show whether the service is available.
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
   * Waits for the budget, for at most `timeoutMs`. Rejects with
   * `RequestRefusedError` when the wait would take longer or more than
   * `requestsPerS` requests are waiting, and with `AbortedError` when the signal
   * is aborted.
   */
  private async awaitBudget(
    priority: RequestPriority,
    changes: number,
    signal?: AbortSignal,
  ): Promise<void> {
    const { clock, timeoutMs, requestsPerS } = this.options;
    const deadline = clock.now() + timeoutMs;
    for (;;) {
      let waitMs = this.requestBudget.tryAcquire(1, priority, clock.now());
      if (waitMs === 0 && changes > 0)
        waitMs = this.changeBudget.tryAcquire(changes, priority, clock.now());
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

  /** Returns a response whose status is 200, 404 or 409; throws the error for any other status. */
  private checkStatus(response: HttpResponse, changes: number): HttpResponse {
    const { status, body } = response;
    if (status === 429) this.recordRateLimit(changes);
    if (status === 429 || status === 503) throw new RequestRefusedError(REFUSED_RETRY_MS);
    if (!EXPECTED_STATUSES.includes(status))
      throw new NoResponseError(`state service responded with unexpected status ${status}`);
    if (status === 400)
      throw new RequestRejectedError(
        `state service rejected the request with status 400: ${JSON.stringify(body)}`,
      );
    return response;
  }

  private recordRateLimit(changes: number): void {
    const now = this.options.clock.now();
    this.requestBudget.recordRefusal(now);
    if (changes === 0) return;
    // The response does not say which limit was exceeded; a limit that the settings announce may now be in force.
    this.changeBudget.recordRefusal(now);
    this.changeBudget.lowerRate(this.options.loweredChangesPerS, now);
  }
}

function createHttpClient(address: Address, connections: number): HttpClient {
  return new HttpClient(address, { connections, maxBodyBytes: MAX_BODY_BYTES });
}
