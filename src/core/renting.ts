import type { Cluster } from './cluster.js';
import { type Drain, fitsType, type Machine } from './machine.js';
import { type JobSpec, type MachineType, typeFits } from './model.js';
import { allowed, isReady, open } from './placement.js';

export interface RentPlan {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
  why: Record<string, unknown>;
}

interface Load {
  spec: JobSpec;
  /** Task-seconds that arrive each second, smoothed. */
  rate: number;
}

interface Refusal {
  until: number;
  times: number;
}

interface Supply {
  machine: Machine | null;
  type: MachineType;
  zone: string;
  spot: boolean;
  /** Machine-seconds free within the horizon. */
  free: number;
  fresh: boolean;
}

interface Demand {
  spec: JobSpec;
  /** Task-seconds. */
  work: number;
  backlog: boolean;
}

/**
 * Rents by unplaced demand: ready work and what is expected to arrive within
 * the time a machine takes to boot are laid over what the machines can do in
 * that time; what is left over is rented for, and a machine that stays empty
 * in this plan goes back.
 */
export class Renting {
  private readonly loads = new Map<string, Load>();
  private readonly refusals = new Map<string, Refusal>();
  private lastDecay: number | null = null;
  /** The plan's machines that no work was laid on. */
  private unneeded = new Set<Machine>();

  constructor(private readonly cluster: Cluster) {}

  /** A job has arrived: its work counts towards what is expected. */
  arrived(spec: JobSpec): void {
    const key = `${spec.jobClass}|${spec.rank}|${spec.spot}|${spec.types}|${spec.zone}|${spec.cpus}`;
    const load = this.loads.get(key) ?? { spec, rate: 0 };
    load.spec = spec;
    load.rate += (spec.tasks * this.cluster.estimateS(spec) * 1000) / this.smoothMs();
    this.loads.set(key, load);
  }

  refused(plan: RentPlan, now: number): void {
    const key = classKey(plan.type, plan.zone, plan.spot);
    const old = this.refusals.get(key);
    const times = old ? Math.min(old.times + 1, 4) : 0;
    const bootMs = (this.cluster.types.get(plan.type)?.bootS ?? 30) * 1000;
    this.refusals.set(key, {
      until: now + bootMs * this.cluster.policy.backoffBoots * 2 ** times,
      times,
    });
  }

  granted(plan: RentPlan): void {
    this.refusals.delete(classKey(plan.type, plan.zone, plan.spot));
  }

  private smoothMs(): number {
    let boot = 0;
    for (const t of this.cluster.types.values()) boot = Math.max(boot, t.bootS);
    return Math.max(1, boot) * 2000;
  }

  private decay(now: number): void {
    const since = this.lastDecay === null ? 0 : now - this.lastDecay;
    this.lastDecay = now;
    const keep = Math.exp(-since / this.smoothMs());
    for (const [key, load] of this.loads) {
      load.rate *= keep;
      if (load.rate < 1e-3) this.loads.delete(key);
    }
  }

  plan(now: number): RentPlan[] {
    const { cluster } = this;
    this.decay(now);
    if (cluster.types.size === 0) return [];
    let boot = 0;
    for (const t of cluster.types.values()) boot = Math.max(boot, t.bootS);
    const horizon = boot * (1 + cluster.policy.drainBoots);
    const supply = this.supply(horizon, now);
    const plans: RentPlan[] = [];
    const used = new Set<Machine>();
    for (const demand of this.demands(horizon, now)) {
      let left = this.lay(demand, supply, used);
      if (left <= 0) continue;
      left = this.rentFor(demand, left, horizon, supply, plans, now);
    }
    this.unneeded = new Set(
      supply.flatMap((s) => (s.machine && !used.has(s.machine) ? [s.machine] : [])),
    );
    return plans;
  }

  private supply(horizon: number, now: number): Supply[] {
    const { cluster } = this;
    const out: Supply[] = [];
    for (const m of cluster.machines.values()) {
      if (m.type === null || m.drain !== null) continue;
      let free: number;
      if (m.upAt === null) {
        free = horizon - Math.max(1, m.type.bootS - (now - m.rentedAt) / 1000);
      } else {
        if (!open(cluster, m, now) && now - m.lastReport > cluster.timing.silentMs) continue;
        free = horizon;
        for (const b of m.bindings.values()) {
          if (b.state === 'exited') continue;
          const k = Math.max(1, fitsType(m.type, b.job.spec));
          free -= Math.min(horizon, cluster.remainingS(b, now)) / k;
        }
      }
      out.push({
        machine: m,
        type: m.type,
        zone: m.zone,
        spot: m.spot,
        free: Math.max(0, free),
        fresh: m.upAt === null,
      });
    }
    // Work is laid on what is in use first, so that what is left empty is what can go back.
    return out.sort(
      (a, b) =>
        Number(b.spot) - Number(a.spot) ||
        a.free - b.free ||
        (a.machine?.id ?? '').localeCompare(b.machine?.id ?? ''),
    );
  }

  private demands(horizon: number, now: number): Demand[] {
    const { cluster } = this;
    const out: Demand[] = [];
    for (const job of cluster.jobs.values()) {
      if (!isReady(job, false, now)) continue;
      out.push({ spec: job.spec, work: job.ready * cluster.estimateS(job.spec), backlog: true });
    }
    for (const load of this.loads.values()) {
      const waits = (cluster.aims.get(load.spec.jobClass)?.waitS ?? null) !== null;
      const headroom = waits ? cluster.policy.headroom ** 2 : cluster.policy.headroom;
      out.push({ spec: load.spec, work: load.rate * horizon * headroom, backlog: false });
    }
    // Those that may go nowhere but on ordinary machines choose first.
    return out.sort(
      (a, b) =>
        Number(b.backlog) - Number(a.backlog) ||
        a.spec.rank - b.spec.rank ||
        Number(a.spec.spot) - Number(b.spec.spot),
    );
  }

