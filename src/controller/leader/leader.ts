import { setMaxListeners } from 'node:events';
import type { WorkerClient } from '../../clients/agent-client.js';
import type { CloudClient } from '../../clients/cloud-client.js';
import type { Policy } from '../../config/policy.js';
import type { Platform } from '../../config/settings.js';
import type { MachineReport, Order } from '../../model/model.js';
import type { Aims, ClassAims, CorePolicy } from '../../model/policy.js';
import type { Entry, StoreEvent } from '../../protocol/store.js';
import { isObject } from '../../protocol/wire.js';
import { BitmapLayout } from '../../records/bitmap-layout.js';
import { decodeFinishedTasks } from '../../records/finished-tasks-record.js';
import { decodeLiveRecord } from '../../records/job-record.js';
import {
  BITS_PREFIX,
  LIVE_PREFIX,
  ROSTER_PREFIX,
  UPSTREAM_PREFIX,
  upstreamKey,
} from '../../records/keys.js';
import { decodeRosterPage } from '../../records/roster-record.js';
import { Stopped } from '../../runtime/clock.js';
import { fill, round } from '../../scheduler/placement/placement-round.js';
import { raiseFence } from '../../scheduler/reconcile/task-commands.js';
import { Renting } from '../../scheduler/scaling/scale-out.js';
import { Cluster } from '../../scheduler/state/cluster-state.js';
import { isListedInRecord, JobStore } from '../api/job-store.js';
import type { Context } from '../context.js';
import type { Term } from '../election/leader-election.js';
import { readTypes } from '../machine-types.js';
import { retry } from '../retry.js';
import { Commands } from './agent-commands.js';
import { Loads } from './demand-store.js';
import { UpstreamListCleaner } from './dependency-list-cleaner.js';
import { UpstreamResolver } from './dependency-resolver.js';
import { Fleet } from './fleet-controller.js';
import { Flusher } from './progress-writer.js';

/** The part of a value that a page of the roster may fill. */
const ROSTER_PAGE_SHARE = 0.9;

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

type Page = Awaited<ReturnType<Context['state']['listPage']>>;

/** A round's own time is followed by this many times as much for everything else. */
const ROUND_REST = 8;

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

type Objective = NonNullable<Platform['settings']['objectives']>[number];

function aimsOf(objectives: Platform['settings']['objectives']): Aims {
  const aims: Aims = { classes: new Map(), guaranteeS: null };
  for (const o of objectives ?? []) {
    if (o.kind === 'guarantee') aims.guaranteeS = o.within_s ?? null;
    if (!o.class) continue;
    const c = aims.classes.get(o.class) ?? { waits: [], finishes: [], deadlines: [] };
    aims.classes.set(o.class, c);
    addAim(c, o);
  }
  return aims;
}

