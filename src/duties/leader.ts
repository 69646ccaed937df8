import { setMaxListeners } from 'node:events';
import { Priority } from '../clients/budget.js';
import type { CloudClient } from '../clients/cloud.js';
import { RETURN_LIMIT } from '../clients/cloud.js';
import { Refused } from '../clients/state.js';
import type { WorkerClient } from '../clients/worker.js';
import type { Policy } from '../config/policy.js';
import type { Platform } from '../config/settings.js';
import { type Aims, Cluster, type CorePolicy, chunkKey } from '../core/cluster.js';
import { flushUnits, type Unit, unknownChunks } from '../core/flush.js';
import type { Binding, Machine } from '../core/machine.js';
import type { ListedMachine, MachineReport, Order } from '../core/model.js';
import { fill, round } from '../core/placement.js';
import { type Load, Renting, type RentPlan } from '../core/renting.js';
import type { RosterEntry } from '../core/roster.js';
import { NotSent, NotTried } from '../http/client.js';
import type { Entry, StoreEvent } from '../protocol/store.js';
import { isObject, tokenOf } from '../protocol/wire.js';
import { inTime, Stopped } from './clock.js';
import type { Context, LiveRecord } from './context.js';
import { LEADER_KEY, type Term } from './leadership.js';
import { readTypes, storeTypes } from './types.js';

const LIVE = 'live/';
const BITS = 'bits/';
const LOADS_KEY = 'loads';
const ROSTER = 'roster/';
/** About what a machine takes in a page of the roster. */
const ROSTER_ENTRY_BYTES = 128;
/** A transaction's own limit in the protocol, with room for its frame. */
const TRANSACTION_BYTES = 56 * 1024;

export function corePolicy(p: Policy): CorePolicy {
  return {
    weights: {
      throughput: p['score.throughput'],
      cost: p['score.cost'],
      locality: p['score.locality'],
    },
    waitSpread: p['rent.wait-spread'],
    spread: p['rent.spread'],
    smoothBoots: p['rent.smooth-boots'],
    drainBoots: p['rent.drain-boots'],
    idleBoots: p['rent.idle-boots'],
    bootPatience: p['rent.boot-patience'],
    backoffBoots: p['rent.backoff-boots'],
    sickJobs: p['sick.jobs'],
    sickFailures: p['sick.failures'],
    faultyMachines: p['job.faulty-machines'],
    machineStarts: p['round.machine-starts'],
  };
}

/** What work is expected, and the newest job counted in it. */
interface KeptLoads {
  loads: Load[];
  upTo: number;
}

/** A page of the roster; one machine stood in a key of its own in earlier versions. */
function rosterEntries(key: string, value: unknown): RosterEntry[] {
  const v = isObject(value) ? value : {};
  const list = Array.isArray(v.machines) ? v.machines : [{ ...v, id: key }];
  return list.filter(isObject).map((m) => ({
    id: String(m.id),
    type: String(m.type),
    zone: String(m.zone),
    spot: m.spot === true,
    address: typeof m.address === 'string' ? m.address : '',
  }));
}

type Page = Awaited<ReturnType<Context['state']['listPage']>>;
type MachinePage = Awaited<ReturnType<CloudClient['list']>>;

/** A round's own time is followed by this many times as much for everything else. */
const ROUND_REST = 8;

/** The same for a look at what is to be rented and returned, which is longer and less pressing. */
const RENT_REST = 30;

/** Asking machines after a takeover is followed by this many times as much for their own reports. */
const CONFIRM_REST = 2;

/** Commands to machines under way at the same time, as a part of the sockets; the connections are kept for the next ones. */
const COMMAND_SOCKETS = 0.07;

/** Machines confirmed at the same time after a takeover, as a part of the sockets: one that is gone keeps its lane until it times out. */
const CONFIRM_SOCKETS = 0.03;

function socketsOf(platform: Platform, share: number): number {
  return Math.ceil(platform.settings.quota.max_sockets * share);
}

/** The sockets that a leader's commands may take. */
export function commandSockets(platform: Platform): number {
  return socketsOf(platform, COMMAND_SOCKETS) + socketsOf(platform, CONFIRM_SOCKETS);
}

