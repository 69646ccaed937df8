/**
 * The leader's cloud routines: machine list, scale-out, scale-in, and machine
 * types with their prices. Owns the names of provision requests; writes only the
 * machine types to the state service.
 *
 * Serves docs/design.md "Safety" 2 (machines are provisioned and terminated only
 * while the term is proven) and 7 (a machine counts as terminated only on proof:
 * the cloud's response, or the machine list).
 */
import type { AgentClient } from '../../clients/agent-client.js';
import { type CloudClient, MAX_MACHINES_PER_TERMINATION } from '../../clients/cloud-client.js';
import type { ListedMachine } from '../../model/machine.js';
import type { ProvisionRequest } from '../../protocol/cloud-protocol.js';
import { waitWhileLagging } from '../../runtime/clock.js';
import type { MachineTermination, ScaleInPlanner } from '../../scheduler/scaling/scale-in.js';
import type { ScaleOutPlan, ScaleOutPlanner } from '../../scheduler/scaling/scale-out.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import { measureHold } from '../event-loop-hold.js';
import { storeMachineTypes } from '../machine-types.js';

type MachinePage = Awaited<ReturnType<CloudClient['list']>>;

/** After planning, this many times its duration is left for heartbeats, rounds and the job API. */
const SCALING_PAUSE_RATIO = 30;

/**
 * Share of the cloud's request rate that scale-in may use while many machines are
 * to be terminated.
 */
const TERMINATION_CALL_SHARE = 0.5;

/** Total number of attempts for a provision request, all under the same name. */
const PROVISION_ATTEMPTS = 3;

/** Pause before a provision request is retried, in scaling intervals. */
const PROVISION_RETRY_INTERVALS = 0.5;

/** Dependencies of `FleetController`. */
export interface FleetControllerOptions {
  ctx: ControllerContext;
  term: LeaderTerm;
  cluster: ClusterState;
  scaleOut: ScaleOutPlanner;
  scaleIn: ScaleInPlanner;
  cloud: Pick<CloudClient, 'types' | 'list' | 'provision' | 'terminate'>;
  /** After each machine list, connections to machines that no longer exist are closed. */
  agents: Pick<AgentClient, 'retainOnly'>;
}

/** Manages the fleet of one leader term. */
export class FleetController {
  private readonly ctx: ControllerContext;
  private readonly term: LeaderTerm;
  private readonly cluster: ClusterState;
  private readonly scaleOut: ScaleOutPlanner;
  private readonly scaleIn: ScaleInPlanner;
  private readonly cloud: FleetControllerOptions['cloud'];
  private provisionCount = 0;

  constructor(private readonly options: FleetControllerOptions) {
    this.ctx = options.ctx;
    this.term = options.term;
    this.cluster = options.cluster;
    this.scaleOut = options.scaleOut;
    this.scaleIn = options.scaleIn;
    this.cloud = options.cloud;
  }

  /** Applies the cloud's machine list at regular intervals; throws `AbortedError` when the signal is aborted. */
  async listMachines(signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this;
    while (!signal.aborted) {
      try {
        // The list proves absence only as of the time of the request.
        const requestedAt = ctx.clock.now();
        const machines = await this.listAllMachines(signal);
        measureHold(ctx, 'machine list applied', () => {
          cluster.applyMachineList(machines, requestedAt, ctx.clock.now());
          this.closeStaleConnections();
        });
      } catch (err) {
        if (signal.aborted) return;
        ctx.log.debug({ err }, 'machine list request failed; retrying at the next interval');
      }
      await ctx.clock.sleep(ctx.timing.machineListIntervalMs, signal);
    }
  }