function addAim(aims: ClassAims, { kind, within_s: withinS, times }: Objective): void {
  if (kind === 'wait' && withinS) aims.waits.push(withinS);
  else if (kind === 'finished' && withinS) aims.finishes.push(withinS);
  else if (kind === 'deadline') aims.deadlines.push(times ?? 1);
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
  private readonly commands: Commands;
  private readonly flusher: Flusher;
  private readonly resolver: UpstreamResolver;
  private readonly listCleaner: UpstreamListCleaner;
  private readonly fleet: Fleet;
  private readonly loads: Loads;
  private lastRound = 0;

  constructor(
    private readonly ctx: Context,
    private readonly cloud: Pick<CloudClient, 'types' | 'list' | 'rent' | 'giveBack'>,
    readonly term: Term,
    private readonly policy: CorePolicy,
    workers: Pick<WorkerClient, 'command' | 'keep' | 'close'>,
  ) {
    const { workers: agents, objectives } = ctx.platform.settings;
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
      BitmapLayout.forValues(ctx.limits.presentValueBytes, ctx.limits.valueBytes),
      (message, fields) => ctx.log.info({ term: term.term, ...fields }, message),
      ctx.limits.valueBytes * ROSTER_PAGE_SHARE,
    );
    this.renting = new Renting(this.cluster);
    this.loads = new Loads(ctx, term, this.renting);
    this.cluster.onGone = (m) => this.renting.freed(m, ctx.clock.now());
    setMaxListeners(0, term.signal);
    this.commands = new Commands(ctx, term, this.cluster, workers, {
      commands: socketsOf(ctx.platform, COMMAND_SOCKETS),
      confirmations: socketsOf(ctx.platform, CONFIRM_SOCKETS),
    });
    this.flusher = new Flusher(ctx, term, this.cluster);
    this.resolver = new UpstreamResolver(ctx, this.cluster, new JobStore(ctx));
    this.listCleaner = new UpstreamListCleaner(ctx, this.cluster.jobs);
    this.fleet = new Fleet(ctx, term, this.cluster, this.renting, cloud, (addresses) =>
      workers.keep(addresses),
    );
    term.signal.addEventListener('abort', () => workers.close(), { once: true });
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
      this.duty('confirm', (s) => this.commands.confirmAll(s)),
      this.duty('watch', (s) => this.watch(revision, s)),
      this.duty('rounds', (s) => this.rounds(s)),
      this.duty('flush', (s) => this.flusher.run(s)),
      this.duty('upstream', (s) => this.resolver.run(s)),
      this.duty('upstream lists', (s) => this.listCleaner.run(s)),
      this.duty('list', (s) => this.fleet.listMachines(s)),
      this.duty('renting', (s) => this.fleet.rent(s)),
      this.duty('loads', (s) => this.loads.run(s)),
      this.duty('types', (s) => this.fleet.refreshTypes(s)),
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

  private async readAll(prefix: string): Promise<{ entries: Entry[]; revision: number }> {
    const entries: Entry[] = [];
    let after: string | null = null;
    let revision: number | null = null;
    for (;;) {
      const from: string | null = after;
      const page: Page = await retry(this.ctx, this.term.signal, (s) =>
        this.ctx.state.listPage(prefix, from, s),
      );
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
    if (!ctx.types)
      ctx.types = await retry(ctx, this.term.signal, (s) => readTypes(ctx, this.cloud, s));
    cluster.setTypes(ctx.types ?? []);
    const roster = await this.readAll(ROSTER_PREFIX);
    this.restoreRoster(roster.entries);
    const askedAt = ctx.clock.now();
    const live = await this.readAll(LIVE_PREFIX);
    // What was expected before goes on; jobs that arrived since it was written add to it.
    await this.loads.read();
    for (const e of byArrival(live.entries)) this.addLive(e.key, e.value, e.version);
    const bits = await this.readAll(BITS_PREFIX);
    this.restoreBits(bits.entries);
    const pages = await this.readAll(UPSTREAM_PREFIX);
    for (const e of pages.entries) {
      const [id = ''] = e.key.slice(UPSTREAM_PREFIX.length).split('/');
      // A page is written together with its job: one that is newer than the list of jobs has one.
      if (!cluster.jobs.has(id) && e.version <= live.revision) cluster.cleanup.add(e.key);
    }
    return { revision: live.revision, askedAt };
  }

  /** Machines that earlier leaders may have given tasks. */
  private restoreRoster(pages: Entry[]): void {
    for (const page of pages) {
      const key = page.key.slice(ROSTER_PREFIX.length);
      const machines = decodeRosterPage(key, page.value);
      this.cluster.roster.restore(key, page.version, machines);
      for (const { id, type, zone, spot, address } of machines)
        this.cluster.inheritMachine(id, type, zone, spot, address, this.ctx.clock.now());
    }
  }

  /** The finished tasks of live jobs; bitmaps of ended ones are cleaned up. */
  private restoreBits(entries: Entry[]): void {
    const { cluster } = this;
    for (const { key, value, version } of entries) {
      const place = cluster.bitmaps.parse(key);
      const job = place && cluster.jobs.get(place.job);
      const done = decodeFinishedTasks(value);
      if (!job || !done) {
        cluster.cleanup.add(key);
        continue;
      }
      job.loadBits(place.firstTask, done);
      if (place.chunk === null) job.otherKeys.push(key);
      else job.chunks.set(place.chunk, version);
    }
  }

  private addLive(key: string, value: unknown, version: number): void {
    const record = decodeLiveRecord(value);
    if (!record || !isObject(record.spec)) {
      this.ctx.log.error({ key }, 'live job is not readable');
      return;
    }
    const inherited = version <= this.term.version;
    const pages = Array.from({ length: record.upstreamPages ?? 0 }, (_, page) => page);
    const upstream = {
      ids: record.upstream ?? [],
      unread: !isListedInRecord(record),
      keys: pages.map((page) => upstreamKey(record.spec.id, page)),
    };
    const job = this.cluster.addJob(record.spec, version, record.at, inherited, upstream);
    if (job) this.loads.arrived(record.spec, version);
  }

  private async watch(revision: number, signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    let after = revision;
    while (!signal.aborted) {
      let askedAt = ctx.clock.now();
      const from = after;
      const got = await retry(ctx, this.term.signal, (s) =>
        ctx.state.watch(LIVE_PREFIX, from, ctx.timing.newsMs, s),
      );
      if (got) {
        for (const e of got.events) this.apply(e);
        after = got.revision;
      } else {
        // Too old a revision, which by itself is no news: what is no longer listed has ended.
        askedAt = ctx.clock.now();
        const live = await this.readAll(LIVE_PREFIX);
        this.catchUp(live.entries);
        after = live.revision;
      }
      this.cluster.upToDate(after);
      // Only an answer tells that nothing was missed, and only up to when it was asked for: a watch
      // that waits through a refusal of this node alone knows nothing of what others confirm.
      this.term.informed(askedAt);
    }
  }

  /** Brings the jobs in line with a whole list of the live ones. */
  private catchUp(entries: Entry[]): void {
    const known = new Set(entries.map((entry) => entry.key.slice(LIVE_PREFIX.length)));
    for (const id of [...this.cluster.jobs.keys()])
      if (!known.has(id)) this.cluster.endJob(id, null);
    for (const entry of byArrival(entries)) this.addLive(entry.key, entry.value, entry.version);
  }

  private apply(e: StoreEvent): void {
    if (e.op === 'put') this.addLive(e.key, e.value, e.version);
    else this.cluster.endJob(e.key.slice(LIVE_PREFIX.length), null);
    // What the job still runs is stopped without waiting for reports.
    this.commands.sendPendingSoon();
  }

  /**
   * A node is about to confirm this cancellation, which is durable. The watch
   * may be late or refused to this node alone: nothing of the job may start
   * once its user has been told.
   */
  cancelled(id: string, revision: number): void {
    this.cluster.announceEnd(id, revision);
    this.commands.sendPendingSoon();
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
    if (m.unresponsiveSince !== null) {
      // Behind a cut it can't answer a command; there only starts without effect speak against it.
      const tried = now - m.unresponsiveSince > ctx.timing.workerLeaseMs * 0.5;
      if (relayed && (m.lostAnswers === 0 || tried)) cluster.markResponsive(m);
      else if (!relayed) {
        cluster.pendingProbes.add(m);
        setImmediate(() => this.commands.sendPending());
      }
    }
    if (!m.confirmed || !term.mayStart()) return { orders: cluster.endsOf(r), fence: m.fence };
    // Room that this report has freed is filled in its own answer.
    fill(cluster, m, this.policy.machineStarts, now);
    // A command under way would be refused under the new token.
    if (!this.commands.isUnderWay(m.id)) raiseFence(m, cluster.timing, now);
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
    this.cluster.roundDue = false;
    this.lastRound = now;
    let ready = 0;
    for (const job of this.cluster.jobs.values()) ready += job.ready;
    // Under overload a round decides more at once, so that its fixed cost is shared.
    const limit = Math.max(this.policy.machineStarts, Math.ceil(ready / 8));
    const result = round(this.cluster, limit, now);
    // After the answer to a report that is being handled now has taken its own orders.
    this.commands.sendPendingSoon();
    return result.started.length >= limit;
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
      if (!this.term.mayStart() || (!cluster.roundDue && now - this.lastRound < restMs)) continue;
      if (this.round(now)) cluster.roundDue = true;
      // The larger the cluster, the longer a round takes: reports and users must not wait for the next.
      pauseMs = Math.max(pauseMs, (ctx.clock.now() - now) * ROUND_REST);
    }
  }
}