function aimsOf(objectives: Platform['settings']['objectives']): Aims {
  const aims: Aims = { classes: new Map(), guaranteeS: null };
  for (const o of objectives ?? []) {
    if (o.kind === 'guarantee') aims.guaranteeS = o.within_s ?? null;
    if (!o.class) continue;
    const c = aims.classes.get(o.class) ?? { waits: [], finishes: [], deadlines: [] };
    aims.classes.set(o.class, c);
    if (o.kind === 'wait' && o.within_s) c.waits.push(o.within_s);
    else if (o.kind === 'finished' && o.within_s) c.finishes.push(o.within_s);
    else if (o.kind === 'deadline') c.deadlines.push(o.times ?? 1);
  }
  return aims;
}

/** Keys come in the order of their names; jobs arrived in that of their versions. */
function byArrival(entries: Entry[]): Entry[] {
  return entries.sort((a, b) => a.version - b.version);
}

/** The duties of one term: takeover, watch, rounds, durable progress, cloud. */
export class Leader {
  readonly cluster: Cluster;
  private readonly renting: Renting;
  /** The state service has been read: reports are taken into the picture. */
  ready = false;
  private begin: () => void = () => {};
  private readonly read = new Promise<void>((resolve) => {
    this.begin = resolve;
  });
  private hires = 0;
  private lastRound = 0;
  /** Jobs up to this version are counted in what is expected. */
  private counted = 0;
  /** Machines with a direct command under way: one at a time each. */
  private readonly telling = new Set<string>();
  constructor(
    private readonly ctx: Context,
    private readonly cloud: Pick<CloudClient, 'types' | 'list' | 'rent' | 'giveBack'>,
    readonly term: Term,
    private readonly policy: CorePolicy,
    private readonly workers: Pick<WorkerClient, 'command' | 'keep' | 'close'>,
  ) {
    const { workers: agents, state, objectives } = ctx.platform.settings;
    this.cluster = new Cluster(
      term.term,
      ctx.teams,
      {
        reportMs: agents.report_s * 1000,
        workerLeaseMs: ctx.timing.workerLeaseMs,
        listProofMs: ctx.timing.listProofMs,
        silentMs: ctx.timing.silentMs,
      },
      policy,
      aimsOf(objectives ?? []),
      // Half the value limit: base64 adds a third, and the frame a little.
      Math.max(1, Math.floor(state.value_kb * 1024 * 0.5)) * 8,
      (message, fields) => ctx.log.info({ term: term.term, ...fields }, message),
      Math.max(1, Math.floor((state.value_kb * 1024 * 0.5) / ROSTER_ENTRY_BYTES)),
    );
    this.renting = new Renting(this.cluster);
    this.cluster.onGone = (m) => this.renting.freed(m, ctx.clock.now());
    setMaxListeners(0, term.signal);
    term.signal.addEventListener('abort', () => this.workers.close(), { once: true });
  }

  private sockets(share: number): number {
    return socketsOf(this.ctx.platform, share);
  }

  async run(): Promise<void> {
    const { ctx, term } = this;
    const began = ctx.clock.now();
    const { revision, askedAt } = await this.load();
    term.informed(askedAt);
    this.ready = true;
    this.begin();
    ctx.log.info(
      {
        term: term.term,
        jobs: this.cluster.jobs.size,
        machines: this.cluster.machines.size,
        ms: Math.round(ctx.clock.now() - began),
      },
      'takeover read',
    );
    await Promise.all([
      this.duty('confirm', (s) => this.confirmAll(s)),
      this.duty('watch', (s) => this.watch(revision, s)),
      this.duty('rounds', (s) => this.rounds(s)),
      this.duty('flush', (s) => this.flush(s)),
      this.duty('list', (s) => this.listMachines(s)),
      this.duty('renting', (s) => this.rent(s)),
      this.duty('loads', (s) => this.keepLoads(s)),
      this.duty('types', (s) => this.refreshTypes(s)),
    ]);
  }

  /** Runs one duty until the term ends; an unexpected fault in one ends the term. */
  private async duty(name: string, body: (signal: AbortSignal) => Promise<void>): Promise<void> {
    try {
      await body(this.term.signal);
    } catch (error) {
      if (this.term.signal.aborted || error instanceof Stopped) return;
      this.ctx.log.error({ duty: name, error: String((error as Error).stack) }, 'duty failed');
      this.term.resign(`duty ${name} failed`);
    }
  }

