import { setMaxListeners } from 'node:events';
import type { AgentClient } from '../../clients/agent-client.js';
import type { CloudClient } from '../../clients/cloud-client.js';
import type { Policy } from '../../config/policy.js';
import type { Platform } from '../../config/settings.js';
import type { Heartbeat } from '../../model/heartbeat.js';
import type { ClassObjectives, SchedulerPolicy, ServiceObjectives } from '../../model/policy.js';
import type { TaskCommand } from '../../model/task-command.js';
import { isObject } from '../../protocol/json-fields.js';
import type { Entry, StoreEvent } from '../../protocol/key-value-protocol.js';
import { BitmapLayout } from '../../records/bitmap-layout.js';
import { decodeFinishedTasks } from '../../records/finished-tasks-record.js';
import { decodeLiveJob } from '../../records/job-record.js';
import {
  BITMAP_PREFIX,
  DEPENDENCY_PAGE_PREFIX,
  dependencyPageKey,
  LIVE_JOB_PREFIX,
  ROSTER_PREFIX,
} from '../../records/keys.js';
import { decodeRosterPage } from '../../records/roster-record.js';
import { AbortedError } from '../../runtime/clock.js';
import { placeOnMachine, runPlacementRound } from '../../scheduler/placement/placement-round.js';
import { raiseFenceIfDue } from '../../scheduler/reconcile/task-commands.js';
import { ScaleOutPlanner } from '../../scheduler/scaling/scale-out.js';
import { ClusterState } from '../../scheduler/state/cluster-state.js';
import { hasInlineDependencies, JobStore } from '../api/job-store.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import { readMachineTypes } from '../machine-types.js';
import { retry } from '../retry.js';
import { AgentCommands } from './agent-commands.js';
import { DemandStore } from './demand-store.js';
import { DependencyListCleaner } from './dependency-list-cleaner.js';
import { DependencyResolver } from './dependency-resolver.js';
import { FleetController } from './fleet-controller.js';
import { ProgressWriter } from './progress-writer.js';

/** The part of a value that a page of the roster may fill. */
const ROSTER_PAGE_SHARE = 0.9;

export function schedulerPolicy(p: Policy): SchedulerPolicy {
  return {
    weights: {
      throughput: p['score.throughput'],
      cost: p['score.cost'],
      locality: p['score.locality'],
    },
    waitSafetyMargin: p['rent.wait-spread'],
    safetyMargin: p['rent.spread'],
    smoothingBoots: p['rent.smooth-boots'],
    backlogBoots: p['rent.drain-boots'],
    idleBoots: p['rent.idle-boots'],
    bootPatience: p['rent.boot-patience'],
    backoffBoots: p['rent.backoff-boots'],
    quarantineJobs: p['sick.jobs'],
    quarantineFailures: p['sick.failures'],
    failingJobMachines: p['job.faulty-machines'],
    startsPerMachine: p['round.machine-starts'],
  };
}

type Page = Awaited<ReturnType<ControllerContext['state']['listPage']>>;

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

function serviceObjectivesOf(objectives: Platform['settings']['objectives']): ServiceObjectives {
  const aims: ServiceObjectives = { classes: new Map(), guaranteedStartS: null };
  for (const o of objectives ?? []) {
    if (o.kind === 'guarantee') aims.guaranteedStartS = o.within_s ?? null;
    if (!o.class) continue;
    const c = aims.classes.get(o.class) ?? {
      startWithinS: [],
      finishWithinS: [],
      deadlineMultiples: [],
    };
    aims.classes.set(o.class, c);
    addAim(c, o);
  }
  return aims;
}

function addAim(aims: ClassObjectives, { kind, within_s: withinS, times }: Objective): void {
  if (kind === 'wait' && withinS) aims.startWithinS.push(withinS);
  else if (kind === 'finished' && withinS) aims.finishWithinS.push(withinS);
  else if (kind === 'deadline') aims.deadlineMultiples.push(times ?? 1);
}

/** Keys come in the order of their names; jobs arrived in that of their versions. */
function byArrival(entries: Entry[]): Entry[] {
  return entries.sort((a, b) => a.version - b.version);
}