  private async listAllMachines(signal: AbortSignal): Promise<ListedMachine[]> {
    const all: ListedMachine[] = [];
    let after: string | null = null;
    for (;;) {
      const page: MachinePage = await this.cloud.list(after, signal);
      all.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.more || !last) return all;
      after = last.id;
    }
  }

  private closeStaleConnections(): void {
    const machines = [...this.cluster.machines.values()];
    this.options.agents.retainOnly(new Set(machines.map((machine) => machine.address)));
  }

  /** Plans and carries out scale-out and scale-in; throws `AbortedError` when the signal is aborted. */
  async runScaling(signal: AbortSignal): Promise<void> {
    const { ctx, scaleOut, scaleIn } = this;
    const { clock, timing } = ctx;
    let statusLoggedAt = 0;
    let planningMs = 0;
    // Leaves time for a machine list, which shows the machines that an earlier leader provisioned.
    // Otherwise they would be provisioned a second time.
    await clock.sleep(timing.machineListIntervalMs, signal);
    while (!signal.aborted) {
      await clock.sleep(
        Math.max(timing.scalingIntervalMs, planningMs * SCALING_PAUSE_RATIO),
        signal,
      );
      await waitWhileLagging(clock, timing.placementIntervalMs, timing.heartbeatMs, signal);
      if (!this.term.isProven()) continue;
      const now = clock.now();
      // Scale-out first: its plan marks the machines that are candidates for scale-in.
      const { provisions, terminations } = measureHold(ctx, 'scaling planned', () => ({
        provisions: scaleOut.plan(now),
        terminations: scaleIn.plan(now).slice(0, this.maxTerminations()),
      }));
      planningMs = clock.now() - now;
      for (let from = 0; from < terminations.length; from += MAX_MACHINES_PER_TERMINATION)
        await this.terminate(terminations.slice(from, from + MAX_MACHINES_PER_TERMINATION), signal);
      for (const plan of provisions) await this.provision(plan, signal);
      if (now - statusLoggedAt > timing.fleetLogIntervalMs) {
        statusLoggedAt = now;
        this.logFleetStatus(now);
      }
    }
  }

  private logFleetStatus(now: number): void {
    const { ctx, term, cluster, scaleOut } = this;
    ctx.log.info(
      { term: term.number, jobs: cluster.jobs.size, ...scaleOut.overview(now) },
      'fleet status',
    );
  }

  /**
   * Returns how many machines the cloud's request rate allows to be terminated in
   * one scaling interval; the others follow in later intervals.
   */
  private maxTerminations(): number {
    const { platform, timing } = this.ctx;
    const calls =
      (platform.settings.cloud.rps * timing.scalingIntervalMs * TERMINATION_CALL_SHARE) / 1000;
    return MAX_MACHINES_PER_TERMINATION * Math.max(1, Math.floor(calls));
  }

  /**
   * Scale-in. Drains the machines first, so that nothing is assigned to them while
   * the request is in flight. If the request fails, they stay drained and are part
   * of the next plan.
   */
  private async terminate(
    terminations: readonly MachineTermination[],
    signal: AbortSignal,
  ): Promise<void> {
    const { ctx, cluster, term } = this;
    for (const { machine, reason } of terminations) cluster.drain(machine, reason);
    const ids = terminations.map(({ machine }) => machine.id);
    try {
      await this.cloud.terminate(ids, signal, () => term.isProven());
      const now = ctx.clock.now();
      for (const { machine, reason } of terminations)
        cluster.markTerminated(machine.id, `scale-in: ${reason}`, now);
    } catch (err) {
      if (signal.aborted) return;
      ctx.log.debug({ err }, 'terminate request failed; retrying with the next plan');
    }
  }

  /**
   * Scale-out. Retries use the same name: if an earlier attempt was carried out,
   * the cloud returns the same machines.
   */
  private async provision(plan: ScaleOutPlan, signal: AbortSignal): Promise<void> {
    const { ctx, term } = this;
    const request = this.provisionRequest(plan);
    for (let attempt = 0; attempt < PROVISION_ATTEMPTS; attempt++) {
      if (!term.isProven()) return;
      try {
        const machines = await this.cloud.provision(request, signal, () => term.isProven());
        this.recordProvisioned(plan, request, machines);
        return;
      } catch (err) {
        if (signal.aborted) return;
        ctx.log.debug(
          { name: request.name, err },
          'provision request failed; retrying while attempts remain',
        );
        await ctx.clock.sleep(ctx.timing.scalingIntervalMs * PROVISION_RETRY_INTERVALS, signal);
      }
    }
  }

  private provisionRequest({ type, zone, spot, count }: ScaleOutPlan): ProvisionRequest {
    // The name makes the request idempotent. It is never reused, by this or any other process.
    const name = `${this.ctx.incarnation}-${this.term.number}-${++this.provisionCount}`;
    return { name, type, zone, spot, count };
  }

  /**
   * Records the result of a provision request. `machines` lists the ids of the
   * provisioned machines; it is null when the cloud has no capacity.
   */
  private recordProvisioned(
    plan: ScaleOutPlan,
    request: ProvisionRequest,
    machines: readonly string[] | null,
  ): void {
    const { ctx, term, cluster, scaleOut } = this;
    const now = ctx.clock.now();
    const fields = { term: term.number, ...request, ...plan.reason };
    if (machines === null) {
      scaleOut.recordRefusal(plan, now);
      ctx.log.info(fields, 'provisioning refused: no capacity');
      return;
    }
    // Fewer than requested: the pool's capacity is exhausted.
    if (machines.length < plan.count) scaleOut.recordRefusal(plan, now);
    else scaleOut.recordSuccess(plan);
    ctx.log.info({ ...fields, machines }, 'machines provisioned');
    for (const id of machines) cluster.ensureMachine(id, plan.type, plan.zone, plan.spot, 0, now);
  }

  /** Reads machine types and prices at regular intervals; throws `AbortedError` when the signal is aborted. */
  async refreshMachineTypes(signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this;
    while (!signal.aborted) {
      try {
        const types = await this.cloud.types(signal);
        cluster.updateMachineTypes(types);
        await storeMachineTypes(ctx, types, signal);
      } catch (err) {
        if (signal.aborted) return;
        ctx.log.debug({ err }, 'machine types refresh failed; retrying at the next interval');
      }
      await ctx.clock.sleep(ctx.timing.machineTypesIntervalMs, signal);
    }
  }
}