  /** Repeats a call of a duty until it is answered or the term ends. */
  private async insist<T>(call: (signal: AbortSignal) => Promise<T>): Promise<T> {
    for (let tries = 0; ; tries++) {
      try {
        return await call(this.term.signal);
      } catch (error) {
        if (this.term.signal.aborted) throw new Stopped();
        const wait = this.ctx.timing.renewMs * Math.min(2, 0.15 * 2 ** tries);
        const hint = error instanceof Refused ? Math.min(error.retryMs, wait) : wait;
        this.ctx.log.debug({ error: String((error as Error).message) }, 'call repeated');
        await this.ctx.clock.sleep(hint * (0.7 + Math.random() * 0.6), this.term.signal);
      }
    }
  }

  private async readAll(prefix: string): Promise<{ entries: Entry[]; revision: number }> {
    const entries: Entry[] = [];
    let after: string | null = null;
    let revision: number | null = null;
    for (;;) {
      const from: string | null = after;
      const page: Page = await this.insist((s) => this.ctx.state.listPage(prefix, from, s));
      // Events since the first page are applied again over the later ones.
      revision ??= page.revision;
      entries.push(...page.entries);
      const last = page.entries.at(-1);
      if (!page.more || !last) return { entries, revision };
      after = last.key;
    }
  }

  private async load(): Promise<{ revision: number; askedAt: number }> {
    const { ctx, cluster } = this;
    const now = ctx.clock.now();
    cluster.wallOffset = ctx.clock.wall() - now;
    if (!ctx.types) ctx.types = await this.insist((s) => readTypes(ctx, this.cloud, s));
    cluster.setTypes(ctx.types ?? []);
    const roster = await this.readAll(ROSTER);
    for (const e of roster.entries) {
      const key = e.key.slice(ROSTER.length);
      const entries = rosterEntries(key, e.value);
      cluster.roster.restore(key, e.version, entries);
      for (const m of entries)
        cluster.inheritMachine(m.id, m.type, m.zone, m.spot, m.address, ctx.clock.now());
    }
    const askedAt = ctx.clock.now();
    const live = await this.readAll(LIVE);
    // What was expected before goes on; jobs that arrived since it was written add to it.
    const entry = await this.insist((s) => ctx.state.get(LOADS_KEY, Priority.lead, s));
    const kept = entry && isObject(entry.value) ? (entry.value as unknown as KeptLoads) : null;
    if (kept && Array.isArray(kept.loads)) {
      this.renting.restore(kept.loads);
      this.counted = kept.upTo;
    }
    for (const e of byArrival(live.entries)) this.addLive(e.key, e.value, e.version);
    const bits = await this.readAll(BITS);
    for (const e of bits.entries) {
      const [, id = '', chunk = ''] = e.key.split('/');
      const job = cluster.jobs.get(id);
      if (job && typeof e.value === 'string')
        job.loadChunk(
          Number(chunk),
          cluster.tasksPerChunk,
          Buffer.from(e.value, 'base64'),
          e.version,
        );
      else cluster.cleanup.add(e.key);
    }
    return { revision: live.revision, askedAt };
  }

  private addLive(key: string, value: unknown, version: number): void {
    const record = value as LiveRecord;
    if (!isObject(value) || !isObject(record.spec)) {
      this.ctx.log.error({ key }, 'live job is not readable');
      return;
    }
    const inherited = version <= this.term.version;
    const job = this.cluster.addJob(record.spec, version, record.at, inherited);
    if (!job || version <= this.counted) return;
    this.counted = version;
    this.renting.arrived(record.spec);
  }

  private async watch(revision: number, signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    let after = revision;
    while (!signal.aborted) {
      let askedAt = ctx.clock.now();
      const from = after;
      const got = await this.insist((s) => ctx.state.watch(LIVE, from, ctx.timing.newsMs, s));
      if (got) {
        for (const e of got.events) this.apply(e);
        after = got.revision;
      } else {
        // Too old a revision, which by itself is no news: what is no longer listed has ended.
        askedAt = ctx.clock.now();
        const live = await this.readAll(LIVE);
        const known = new Set(live.entries.map((e) => e.key.slice(LIVE.length)));
        for (const id of [...this.cluster.jobs.keys()]) if (!known.has(id)) this.cluster.endJob(id);
        for (const e of byArrival(live.entries)) this.addLive(e.key, e.value, e.version);
        after = live.revision;
      }
      this.cluster.upToDate(after);
      // Only an answer tells that nothing was missed, and only up to when it was asked for: a watch
      // that waits through a refusal of this node alone knows nothing of what others confirm.
      this.term.informed(askedAt);
    }
  }

