import { HttpClient } from '../http/client.js';
import { NoResponseError } from '../http/errors.js';
import {
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

/** The protocol's bound on names in one return. */
export const MAX_MACHINES_PER_TERMINATION = 100;
const LIST_LIMIT = 500;

/** The list of a large fleet has many pages, which must not hold up rentals and returns. */
const LIST_PRIORITY = RequestPriority.ends;

interface CallOptions {
  signal?: AbortSignal | undefined;
  /** Asked when the request would leave. */
  stillValid?: () => boolean;
  priority?: RequestPriority;
}

export class CloudClient {
  private readonly http: HttpClient;
  private readonly budget: RequestBudget;

  constructor(
    private readonly options: {
      address: { host: string; port: number };
      requestsPerS: number;
      timeoutMs: number;
      clock: Clock;
    },
  ) {
    this.http = new HttpClient(options.address, { connections: 4, bodyLimit: 2 * 1024 * 1024 });
    this.budget = new RequestBudget(
      options.requestsPerS,
      options.requestsPerS,
      options.clock.now(),
    );
  }

  async types(signal?: AbortSignal) {
    return parseMachineTypes(await this.call('GET', PATHS.types, undefined, { signal }));
  }

  /** One page of the machine list. */
  async list(after: string | null, signal?: AbortSignal) {
    return parseMachineList(
      await this.call('GET', machineListTarget(after, LIST_LIMIT), undefined, {
        signal,
        priority: LIST_PRIORITY,
      }),
    );
  }

  /** The machines rented; null when the cloud has no capacity. A lost answer is asked for again under the same name. */
  async provision(
    request: ProvisionRequest,
    signal: AbortSignal,
    fit: () => boolean,
  ): Promise<string[] | null> {
    await this.awaitBudget(RequestPriority.users, signal);
    const response = await this.http.request({
      method: 'POST',
      target: PATHS.machines,
      body: provisionBody(request),
      timeoutMs: this.options.timeoutMs,
      signal,
      isStillValid: fit,
    });
    if (response.status === 200) return parseProvisioned(response.body);
    const text = JSON.stringify(response.body);
    if (response.status === 503 && text.includes('no capacity')) return null;
    throw new NoResponseError(`cloud answered ${response.status}: ${text.slice(0, 200)}`);
  }

  /** Resolves only when the cloud has said that the machines are gone. */
  async terminate(machines: string[], signal: AbortSignal, fit: () => boolean): Promise<void> {
    await this.call('POST', PATHS.returnMachines, terminationBody(machines), {
      signal,
      stillValid: fit,
    });
  }

  close(): void {
    this.http.close();
  }

  private async call(
    method: 'GET' | 'POST',
    target: string,
    body: unknown,
    { signal, stillValid: fit, priority = RequestPriority.users }: CallOptions,
  ) {
    await this.awaitBudget(priority, signal);
    const { timeoutMs } = this.options;
    const response = await this.http.request({
      method,
      target,
      body,
      timeoutMs,
      signal,
      isStillValid: fit,
    });
    if (response.status !== 200) throw new NoResponseError(`cloud answered ${response.status}`);
    return response.body;
  }

  private async awaitBudget(priority: RequestPriority, signal?: AbortSignal): Promise<void> {
    const { clock } = this.options;
    for (;;) {
      const wait = this.budget.take(1, priority, clock.now());
      if (wait === 0) return;
      await clock.sleep(wait, signal);
    }
  }
}
