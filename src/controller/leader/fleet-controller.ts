import { type CloudClient, MAX_MACHINES_PER_TERMINATION } from '../../clients/cloud-client.js';
import type { ListedMachine } from '../../model/machine.js';
import { waitWhileLagging } from '../../runtime/clock.js';
import type { MachineTermination } from '../../scheduler/scaling/scale-in.js';
import type { ScaleOutPlan, ScaleOutPlanner } from '../../scheduler/scaling/scale-out.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import { storeMachineTypes } from '../machine-types.js';

type MachinePage = Awaited<ReturnType<CloudClient['list']>>;

/** A look at what is to be rented and returned is followed by this many times as much for everything else. */
const SCALING_REST_RATIO = 30;
/** The part of the calls to the cloud that returns may take while many machines have to go. */
const TERMINATION_CALL_SHARE = 0.5;
/** A rental without an answer is asked for again under its name, this often in all. */
const PROVISION_ATTEMPTS = 3;

/** A leader's duties towards the cloud: the machine list, its types and prices, rentals and returns. */
export class FleetController {
  private provisionCount = 0;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly scaleOut: ScaleOutPlanner,
    private readonly cloud: Pick<CloudClient, 'types' | 'list' | 'provision' | 'terminate'>,
    /** Told of the addresses that there are after each list. */
    private readonly onListed: (addresses: Set<string>) => void,
  ) {}

  async listMachines(signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this;
    while (!signal.aborted) {
      try {
        const askedAt = ctx.clock.now();
        const machines = await this.listAllMachines(signal);
        cluster.applyMachineList(machines, askedAt, ctx.clock.now());
        this.onListed(new Set([...cluster.machines.values()].map((machine) => machine.address)));
      } catch (error) {
        if (signal.aborted) return;
        ctx.log.debug({ error: String((error as Error).message) }, 'machine list not answered');
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

  async runScaling(signal: AbortSignal): Promise<void> {
    const { ctx, cluster, scaleOut } = this;
    let toldAt = 0;
    let tookMs = 0;
    // The list comes first: what an earlier leader rented is not rented again.
    await ctx.clock.sleep(ctx.timing.listMs, signal);
    while (!signal.aborted) {
      await ctx.clock.sleep(Math.max(ctx.timing.scalingMs, tookMs * SCALING_REST_RATIO), signal);
      await waitWhileLagging(ctx.clock, ctx.timing.roundMs, ctx.timing.heartbeatMs, signal);
      if (!this.term.isProven()) continue;
      const now = ctx.clock.now();
      const plans = scaleOut.plan(now);
      const returns = scaleOut
        .planScaleIn(now)
        .slice(0, MAX_MACHINES_PER_TERMINATION * this.terminationCalls());
      tookMs = ctx.clock.now() - now;
      for (let from = 0; from < returns.length; from += MAX_MACHINES_PER_TERMINATION)
        await this.terminate(returns.slice(from, from + MAX_MACHINES_PER_TERMINATION), signal);
      for (const plan of plans) await this.provision(plan, signal);
      if (now - toldAt > ctx.timing.fleetLogMs) {
        toldAt = now;
        ctx.log.info(
          { term: this.term.number, jobs: cluster.jobs.size, ...scaleOut.overview(now) },
          'fleet',
        );
      }
    }
  }

  /** Return calls for one look: those for which the cloud has time until the next. */
  private terminationCalls(): number {
    const { platform, timing } = this.ctx;
    const calls = (platform.settings.cloud.rps * timing.scalingMs * TERMINATION_CALL_SHARE) / 1000;
    return Math.max(1, Math.floor(calls));
  }

  private async terminate(
    terminations: readonly MachineTermination[],
    signal: AbortSignal,
  ): Promise<void> {
    const { ctx, cluster } = this;
    for (const { machine, reason } of terminations) cluster.drain(machine, reason);
    try {
      await this.cloud.terminate(
        terminations.map(({ machine }) => machine.id),
        signal,
        this.term.isProven,
      );
      const now = ctx.clock.now();
      for (const { machine, reason } of terminations)
        cluster.markTerminated(machine.id, `returned: ${reason}`, now);
    } catch (error) {
      if (signal.aborted) return;
      ctx.log.debug({ error: String((error as Error).message) }, 'return not answered');
    }
  }

  private async provision(plan: ScaleOutPlan, signal: AbortSignal): Promise<void> {
    const { ctx, cluster, scaleOut } = this;
    // Never used again, by this process or another.
    const name = `${ctx.incarnation}-${this.term.number}-${++this.provisionCount}`;
    const request = {
      name,
      type: plan.type,
      zone: plan.zone,
      spot: plan.spot,
      count: plan.count,
    };
    for (let tries = 0; tries < PROVISION_ATTEMPTS; tries++) {
      if (!this.term.isProven()) return;
      try {
        const got = await this.cloud.provision(request, signal, this.term.isProven);
        const now = ctx.clock.now();
        const fields = { term: this.term.number, ...request, ...plan.reason };
        if (got === null) {
          scaleOut.recordRefusal(plan, now);
          ctx.log.info(fields, 'rent refused: no capacity');
          return;
        }
        if (got.length < plan.count) scaleOut.recordRefusal(plan, now);
        else scaleOut.recordSuccess(plan);
        ctx.log.info({ ...fields, machines: got }, 'rented');
        for (const id of got) cluster.ensureMachine(id, plan.type, plan.zone, plan.spot, 0, now);
        return;
      } catch (error) {
        if (signal.aborted) return;
        // The same name again: had it been carried out, the answer is the same machines.
        ctx.log.debug({ name, error: String((error as Error).message) }, 'rent not answered');
        await ctx.clock.sleep(ctx.timing.scalingMs * 0.5, signal);
      }
    }
  }

  async refreshMachineTypes(signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this;
    while (!signal.aborted) {
      try {
        const types = await this.cloud.types(signal);
        cluster.updateMachineTypes(types);
        await storeMachineTypes(ctx, types, signal);
      } catch (error) {
        if (signal.aborted) return;
        ctx.log.debug({ error: String((error as Error).message) }, 'machine types not answered');
      }
      await ctx.clock.sleep(ctx.timing.typesMs, signal);
    }
  }
}