  /** Lays work over the supply; returns the task-seconds that found no place. */
  private lay(demand: Demand, supply: Supply[], used: Set<Machine>): number {
    let left = demand.work;
    for (const s of supply) {
      if (left <= 0) break;
      if (s.free <= 0 || !typeAllowed(s.type, s.zone, s.spot, demand.spec)) continue;
      if (s.machine && !allowed(s.machine, demand.spec)) continue;
      const k = fitsType(s.type, demand.spec);
      if (k === 0) continue;
      const take = Math.min(left, s.free * k);
      s.free -= take / k;
      left -= take;
      if (s.machine) used.add(s.machine);
    }
    return left;
  }

  private rentFor(
    demand: Demand,
    work: number,
    horizon: number,
    supply: Supply[],
    plans: RentPlan[],
    now: number,
  ): number {
    const options = this.options(demand.spec, now);
    let left = work;
    for (const o of options) {
      const k = fitsType(o.type, demand.spec);
      const each = k * Math.max(1, horizon - o.type.bootS);
      // A small rest is left to the machines there are, unless none of them could ever take it.
      let count = Math.floor(left / each + 0.5);
      if (count === 0 && demand.backlog && !this.somewhere(demand.spec)) count = 1;
      if (count === 0) break;
      count = Math.min(count, 4);
      plans.push({
        type: o.type.name,
        zone: o.zone,
        spot: o.spot,
        count,
        why: {
          class: demand.spec.jobClass,
          backlog: demand.backlog,
          taskSeconds: Math.round(left),
        },
      });
      for (let i = 0; i < count; i++)
        supply.push({
          machine: null,
          type: o.type,
          zone: o.zone,
          spot: o.spot,
          free: Math.max(0, horizon - o.type.bootS - Math.min(left, each) / k),
          fresh: true,
        });
      left -= each * count;
      if (left <= 0) break;
    }
    return left;
  }

  private somewhere(spec: JobSpec): boolean {
    for (const m of this.cluster.machines.values())
      if (m.type && m.drain === null && allowed(m, spec) && fitsType(m.type, spec) > 0) return true;
    return false;
  }

  /** What may be rented for the job, cheapest work first, the zone with the fewest machines first. */
  private options(spec: JobSpec, now: number) {
    const out: { type: MachineType; zone: string; spot: boolean; price: number; here: number }[] =
      [];
    for (const type of this.cluster.types.values()) {
      const k = fitsType(type, spec);
      if (k === 0 || !typeFits(spec, type)) continue;
      for (const zone of type.zones) {
        for (const spot of [true, false]) {
          if (!typeAllowed(type, zone, spot, spec)) continue;
          const refusal = this.refusals.get(classKey(type.name, zone, spot));
          if (refusal && refusal.until > now) continue;
          let here = 0;
          for (const m of this.cluster.machines.values())
            if (m.zone === zone && m.spot === spot && m.typeName === type.name) here++;
          out.push({ type, zone, spot, price: (spot ? type.spotPrice : type.price) / k, here });
        }
      }
    }
    return out.sort((a, b) => a.price - b.price || a.here - b.here);
  }

  /** Machines that should go back to the cloud now, with the reason. */
  returns(now: number): { machine: Machine; why: Drain }[] {
    const { cluster } = this;
    const out: { machine: Machine; why: Drain }[] = [];
    for (const m of cluster.machines.values()) {
      const bootMs = (m.type?.bootS ?? 60) * 1000;
      if (m.upAt === null) {
        if (now - m.rentedAt > bootMs * cluster.policy.bootPatience)
          out.push({ machine: m, why: 'no boot' });
        continue;
      }
      const silent = now - m.lastReport;
      if (silent > cluster.timing.silentMs) {
        if (silent > this.silencePatience(m, now)) out.push({ machine: m, why: 'silent' });
        continue;
      }
      if (m.drain === 'sick') out.push({ machine: m, why: 'sick' });
      else if (m.bindings.size > 0 || m.inherited || m.strays) continue;
      else if (m.drain !== null) out.push({ machine: m, why: m.drain });
      else if (
        m.confirmed &&
        this.unneeded.has(m) &&
        now - m.idleSince > bootMs * cluster.policy.idleBoots
      )
        out.push({ machine: m, why: 'idle' });
    }
    return out;
  }

  /**
   * A silent machine is fenced by returning it. When much of its zone is
   * silent with it, a cut is likelier than a death: its tasks may live on, so
   * more time is given.
   */
  private silencePatience(m: Machine, now: number): number {
    let silent = 0;
    let all = 0;
    for (const o of this.cluster.machines.values()) {
      if (o.zone !== m.zone || o.upAt === null) continue;
      all++;
      if (now - o.lastReport > this.cluster.timing.silentMs) silent++;
    }
    const cut = silent >= 2 && silent > all * 0.7;
    return cut ? this.cluster.timing.workerLeaseMs * 1.5 : this.cluster.timing.silentMs;
  }
}

function typeAllowed(type: MachineType, zone: string, spot: boolean, spec: JobSpec): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}

function classKey(type: string, zone: string, spot: boolean): string {
  return `${type}|${zone}|${spot}`;
}