  private apply(e: StoreEvent): void {
    if (e.op === 'put') this.addLive(e.key, e.value, e.version);
    else this.cluster.endJob(e.key.slice(LIVE.length));
    // What the job still runs is stopped without waiting for reports.
    if (this.cluster.toTell.size > 0) setImmediate(() => this.tell());
  }

  /**
   * A node is about to confirm this cancellation, which is durable. The watch
   * may be late or refused to this node alone: nothing of the job may start
   * once its user has been told.
   */
  cancelled(id: string, revision: number): void {
    this.cluster.announceEnd(id, revision);
    if (this.cluster.toTell.size > 0) setImmediate(() => this.tell());
  }

  /** Waits until the state service has been read, or for as long as a report's answer may take. */
  async begun(): Promise<void> {
    if (this.ready) return;
    const late = this.ctx.clock.sleep(this.ctx.timing.commandTimeoutMs).catch(() => {});
    await Promise.race([this.read, late]);
  }

  /** Takes a worker's report and returns what goes back with its answer: the orders and the machine's fence. */
  report(r: MachineReport, relayed: boolean): { orders: Order[]; fence: number } {
    const { cluster, term, ctx } = this;
    const now = ctx.clock.now();
    const taken = cluster.report(r, true, now);
    const m = cluster.machines.get(r.machine);
    // An answer under a lower fence than the machine knows would be dropped.
    if (!taken || !m)
      return {
        orders: cluster.endsOf(r),
        fence: Math.max(m?.fence ?? 0, r.term === term.term ? r.fence : 0),
      };
    m.relayed = relayed;
    if (m.deafSince !== null) {
      // Behind a cut it can't answer a command; there only starts without effect speak against it.
      const tried = now - m.deafSince > ctx.timing.workerLeaseMs * 0.5;
      if (relayed && (m.lostAnswers === 0 || tried)) cluster.hears(m);
      else if (!relayed) {
        cluster.toProbe.add(m);
        setImmediate(() => this.tell());
      }
    }
    if (!m.confirmed || !term.mayStart()) return { orders: cluster.endsOf(r), fence: m.fence };
    // Room that this report has freed is filled in its own answer.
    fill(cluster, m, this.policy.machineStarts, now);
    // A command under way would be refused under the new token.
    if (!this.telling.has(m.id)) cluster.fenceOff(m, now);
    return { orders: cluster.orders(m), fence: m.fence };
  }

  /** Done and running tasks of live jobs, for display. */
  counts(limit: number): [string, number, number][] {
    const out: [string, number, number][] = [];
    for (const job of this.cluster.jobs.values()) {
      if (job.done === 0 && job.bound.size === 0) continue;
      out.push([job.spec.id, job.done, job.bound.size]);
      if (out.length >= limit) break;
    }
    return out;
  }

  private round(now: number): boolean {
    this.cluster.stirred = false;
    this.lastRound = now;
    let ready = 0;
    for (const job of this.cluster.jobs.values()) ready += job.ready;
    // Under overload a round decides more at once, so that its fixed cost is shared.
    const limit = Math.max(this.policy.machineStarts, Math.ceil(ready / 8));
    const result = round(this.cluster, limit, now);
    // After the answer to a report that is being handled now has taken its own orders.
    if (this.cluster.toTell.size > 0) setImmediate(() => this.tell());
    return result.started.length >= limit;
  }

  /**
   * Tells the inherited machines the new token without waiting for their
   * reports: an answer under it confirms the machine.
   */
  private async confirmAll(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const { clock, timing } = ctx;
    const left = [...this.cluster.machines.values()].filter((m) => m.inherited);
    const most = this.sockets(CONFIRM_SOCKETS);
    let atOnce = 1;
    while (left.length > 0) {
      await inTime(clock, timing.roundMs, timing.workerLeaseMs, signal);
      const asked: Promise<void>[] = [];
      while (asked.length < atOnce && left.length > 0) {
        const m = left.pop() as Machine;
        if (m.inherited && m.address !== '') asked.push(this.confirm(m, signal));
      }
      const began = clock.now();
      // One that does not answer holds up nobody.
      await Promise.race([Promise.all(asked), clock.sleep(timing.lateMs, signal)]);
      const tookMs = clock.now() - began;
      atOnce = tookMs < timing.lateMs * 0.5 ? Math.min(most, atOnce * 2) : Math.ceil(atOnce / 2);
      // A worker that reports costs less than one that is asked, and has to be served in any case.
      await clock.sleep(tookMs * CONFIRM_REST, signal);
    }
  }