/** The duties of one term: takeover, watch, rounds, durable progress, cloud. */
export class Leader {
  readonly cluster: ClusterState;
  private readonly scaleOut: ScaleOutPlanner;
  /** The state service has been read: reports are taken into the picture. */
  ready = false;
  private markReady: () => void = () => {};
  private readonly whenReady = new Promise<void>((resolve) => {
    this.markReady = resolve;
  });
  private readonly commands: AgentCommands;
  private readonly progressWriter: ProgressWriter;
  private readonly resolver: DependencyResolver;
  private readonly listCleaner: DependencyListCleaner;
  private readonly fleet: FleetController;
  private readonly demandStore: DemandStore;
  private lastRound = 0;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly cloud: Pick<CloudClient, 'types' | 'list' | 'provision' | 'terminate'>,
    readonly term: LeaderTerm,
    private readonly policy: SchedulerPolicy,
    workers: Pick<AgentClient, 'command' | 'retainOnly' | 'close'>,
  ) {
    const { workers: agents, objectives } = ctx.platform.settings;
    this.cluster = new ClusterState({
      term: term.number,
      quotas: ctx.quotas,
      timing: {
        heartbeatMs: agents.report_s * 1000,
        agentLeaseMs: ctx.timing.agentLeaseMs,
        listProofMs: ctx.timing.listProofMs,
        unreachableAfterMs: ctx.timing.unreachableAfterMs,
      },
      policy,
      objectives: serviceObjectivesOf(objectives ?? []),
      bitmaps: BitmapLayout.forValues(ctx.limits.presentValueBytes, ctx.limits.valueBytes),
      logDecision: (message: string, fields: object) =>
        ctx.log.info({ term: term.number, ...fields }, message),
      rosterPageBytes: ctx.limits.valueBytes * ROSTER_PAGE_SHARE,
    });
    this.scaleOut = new ScaleOutPlanner(this.cluster);
    this.demandStore = new DemandStore(ctx, term, this.scaleOut);
    this.cluster.onMachineTerminated = (machine) =>
      this.scaleOut.capacityFreed(machine, ctx.clock.now());
    setMaxListeners(0, term.signal);
    this.commands = new AgentCommands(ctx, term, this.cluster, workers, {
      commands: socketsOf(ctx.platform, COMMAND_SOCKETS),
      confirmations: socketsOf(ctx.platform, CONFIRM_SOCKETS),
    });
    this.progressWriter = new ProgressWriter(ctx, term, this.cluster);
    this.resolver = new DependencyResolver(ctx, this.cluster, new JobStore(ctx));
    this.listCleaner = new DependencyListCleaner(ctx, this.cluster.jobs);
    this.fleet = new FleetController(ctx, term, this.cluster, this.scaleOut, cloud, (addresses) =>
      workers.retainOnly(addresses),
    );
    term.signal.addEventListener('abort', () => workers.close(), { once: true });
  }

  async run(): Promise<void> {
    const { ctx, term } = this;
    const began = ctx.clock.now();
    const { revision, askedAt } = await this.restoreState();
    term.setCancellationsKnownAt(askedAt);
    this.ready = true;
    this.markReady();
    ctx.log.info(
      {
        term: term.number,
        jobs: this.cluster.jobs.size,
        machines: this.cluster.machines.size,
        ms: Math.round(ctx.clock.now() - began),
      },
      'takeover read',
    );
    await Promise.all([
      this.runRoutine('confirm', (signal) => this.commands.confirmInheritedMachines(signal)),
      this.runRoutine('watch', (signal) => this.watchJobs(revision, signal)),
      this.runRoutine('rounds', (signal) => this.scheduleContinuously(signal)),
      this.runRoutine('flush', (signal) => this.progressWriter.run(signal)),
      this.runRoutine('upstream', (signal) => this.resolver.run(signal)),
      this.runRoutine('upstream lists', (signal) => this.listCleaner.run(signal)),
      this.runRoutine('list', (signal) => this.fleet.listMachines(signal)),
      this.runRoutine('renting', (signal) => this.fleet.runScaling(signal)),
      this.runRoutine('loads', (signal) => this.demandStore.run(signal)),
      this.runRoutine('types', (signal) => this.fleet.refreshMachineTypes(signal)),
    ]);
  }

  /** Runs one duty until the term ends; an unexpected fault in one ends the term. */
  private async runRoutine(
    name: string,
    body: (signal: AbortSignal) => Promise<void>,
  ): Promise<void> {
    try {
      await body(this.term.signal);
    } catch (error) {
      if (this.term.signal.aborted || error instanceof AbortedError) return;
      this.ctx.log.error({ duty: name, error: String((error as Error).stack) }, 'duty failed');
      this.term.resign(`leader routine ${name} failed`);
    }
  }

  private async readAll(prefix: string): Promise<{ entries: Entry[]; revision: number }> {
    const entries: Entry[] = [];
    let after: string | null = null;
    let revision: number | null = null;
    for (;;) {
      const from: string | null = after;
      const page: Page = await retry(this.ctx, this.term.signal, (signal) =>
        this.ctx.state.listPage(prefix, from, signal),
      );
      // Events since the first page are applied again over the later ones.
      revision ??= page.revision;
      entries.push(...page.entries);
      const last = page.entries.at(-1);
      if (!page.more || !last) return { entries, revision };
      after = last.key;
    }
  }

  private async restoreState(): Promise<{ revision: number; askedAt: number }> {
    const { ctx, cluster } = this;
    const now = ctx.clock.now();
    cluster.wallClockOffset = ctx.clock.wall() - now;
    if (!ctx.machineTypes)
      ctx.machineTypes = await retry(ctx, this.term.signal, (signal) =>
        readMachineTypes(ctx, this.cloud, signal),
      );
    cluster.updateMachineTypes(ctx.machineTypes ?? []);
    const roster = await this.readAll(ROSTER_PREFIX);
    this.restoreRoster(roster.entries);
    const askedAt = ctx.clock.now();
    const live = await this.readAll(LIVE_JOB_PREFIX);
    // What was expected before goes on; jobs that arrived since it was written add to it.
    await this.demandStore.read();
    for (const entry of byArrival(live.entries))
      this.addLiveJob(entry.key, entry.value, entry.version);
    const bits = await this.readAll(BITMAP_PREFIX);
    this.restoreBits(bits.entries);
    const pages = await this.readAll(DEPENDENCY_PAGE_PREFIX);
    for (const entry of pages.entries) {
      const [id = ''] = entry.key.slice(DEPENDENCY_PAGE_PREFIX.length).split('/');
      // A page is written together with its job: one that is newer than the list of jobs has one.
      if (!cluster.jobs.has(id) && entry.version <= live.revision)
        cluster.obsoleteKeys.add(entry.key);
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
        cluster.obsoleteKeys.add(key);
        continue;
      }
      job.loadBits(place.firstTask, done);
      if (place.chunk === null) job.ownedKeys.push(key);
      else job.chunkVersions.set(place.chunk, version);
    }
  }

  private addLiveJob(key: string, value: unknown, version: number): void {
    const record = decodeLiveJob(value);
    if (!record || !isObject(record.spec)) {
      this.ctx.log.error({ key }, 'live job is not readable');
      return;
    }
    const inherited = version <= this.term.version;
    const pages = Array.from({ length: record.dependencyPages ?? 0 }, (_, page) => page);
    const upstream = {
      ids: record.dependencies ?? [],
      unread: !hasInlineDependencies(record),
      keys: pages.map((page) => dependencyPageKey(record.spec.id, page)),
    };
    const job = this.cluster.addJob(record.spec, version, record.acceptedAt, inherited, upstream);
    if (job) this.demandStore.recordArrival(record.spec, version);
  }

  private async watchJobs(revision: number, signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    let after = revision;
    while (!signal.aborted) {
      let askedAt = ctx.clock.now();
      const from = after;
      const got = await retry(ctx, this.term.signal, (signal) =>
        ctx.state.watch(LIVE_JOB_PREFIX, from, ctx.timing.jobWatchMs, signal),
      );
      if (got) {
        for (const event of got.events) this.applyJobEvent(event);
        after = got.revision;
      } else {
        // Too old a revision, which by itself is no news: what is no longer listed has ended.
        askedAt = ctx.clock.now();
        const live = await this.readAll(LIVE_JOB_PREFIX);
        this.catchUp(live.entries);
        after = live.revision;
      }
      this.cluster.markJobsCurrent(after);
      // Only an answer tells that nothing was missed, and only up to when it was asked for: a watch
      // that waits through a refusal of this node alone knows nothing of what others confirm.
      this.term.setCancellationsKnownAt(askedAt);
    }
  }

  /** Brings the jobs in line with a whole list of the live ones. */
  private catchUp(entries: Entry[]): void {
    const known = new Set(entries.map((entry) => entry.key.slice(LIVE_JOB_PREFIX.length)));
    for (const id of [...this.cluster.jobs.keys()])
      if (!known.has(id)) this.cluster.endJob(id, null);
    for (const entry of byArrival(entries)) this.addLiveJob(entry.key, entry.value, entry.version);
  }

  private applyJobEvent(event: StoreEvent): void {
    if (event.op === 'put') this.addLiveJob(event.key, event.value, event.version);
    else this.cluster.endJob(event.key.slice(LIVE_JOB_PREFIX.length), null);
    // What the job still runs is stopped without waiting for reports.
    this.commands.sendPendingSoon();
  }

  /**
   * A node is about to confirm this cancellation, which is durable. The watch
   * may be late or refused to this node alone: nothing of the job may start
   * once its user has been told.
   */
  announceCancellation(id: string, revision: number): void {
    this.cluster.announceCancellation(id, revision);
    this.commands.sendPendingSoon();
  }

  /** Waits until the state service has been read, or for as long as a report's answer may take. */
  async untilReady(): Promise<void> {
    if (this.ready) return;
    const late = this.ctx.clock.sleep(this.ctx.timing.commandTimeoutMs).catch(() => {});
    await Promise.race([this.whenReady, late]);
  }

  /** Takes a worker's report and returns what goes back with its answer: the orders and the machine's fence. */
  handleHeartbeat(
    heartbeat: Heartbeat,
    relayed: boolean,
  ): { orders: TaskCommand[]; fence: number } {
    const { cluster, term, ctx } = this;
    const now = ctx.clock.now();
    const taken = cluster.applyHeartbeat(heartbeat, 'heartbeat', now);
    const machine = cluster.machines.get(heartbeat.machineId);
    // An answer under a lower fence than the machine knows would be dropped.
    if (!taken || !machine)
      return {
        orders: cluster.stopsOfEndedJobs(heartbeat),
        fence: Math.max(machine?.fence ?? 0, heartbeat.term === term.number ? heartbeat.fence : 0),
      };
    machine.relayed = relayed;
    if (machine.unresponsiveSince !== null) {
      // Behind a cut it can't answer a command; there only starts without effect speak against it.
      const tried = now - machine.unresponsiveSince > ctx.timing.agentLeaseMs * 0.5;
      if (relayed && (machine.missedAcknowledgements === 0 || tried))
        cluster.markResponsive(machine);
      else if (!relayed) {
        cluster.pendingProbes.add(machine);
        setImmediate(() => this.commands.sendPending());
      }
    }
    if (!machine.confirmed || !term.mayStartTasks())
      return { orders: cluster.stopsOfEndedJobs(heartbeat), fence: machine.fence };
    // Room that this report has freed is filled in its own answer.
    placeOnMachine(cluster, machine, this.policy.startsPerMachine, now);
    // A command under way would be refused under the new token.
    if (!this.commands.isInFlight(machine.id)) raiseFenceIfDue(machine, cluster.timing, now);
    return { orders: cluster.heartbeatCommands(machine), fence: machine.fence };
  }

  /** Done and running tasks of live jobs, for display. */
  taskCounts(limit: number): [string, number, number][] {
    const out: [string, number, number][] = [];
    for (const job of this.cluster.jobs.values()) {
      if (job.doneCount === 0 && job.activeAttempts.size === 0) continue;
      out.push([job.spec.id, job.doneCount, job.activeAttempts.size]);
      if (out.length >= limit) break;
    }
    return out;
  }

  private runRound(now: number): boolean {
    this.cluster.roundDue = false;
    this.lastRound = now;
    let ready = 0;
    for (const job of this.cluster.jobs.values()) ready += job.readyCount;
    // Under overload a round decides more at once, so that its fixed cost is shared.
    const limit = Math.max(this.policy.startsPerMachine, Math.ceil(ready / 8));
    const result = runPlacementRound(this.cluster, limit, now);
    // After the answer to a report that is being handled now has taken its own orders.
    this.commands.sendPendingSoon();
    return result.started.length >= limit;
  }

  private async scheduleContinuously(signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this;
    const restMs = ctx.timing.roundMs * 10;
    let pauseMs = ctx.timing.roundMs;
    while (!signal.aborted) {
      const due = ctx.clock.now() + pauseMs;
      await ctx.clock.sleep(pauseMs, signal);
      pauseMs = ctx.timing.roundMs;
      const now = ctx.clock.now();
      if (now - due > ctx.timing.lagThresholdMs) cluster.markLagging(now);
      // Delays run out without an event: a slow round finds what they free.
      if (!this.term.mayStartTasks() || (!cluster.roundDue && now - this.lastRound < restMs))
        continue;
      if (this.runRound(now)) cluster.roundDue = true;
      // The larger the cluster, the longer a round takes: reports and users must not wait for the next.
      pauseMs = Math.max(pauseMs, (ctx.clock.now() - now) * ROUND_REST);
    }
  }
}
