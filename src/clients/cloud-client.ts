/** Client of the cloud within its limit on requests a second: machine types, machine list, provisioning, termination. */
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

/** The protocol's bound on machines in one termination. */
export const MAX_MACHINES_PER_TERMINATION = 100;
/** The protocol's bound on machines in one page of the list. */
const MAX_PAGE_MACHINES = 500;
const MAX_BODY_BYTES = 2 * 1024 * 1024;
const CONNECTIONS = 4;
/** As much of an unexpected answer as is kept in the error, in characters. */
const MAX_ERROR_BODY_CHARS = 200;

/** The list of a large fleet has many pages, which must not hold up provisioning and termination. */
const LIST_PRIORITY = RequestPriority.completions;

/** Where the cloud is, and the part of its limit that this client may use. */
export interface CloudClientOptions {
  address: Address;
  requestsPerS: number;
  /** For each request, after its wait for the budget. */
  timeoutMs: number;
  clock: Clock;
}

interface Call {
  method: 'GET' | 'POST';
  target: string;
  body?: unknown;
  /** The one of users when absent. */
  priority?: RequestPriority;
  signal: AbortSignal | undefined;
  /** Asked when the request would leave. */
  isStillValid?: () => boolean;
}

/**
 * Every method rejects with `NotAttemptedError` or `NotSentError` when the
 * request was not carried out, with `NoResponseError` when it may have been
 * (an unexpected status included), and with `AbortedError` when the signal ends
 * the wait for the budget.
 */
export class CloudClient {
  private readonly http: HttpClient;
  private readonly budget: RequestBudget;

  constructor(private readonly options: CloudClientOptions) {
    const { address, requestsPerS, clock } = options;
    this.http = new HttpClient(address, { connections: CONNECTIONS, maxBodyBytes: MAX_BODY_BYTES });
    this.budget = new RequestBudget(requestsPerS, requestsPerS, clock.now());
  }

  /** The machine types on offer. */
  async types(signal?: AbortSignal): Promise<MachineType[]> {
    return parseMachineTypes(
      await this.call({ method: 'GET', target: PATHS.machineTypes, signal }),
    );
  }

  /** One page of the machine list: machines with ids after the given one. */
  async list(after: string | null, signal?: AbortSignal): Promise<MachineListPage> {
    const target = machineListTarget(after, MAX_PAGE_MACHINES);
    const priority = LIST_PRIORITY;
    return parseMachineList(await this.call({ method: 'GET', target, priority, signal }));
  }

  /**
   * The ids of the machines provisioned; null when the cloud has no capacity.
   * The request is idempotent by its name: unanswered, it is sent again under
   * the same name, since under another one the machines might come twice.
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
      `cloud answered ${response.status}: ${bodyText.slice(0, MAX_ERROR_BODY_CHARS)}`,
    );
  }

  /**
   * Resolves only when the cloud has confirmed that the machines, at most
   * `MAX_MACHINES_PER_TERMINATION`, are terminated. Unanswered, they may or may
   * not be: only a repeated request or the machine list can tell.
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

  /** Closes the connections; requests that wait for one are rejected. */
  close(): void {
    this.http.close();
  }

  /** The body of a 200; any other status is no usable answer. */
  private async call({
    priority = RequestPriority.submissions,
    ...request
  }: Call): Promise<unknown> {
    await this.awaitBudget(priority, request.signal);
    const { timeoutMs } = this.options;
    const response: HttpResponse = await this.http.request({ ...request, timeoutMs });
    if (response.status !== 200) throw new NoResponseError(`cloud answered ${response.status}`);
    return response.body;
  }

  private async awaitBudget(priority: RequestPriority, signal?: AbortSignal): Promise<void> {
    const { clock } = this.options;
    for (;;) {
      const waitMs = this.budget.take(1, priority, clock.now());
      if (waitMs === 0) return;
      await clock.sleep(waitMs, signal);
    }
  }
}
