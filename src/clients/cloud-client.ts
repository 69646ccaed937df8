/** Client of the cloud API, within its rate limit: machine types, machine list, provisioning and termination. */
import { type Address, HttpClient, type HttpResponse } from '../http/client.js';
import { NoResponseError } from '../http/errors.js';
import type { MachineType } from '../model/machine.js';
import {
  type MachineListPage,
  machineListTarget,
  type ProvisionRequest,
  parseMachineList,
  parseMachineTypes,
  parseProvisioned,
  provisionBody,
  terminationBody,
} from '../protocol/cloud-protocol.js';
import { PATHS } from '../protocol/paths.js';
import type { Clock } from '../runtime/clock.js';
import { RequestBudget, RequestPriority } from '../runtime/request-budget.js';

/** Maximum number of machines in one termination request, set by the protocol. */
export const MAX_MACHINES_PER_TERMINATION = 100;
/** Maximum number of machines in one page of the machine list, set by the protocol. */
const MAX_PAGE_MACHINES = 500;
const MAX_BODY_BYTES = 2 * 1024 * 1024;
const CONNECTIONS = 4;
/** Maximum length of the part of an unexpected response body that is quoted in an error message. */
const MAX_ERROR_BODY_CHARS = 200;

/** Priority of the machine list: the many pages of a large fleet must not delay provisioning and termination. */
const LIST_PRIORITY = RequestPriority.completions;

/** Address of the cloud API, and the share of its rate limit that this client may use. */
export interface CloudClientOptions {
  address: Address;
  requestsPerS: number;
  /** Timeout of each request, without its wait for the budget. */
  timeoutMs: number;
  clock: Clock;
}

interface Call {
  method: 'GET' | 'POST';
  target: string;
  body?: unknown;
  /** Defaults to `submissions`. */
  priority?: RequestPriority;
  signal: AbortSignal | undefined;
  /** See `RequestOptions`. */
  isStillValid?: () => boolean;
}

/**
 * Every method rejects with:
 *
 * - `NotAttemptedError` or `NotSentError` when the request was not carried out.
 * - `NoResponseError` when the outcome is unknown, including after an
 *   unexpected status.
 * - `MalformedMessageError` when the response is invalid; the outcome is unknown.
 * - `AbortedError` when the signal is aborted during the wait for the budget;
 *   the request was not carried out.
 */
export class CloudClient {
  private readonly http: HttpClient;
  private readonly budget: RequestBudget;

  constructor(private readonly options: CloudClientOptions) {
    const { address, requestsPerS, clock } = options;
    this.http = new HttpClient(address, { connections: CONNECTIONS, maxBodyBytes: MAX_BODY_BYTES });
    this.budget = new RequestBudget(requestsPerS, requestsPerS, clock.now());
  }

  /** Returns the machine types that the cloud offers. */
  async types(signal?: AbortSignal): Promise<MachineType[]> {
    return parseMachineTypes(
      await this.call({ method: 'GET', target: PATHS.machineTypes, signal }),
    );
  }

  /**
   * Returns one page of the machine list, with the machines whose ids sort after
   * the given one, or the first page when it is null.
   */
  async list(after: string | null, signal?: AbortSignal): Promise<MachineListPage> {
    const target = machineListTarget(after, MAX_PAGE_MACHINES);
    const priority = LIST_PRIORITY;
    return parseMachineList(await this.call({ method: 'GET', target, priority, signal }));
  }

  /**
   * Provisions machines and returns their ids, or null when the cloud has no
   * capacity. The name of the request makes it idempotent: after a
   * `NoResponseError` it must be retried under the same name, since under
   * another name the machines could be provisioned twice.
   */
  async provision(
    request: ProvisionRequest,
    signal: AbortSignal,
    isStillValid: () => boolean,
  ): Promise<string[] | null> {
    await this.awaitBudget(RequestPriority.submissions, signal);
    const response = await this.http.request({
      method: 'POST',
      target: PATHS.machines,
      body: provisionBody(request),
      timeoutMs: this.options.timeoutMs,
      signal,
      isStillValid,
    });
    if (response.status === 200) return parseProvisioned(response.body);
    const bodyText = JSON.stringify(response.body);
    if (response.status === 503 && bodyText.includes('no capacity')) return null;
    throw new NoResponseError(
      `provisioning failed: cloud responded with status ${response.status}: ${bodyText.slice(0, MAX_ERROR_BODY_CHARS)}`,
    );
  }

  /**
   * Terminates up to `MAX_MACHINES_PER_TERMINATION` machines. Resolves only when
   * the cloud has confirmed the termination. After a `NoResponseError` the
   * machines may or may not be terminated; only a retry or the machine list
   * shows which.
   */
  async terminate(
    machines: string[],
    signal: AbortSignal,
    isStillValid: () => boolean,
  ): Promise<void> {
    await this.call({
      method: 'POST',
      target: PATHS.termination,
      body: terminationBody(machines),
      signal,
      isStillValid,
    });
  }

  /** Closes idle connections and rejects the requests that wait for one. Requests in flight continue. */
  close(): void {
    this.http.close();
  }

  /** Returns the body of a 200 response; rejects with `NoResponseError` on any other status. */
  private async call({
    priority = RequestPriority.submissions,
    ...request
  }: Call): Promise<unknown> {
    await this.awaitBudget(priority, request.signal);
    const { timeoutMs } = this.options;
    const response: HttpResponse = await this.http.request({ ...request, timeoutMs });
    if (response.status !== 200)
      throw new NoResponseError(`cloud responded with unexpected status ${response.status}`);
    return response.body;
  }

  private async awaitBudget(priority: RequestPriority, signal?: AbortSignal): Promise<void> {
    const { clock } = this.options;
    for (;;) {
      const waitMs = this.budget.tryAcquire(1, priority, clock.now());
      if (waitMs === 0) return;
      await clock.sleep(waitMs, signal);
    }
  }
}
