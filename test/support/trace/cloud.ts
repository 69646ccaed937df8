import { draw } from './draw.js';
import type { RequestHandler, SimulatedNetwork, SimulatedRequest } from './net.js';

/**
 * A machine in the cloud's machine list. All fields but `provisionedAt` are
 * sent under these names.
 */
export interface CloudMachine {
  id: string;
  endpoint: string;
  rig: string;
  hall: string;
  loaner: boolean;
  standing: 'booting' | 'running' | 'failed';
  provisionedAt: number;
}

/** Body of a provisioning request, with the field names of the protocol. */
interface ProvisionRequest {
  /** Makes the request idempotent: a repeated one returns the same machines. */
  hire: string;
  rig: string;
  hall: string;
  loaner: boolean;
  count: number;
}

/** Announced boot time of each machine type, in seconds. The actual time is 70 to 130% of it. */
const BOOT_S = 6;

/** Two machine types, one of them with accelerators, with the field names of the protocol. */
const MACHINE_TYPES = [
  { sku: 'm16', cores: 16, accelerators: 0, memoryGb: 64, rate: 1, spotPrice: 0.3 },
  { sku: 'g8', cores: 8, accelerators: 2, memoryGb: 64, rate: 3, spotPrice: 1.2 },
].map((type) => ({ ...type, cacheGb: 50, pullGbPerS: 0.5, readyS: BOOT_S, halls: ['a', 'b'] }));

const CPUS_BY_TYPE = new Map(MACHINE_TYPES.map((type) => [type.sku, type.cores]));

export function cpusOfType(type: string): number {
  return CPUS_BY_TYPE.get(type) ?? 0;
}

const MACHINES_PER_PAGE = 6;
const AGENT_PORT = 9000;
/** How long the machine list still shows a preempted machine. */
const PREEMPTED_LISTED_MS = 9000;

/**
 * The cloud, with bounded capacity, boot times and scripted faults. Its messages
 * use the field names of the protocol.
 */
export class SimulatedCloud {
  readonly machines = new Map<string, CloudMachine>();
  /** Maximum number of machines at a time for a type, zone and purchase option. */
  capacity: (type: string, zone: string, spot: boolean) => number = () => 6;
  /** While true, no request gets a response or has an effect. */
  unresponsive = false;
  /** Share of the provisioning and termination requests that are executed without a response. */
  lostResponseRate = 0;
  /** Share of the machines that never boot. */
  bootFailureRate = 0;
  capacityRefusals = 0;
  /** Preempted machines that the machine list still shows. */
  private readonly preempted = new Set<CloudMachine>();
  private machinesCreated = 0;
  /** Machine ids by the name of the request that provisioned them. */
  private readonly provisionedByRequest = new Map<string, string[]>();

  constructor(
    private readonly net: SimulatedNetwork,
    private readonly seed: string,
    private readonly onBoot: (machine: CloudMachine) => void,
    private readonly onRemoved: (id: string, terminated: boolean) => void,
  ) {
    net.serve('cloud', 2, (request, respond) => this.handle(request, respond));
  }

  /** Removes a machine. `terminated` is true for a termination and false for a preemption. */
  remove(id: string, terminated = false): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.machines.delete(id);
    if (!terminated) {
      this.preempted.add(machine);
      this.net.time.schedule(PREEMPTED_LISTED_MS, () => this.preempted.delete(machine));
    }
    this.onRemoved(id, terminated);
  }

  private handle(
    { method, target, body }: SimulatedRequest,
    respond: Parameters<RequestHandler>[1],
  ): void {
    if (this.unresponsive) return;
    const url = new URL(target, 'http://cloud');
    if (url.pathname === '/flavors') {
      respond(200, { rigs: MACHINE_TYPES });
      return;
    }
    if (method === 'GET') {
      respond(200, this.list(url.searchParams.get('after') ?? ''));
      return;
    }
    const requestText = JSON.stringify(body);
    const isResponseLost =
      draw(this.seed, 'cloud', this.net.time.now(), requestText) < this.lostResponseRate;
    if (url.pathname === '/machines/return') {
      for (const id of (body as { carts: string[] }).carts) this.remove(id, true);
      if (!isResponseLost) respond(200, {});
      return;
    }
    const request = body as ProvisionRequest;
    const ids = this.provisionedByRequest.get(request.hire) ?? this.provision(request);
    if (isResponseLost) return;
    if (ids.length === 0) {
      this.capacityRefusals++;
      respond(503, { error: 'no capacity' });
    } else respond(200, { carts: ids });
  }

  private list(after: string) {
    const now = this.net.time.now();
    const all = [...this.machines.values(), ...this.preempted]
      .filter((m) => m.id > after)
      .sort((a, b) => (a.id < b.id ? -1 : 1))
      .map(({ provisionedAt, ...fields }) => ({
        ...fields,
        ageS: (now - provisionedAt) / 1000,
      }));
    return { carts: all.slice(0, MACHINES_PER_PAGE), hasNext: all.length > MACHINES_PER_PAGE };
  }

  private provision({
    hire: name,
    rig: type,
    hall: zone,
    loaner: spot,
    count,
  }: ProvisionRequest): string[] {
    const sameKind = [...this.machines.values()].filter(
      (m) => m.rig === type && m.hall === zone && m.loaner === spot,
    );
    const createdCount = Math.min(
      count,
      Math.max(0, this.capacity(type, zone, spot) - sameKind.length),
    );
    const ids = Array.from({ length: createdCount }, () => this.createMachine(type, zone, spot));
    if (createdCount > 0) this.provisionedByRequest.set(name, ids);
    return ids;
  }

  private createMachine(type: string, zone: string, spot: boolean): string {
    const { time } = this.net;
    const id = `n-${String(++this.machinesCreated).padStart(6, '0')}`;
    const endpoint = `${id}:${AGENT_PORT}`;
    const machine: CloudMachine = {
      id,
      endpoint,
      rig: type,
      hall: zone,
      loaner: spot,
      standing: 'booting',
      provisionedAt: time.now(),
    };
    this.machines.set(id, machine);
    if (draw(this.seed, 'boot', id) < this.bootFailureRate) return id;
    time.schedule(BOOT_S * 1000 * (0.7 + 0.6 * draw(this.seed, 'boots', id)), () => {
      if (!this.machines.has(id)) return;
      machine.standing = 'running';
      this.onBoot(machine);
    });
    return id;
  }
}