  /** A command under the machine's token. It leaves only while leadership is proven, however long it waited for its connection. */
  private send(m: Machine, session: number, orders: Order[]) {
    const { term } = this;
    const token = tokenOf(term.term, m.fence);
    return this.workers.command(m.address, token, session, orders, term.signal, term.proven);
  }

  private async confirm(m: Machine, signal: AbortSignal): Promise<void> {
    const { term, ctx } = this;
    try {
      // Most machines are in their first session; the refusal tells of a later one.
      let session = Math.max(1, m.session);
      for (let tries = 0; tries < 2 && term.proven(); tries++) {
        const answer = await this.send(m, session, []);
        this.takeCommandAnswer(m, answer.report);
        if (answer.executed || answer.report.session === session) return;
        session = answer.report.session;
      }
    } catch (error) {
      if (!signal.aborted)
        ctx.log.debug(
          { machine: m.id, error: String((error as Error).message) },
          'not confirmed by command',
        );
    }
  }

  /** Sends what should not wait for the machines' next reports. */
  private tell(): void {
    const { cluster, term } = this;
    if (!term.mayStart()) return;
    // A command costs several times what its orders cost in the answer to a report.
    if (cluster.isBehind(this.ctx.clock.now())) return;
    const most = this.sockets(COMMAND_SOCKETS);
    for (const m of cluster.toTell) {
      // The rest follows as these are answered, unless a report comes first.
      if (this.telling.size >= most) return;
      if (this.telling.has(m.id)) continue;
      cluster.toTell.delete(m);
      const { orders, starts } = cluster.urgent(m);
      if (orders.length > 0) void this.command(m, orders, starts);
    }
    for (const m of cluster.toProbe) {
      if (this.telling.size >= most) return;
      if (this.telling.has(m.id) || m.address === '') continue;
      cluster.toProbe.delete(m);
      void this.command(m, [], []);
    }
  }

  private async command(m: Machine, orders: Order[], starts: Binding[]): Promise<void> {
    const { cluster, term, ctx } = this;
    this.telling.add(m.id);
    try {
      const answer = await this.send(m, m.session, orders);
      this.takeCommandAnswer(m, answer.report);
      cluster.answered(starts, answer.executed, answer.report.seq);
      if (answer.executed) cluster.hears(m);
    } catch (error) {
      if (error instanceof NotSent) cluster.unsent(starts);
      const tried = !(error instanceof NotTried);
      if (tried && !term.signal.aborted && !m.relayed) cluster.unheard(m, ctx.clock.now());
      if (!term.signal.aborted)
        ctx.log.debug(
          { machine: m.id, error: String((error as Error).message) },
          'command not answered',
        );
    } finally {
      this.telling.delete(m.id);
      if (cluster.toTell.size > 0) setImmediate(() => this.tell());
    }
  }

  private takeCommandAnswer(m: Machine, report: MachineReport): void {
    if (report.machine !== m.id) return;
    if (report.term > this.term.term) this.term.resign('a worker knows a higher token');
    else this.cluster.report(report, false, this.ctx.clock.now());
  }

  private async rounds(signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this;
    const restMs = ctx.timing.roundMs * 10;
    let pauseMs = ctx.timing.roundMs;
    while (!signal.aborted) {
      const due = ctx.clock.now() + pauseMs;
      await ctx.clock.sleep(pauseMs, signal);
      pauseMs = ctx.timing.roundMs;
      const now = ctx.clock.now();
      if (now - due > ctx.timing.lateMs) cluster.behind(now);
      // Delays run out without an event: a slow round finds what they free.
      if (!this.term.mayStart() || (!cluster.stirred && now - this.lastRound < restMs)) continue;
      if (this.round(now)) cluster.stirred = true;
      // The larger the cluster, the longer a round takes: reports and users must not wait for the next.
      pauseMs = Math.max(pauseMs, (ctx.clock.now() - now) * ROUND_REST);
    }
  }

