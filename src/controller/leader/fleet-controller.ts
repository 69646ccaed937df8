/**
 * The leader's routines towards the cloud: machine list, scale-out, scale-in,
 * and machine types with their prices. Owns the names of provision requests;
 * writes the machine types to the state service, and nothing else.
 *
 * Serves docs/design.md "Safety" 2 (machines are provisioned and terminated only
 * while the term is proven) and 7 (a machine is terminated only by proof: the
 * cloud's answer, or the machine list).
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
import { storeMachineTypes } from '../machine-types.js';

type MachinePage = Awaited<ReturnType<CloudClient['list']>>;

/** Planning is followed by this many times its duration for heartbeats, rounds and the job API. */
const SCALING_REST_RATIO = 30;

/** The share of the calls to the cloud that scale-in may take while many machines are to be terminated. */
const TERMINATION_CALL_SHARE = 0.5;

/** A provision request without an answer is sent again under its name, this often in all. */
const PROVISION_ATTEMPTS = 3;

/** The pause before a provision request is repeated, in scaling intervals. */
const PROVISION_RETRY_INTERVALS = 0.5;

/** What the fleet controller works on. */
export interface FleetControllerOptions {
  ctx: ControllerContext;
  term: LeaderTerm;
  cluster: ClusterState;
  scaleOut: ScaleOutPlanner;
  scaleIn: ScaleInPlanner;
  cloud: Pick<CloudClient, 'types' | 'list' | 'provision' | 'terminate'>;
  /** Its connections to machines that no longer exist are closed after each list. */
  agents: Pick<AgentClient, 'retainOnly'>;
}

/** The fleet of one leader term. */
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
        // The list proves absence only as of the moment when it was asked for.
        const askedAt = ctx.clock.now();
        const machines = await this.listAllMachines(signal);
        cluster.applyMachineList(machines, askedAt, ctx.clock.now());
        this.closeStaleConnections();
      } catch (err) {
        if (signal.aborted) return;
        ctx.log.debug({ err }, 'machine list not answered');
      }
      await ctx.clock.sleep(ctx.timing.listMs, signal);
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
    let loggedAt = 0;
    let planningMs = 0;
    // The machine list comes first: what an earlier leader provisioned is not provisioned again.
    await clock.sleep(timing.listMs, signal);
    while (!signal.aborted) {
      await clock.sleep(Math.max(timing.scalingMs, planningMs * SCALING_REST_RATIO), signal);
      await waitWhileLagging(clock, timing.roundMs, timing.heartbeatMs, signal);
      if (!this.term.isProven()) continue;
      const now = clock.now();
      // Scale-out first: its plan marks the machines that are candidates for scale-in.
      const provisions = scaleOut.plan(now);
      const terminations = scaleIn.plan(now).slice(0, this.maxTerminations());
      planningMs = clock.now() - now;
      for (let from = 0; from < terminations.length; from += MAX_MACHINES_PER_TERMINATION)
        await this.terminate(terminations.slice(from, from + MAX_MACHINES_PER_TERMINATION), signal);
      for (const plan of provisions) await this.provision(plan, signal);
      if (now - loggedAt > timing.fleetLogMs) {
        loggedAt = now;
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

  /** As many machines as the cloud has calls for until the next look; the others follow then. */
  private maxTerminations(): number {
    const { platform, timing } = this.ctx;
    const calls = (platform.settings.cloud.rps * timing.scalingMs * TERMINATION_CALL_SHARE) / 1000;
    return MAX_MACHINES_PER_TERMINATION * Math.max(1, Math.floor(calls));
  }

  /**
   * Scale-in. The machines are drained first, so that nothing is assigned to
   * them while the request is in flight. Without an answer they stay drained and
   * are in the next plan again.
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
      ctx.log.debug({ err }, 'terminate request not answered');
    }
  }

  /** Scale-out. Repeated under the same name: had an earlier request been carried out, the answer is the same machines. */
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
        ctx.log.debug({ name: request.name, err }, 'provision request not answered');
        await ctx.clock.sleep(ctx.timing.scalingMs * PROVISION_RETRY_INTERVALS, signal);
      }
    }
  }

  private provisionRequest({ type, zone, spot, count }: ScaleOutPlan): ProvisionRequest {
    // Idempotent by its name, which is never used again, neither by this process nor by another.
    const name = `${this.ctx.incarnation}-${this.term.number}-${++this.provisionCount}`;
    return { name, type, zone, spot, count };
  }

  /** `machines`: their ids; null when the cloud has no capacity. */
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
    // Fewer than asked for: the cloud's capacity for this kind of machine is used up.
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
        ctx.log.debug({ err }, 'machine types not answered');
      }
      await ctx.clock.sleep(ctx.timing.typesMs, signal);
    }
  }
}
