import { type CloudClient, RETURN_LIMIT } from '../../clients/cloud-client.js';
import type { ListedMachine } from '../../model/model.js';
import { inTime } from '../../runtime/clock.js';
import type { Renting, RentPlan } from '../../scheduler/scaling/scale-out.js';
import type { Cluster } from '../../scheduler/state/cluster-state.js';
import type { Machine } from '../../scheduler/state/machine.js';
import type { Context } from '../context.js';
import type { Term } from '../election/leader-election.js';
import { storeTypes } from '../machine-types.js';

type MachinePage = Awaited<ReturnType<CloudClient['list']>>;

/** A look at what is to be rented and returned is followed by this many times as much for everything else. */
const RENT_REST = 30;
/** The part of the calls to the cloud that returns may take while many machines have to go. */
const RETURN_CALLS = 0.5;
/** A rental without an answer is asked for again under its name, this often in all. */
const RENT_TRIES = 3;

/** A leader's duties towards the cloud: the machine list, its types and prices, rentals and returns. */
export class Fleet {
  private hires = 0;

  constructor(
    private readonly ctx: Context,
    private readonly term: Term,
    private readonly cluster: Cluster,
    private readonly renting: Renting,
    private readonly cloud: Pick<CloudClient, 'types' | 'list' | 'rent' | 'giveBack'>,
    /** Told of the addresses that there are after each list. */
    private readonly onListed: (addresses: Set<string>) => void,
  ) {}

  async listMachines(signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this;
    while (!signal.aborted) {
      try {
        const askedAt = ctx.clock.now();
        const machines = await this.wholeList(signal);
        cluster.listed(machines, askedAt, ctx.clock.now());
        this.onListed(new Set([...cluster.machines.values()].map((m) => m.address)));
      } catch (error) {
        if (signal.aborted) return;
        ctx.log.debug({ error: String((error as Error).message) }, 'machine list not answered');
      }
      await ctx.clock.sleep(ctx.timing.listMs, signal);
    }
  }

  private async wholeList(signal: AbortSignal): Promise<ListedMachine[]> {
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

  async rent(signal: AbortSignal): Promise<void> {
    const { ctx, cluster, renting } = this;
    let toldAt = 0;
    let tookMs = 0;
    // The list comes first: what an earlier leader rented is not rented again.
    await ctx.clock.sleep(ctx.timing.listMs, signal);
    while (!signal.aborted) {
      await ctx.clock.sleep(Math.max(ctx.timing.rentMs, tookMs * RENT_REST), signal);
      await inTime(ctx.clock, ctx.timing.roundMs, ctx.timing.reportMs, signal);
      if (!this.term.proven()) continue;
      const now = ctx.clock.now();
      const plans = renting.plan(now);
      const returns = renting.returns(now).slice(0, RETURN_LIMIT * this.returnCalls());
      tookMs = ctx.clock.now() - now;
      for (let from = 0; from < returns.length; from += RETURN_LIMIT)
        await this.giveBack(returns.slice(from, from + RETURN_LIMIT), signal);
      for (const plan of plans) await this.hire(plan, signal);
      if (now - toldAt > ctx.timing.reportEveryMs) {
        toldAt = now;
        ctx.log.info(
          { term: this.term.term, jobs: cluster.jobs.size, ...renting.overview(now) },
          'fleet',
        );
      }
    }
  }

  /** Return calls for one look: those for which the cloud has time until the next. */
  private returnCalls(): number {
    const { platform, timing } = this.ctx;
    const calls = (platform.settings.cloud.rps * timing.rentMs * RETURN_CALLS) / 1000;
    return Math.max(1, Math.floor(calls));
  }

  private async giveBack(
    returns: { machine: Machine; why: Machine['drain'] }[],
    signal: AbortSignal,
  ): Promise<void> {
    const { ctx, cluster } = this;
    for (const r of returns) if (r.why) cluster.drain(r.machine, r.why);
    try {
      await this.cloud.giveBack(
        returns.map((r) => r.machine.id),
        signal,
        this.term.proven,
      );
      const now = ctx.clock.now();
      for (const r of returns) cluster.machineGone(r.machine.id, `returned: ${r.why}`, now);
    } catch (error) {
      if (signal.aborted) return;
      ctx.log.debug({ error: String((error as Error).message) }, 'return not answered');
    }
  }

  private async hire(plan: RentPlan, signal: AbortSignal): Promise<void> {
    const { ctx, cluster, renting } = this;
    // Never used again, by this process or another.
    const name = `${ctx.incarnation}-${this.term.term}-${++this.hires}`;
    const request = {
      name,
      type: plan.type,
      zone: plan.zone,
      spot: plan.spot,
      count: plan.count,
    };
    for (let tries = 0; tries < RENT_TRIES; tries++) {
      if (!this.term.proven()) return;
      try {
        const got = await this.cloud.rent(request, signal, this.term.proven);
        const now = ctx.clock.now();
        const fields = { term: this.term.term, ...request, ...plan.why };
        if (got === null) {
          renting.refused(plan, now);
          ctx.log.info(fields, 'rent refused: no capacity');
          return;
        }
        if (got.length < plan.count) renting.refused(plan, now);
        else renting.granted(plan);
        ctx.log.info({ ...fields, machines: got }, 'rented');
        for (const id of got) cluster.machine(id, plan.type, plan.zone, plan.spot, 0, now);
        return;
      } catch (error) {
        if (signal.aborted) return;
        // The same name again: had it been carried out, the answer is the same machines.
        ctx.log.debug({ name, error: String((error as Error).message) }, 'rent not answered');
        await ctx.clock.sleep(ctx.timing.rentMs * 0.5, signal);
      }
    }
  }

  async refreshTypes(signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this;
    while (!signal.aborted) {
      try {
        const types = await this.cloud.types(signal);
        cluster.setTypes(types);
        await storeTypes(ctx, types, signal);
      } catch (error) {
        if (signal.aborted) return;
        ctx.log.debug({ error: String((error as Error).message) }, 'machine types not answered');
      }
      await ctx.clock.sleep(ctx.timing.typesMs, signal);
    }
  }
}