  private async flush(signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this;
    const { state } = ctx.platform.settings;
    const tickMs = ctx.timing.flushMs;
    // A part of the changes is progress; the rest stays for submissions, cancellations and ends.
    const sparePerTick = (state.write_rps * 0.3 * tickMs) / 1000;
    let spare = 0;
    while (!signal.aborted) {
      await ctx.clock.sleep(tickMs, signal);
      spare = Math.min(spare + sparePerTick, state.write_rps * 0.5);
      await this.findChunks(signal);
      const units = flushUnits(cluster, { spare });
      let from = 0;
      while (from < units.length) {
        const batch: Unit[] = [];
        let changes = 0;
        let bytes = 0;
        for (const u of units.slice(from)) {
          if (batch.length > 0) {
            if (changes + u.changes.length > state.txn_ops) break;
            if (bytes + u.size > TRANSACTION_BYTES) break;
          }
          batch.push(u);
          changes += u.changes.length;
          bytes += u.size;
        }
        from += batch.length;
        spare = Math.max(0, spare - batch.filter((u) => u.changes.length === 1).length);
        if (!(await this.write(batch))) {
          for (const u of units.slice(from)) u.retry(false);
          break;
        }
      }
    }
  }

  /** Reads anew which version of a bitmap stands after a write of it had no answer. */
  private async findChunks(signal: AbortSignal): Promise<void> {
    for (const { job, chunk } of unknownChunks(this.cluster)) {
      try {
        const key = chunkKey(job.spec.id, chunk);
        const entry = await this.ctx.state.get(key, Priority.ends, signal);
        job.chunks.set(chunk, entry?.version ?? 0);
      } catch (error) {
        if (signal.aborted) throw new Stopped();
        this.ctx.log.debug({ error: String((error as Error).message) }, 'bitmap not read');
        return;
      }
    }
  }

  /** False: the state service did not take it; the rest waits for the next turn. */
  private async write(batch: Unit[]): Promise<boolean> {
    const { term, ctx } = this;
    try {
      const result = await ctx.state.transact(
        [{ key: LEADER_KEY, version: term.version }, ...batch.flatMap((u) => u.conditions)],
        batch.flatMap((u) => u.changes),
        Priority.ends,
        term.signal,
      );
      if (result.ok) {
        for (const u of batch) u.applied(result.revision);
        return true;
      }
      if (result.failed.includes(LEADER_KEY)) {
        term.resign('another leader holds the key');
        for (const u of batch) u.retry(false);
        return false;
      }
      for (const u of batch)
        if (u.conditions.some((c) => result.failed.includes(c.key))) u.conflict(result.failed);
        else u.retry(false);
      return true;
    } catch (error) {
      for (const u of batch) u.retry(!(error instanceof Refused));
      if (!term.signal.aborted)
        ctx.log.debug({ error: String((error as Error).message) }, 'flush not answered');
      await ctx.clock.sleep(ctx.timing.flushMs * 3, term.signal);
      return false;
    }
  }

  private async listMachines(signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this;
    while (!signal.aborted) {
      try {
        const askedAt = ctx.clock.now();
        const all: ListedMachine[] = [];
        let after: string | null = null;
        for (;;) {
          const page: MachinePage = await this.cloud.list(after, signal);
          all.push(...page.machines);
          const last = page.machines.at(-1);
          if (!page.more || !last) break;
          after = last.id;
        }
        cluster.listed(all, askedAt, ctx.clock.now());
        this.workers.keep(new Set([...cluster.machines.values()].map((m) => m.address)));
      } catch (error) {
        if (signal.aborted) return;
        ctx.log.debug({ error: String((error as Error).message) }, 'machine list not answered');
      }
      await ctx.clock.sleep(ctx.timing.listMs, signal);
    }
  }

  private async rent(signal: AbortSignal): Promise<void> {
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
      const returns = renting.returns(now).slice(0, RETURN_LIMIT);
      tookMs = ctx.clock.now() - now;
      if (returns.length > 0) await this.giveBack(returns, signal);
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
      for (const r of returns) cluster.machineGone(r.machine.id, `returned: ${r.why}`);
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
    for (let tries = 0; tries < 3; tries++) {
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

  /** Keeps what work is expected for the next leader. */
  private async keepLoads(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    while (!signal.aborted) {
      await ctx.clock.sleep(ctx.timing.loadsMs, signal);
      const value: KeptLoads = { loads: this.renting.snapshot(), upTo: this.counted };
      try {
        await ctx.state.transact(
          [{ key: LEADER_KEY, version: this.term.version }],
          [{ op: 'put', key: LOADS_KEY, value }],
          Priority.progress,
          signal,
        );
      } catch (error) {
        if (signal.aborted) return;
        ctx.log.debug({ error: String((error as Error).message) }, 'loads not kept');
      }
    }
  }

  private async refreshTypes(signal: AbortSignal): Promise<void> {
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
