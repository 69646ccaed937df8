/**
 * Failover: rebuilds the cluster state of a new leader term from the state
 * service. Reads only and owns no state; the results become part of
 * `ClusterState` and of the demand forecast.
 *
 * Serves docs/design.md "Safety" 4: the roster is read before the live jobs, so
 * each machine that may run a task of an inherited job is known before the job
 * is, and the task waits until those machines are confirmed or terminated.
 *
 * Also serves "One bound for cancellations": the time at which the live jobs were
 * requested is the first one at which this term knows of all cancellations.
 */
import type { CloudClient } from '../../clients/cloud-client.js';
import type { Entry } from '../../protocol/key-value-protocol.js';
import { decodeFinishedTasks } from '../../records/finished-tasks-record.js';
import {
  BITMAP_PREFIX,
  DEPENDENCY_PAGE_PREFIX,
  LIVE_JOB_PREFIX,
  ROSTER_PREFIX,
} from '../../records/keys.js';
import { decodeRosterPage } from '../../records/roster-record.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import { readMachineTypes } from '../machine-types.js';
import { retry } from '../retry.js';
import { applyInTurns, STEPS_PER_RECORD } from '../work-in-turns.js';
import type { DemandStore } from './demand-store.js';
import { propagateChanges } from './dependency-propagation.js';
import type { LiveJobLoader } from './live-jobs.js';
import { type PrefixSnapshot, readPrefixSnapshot } from './prefix-snapshot.js';

/** Steps that registering a machine takes. */
const STEPS_PER_MACHINE = 4;

/** Result of a restoration. */
export interface RestoredState {
  /** The revision from which to watch the live jobs. */
  revision: number;
  /**
   * When the live jobs were requested, in milliseconds on the monotonic clock. All
   * cancellations confirmed before it are known.
   */
  requestedAt: number;
}

/** Dependencies of `StateRestoration`. */
export interface StateRestorationOptions {
  ctx: ControllerContext;
  cloud: Pick<CloudClient, 'types'>;
  term: LeaderTerm;
  cluster: ClusterState;
  liveJobLoader: LiveJobLoader;
  demandStore: DemandStore;
}

/** Restores the state left by earlier leaders. */
export class StateRestoration {
  private readonly ctx: ControllerContext;
  private readonly cluster: ClusterState;

  constructor(private readonly options: StateRestorationOptions) {
    this.ctx = options.ctx;
    this.cluster = options.cluster;
  }

  /**
   * Reads, in this order: machine types (unless this process has them already),
   * roster, live jobs, demand forecast, bitmaps of finished tasks, pages of
   * dependencies. Each read is retried until it succeeds. Throws `AbortedError` once
   * the term has ended.
   */
  async run(): Promise<RestoredState> {
    const { ctx, cluster } = this;
    const { cloud, term, liveJobLoader, demandStore } = this.options;
    const now = ctx.clock.now();
    cluster.wallClockOffsetMs = ctx.clock.wall() - now;
    if (!ctx.machineTypes)
      ctx.machineTypes = await retry(ctx, term.signal, (signal) =>
        readMachineTypes(ctx, cloud, signal),
      );
    cluster.updateMachineTypes(ctx.machineTypes ?? []);
    const roster = await this.readAll(ROSTER_PREFIX);
    await applyInTurns(
      ctx,
      'roster restored',
      roster.entries,
      (page) => this.restoreRosterPage(page),
      term.signal,
    );
    const requestedAt = ctx.clock.now();
    const live = await this.readAll(LIVE_JOB_PREFIX);
    // The forecast is read before the jobs are added, because adding a job that arrived after the
    // forecast was saved counts it.
    await demandStore.read();
    await liveJobLoader.addAll(live.entries, term.signal);
    await propagateChanges(ctx, cluster.dependencies, term.signal);
    const bitmaps = await this.readAll(BITMAP_PREFIX);
    await applyInTurns(
      ctx,
      'finished tasks restored',
      bitmaps.entries,
      (entry) => this.restoreFinishedTasks(entry),
      term.signal,
    );
    const pages = await this.readAll(DEPENDENCY_PAGE_PREFIX);
    await applyInTurns(
      ctx,
      'dependency pages checked',
      pages.entries,
      (page) => this.markOrphanedDependencyPage(page, live.revision),
      term.signal,
    );
    return { revision: live.revision, requestedAt };
  }

  private readAll(prefix: string): Promise<PrefixSnapshot> {
    return readPrefixSnapshot(this.ctx, prefix, this.options.term.signal);
  }

  /**
   * Restores machines to which earlier leaders may have assigned tasks. Returns the
   * steps that it took.
   */
  private restoreRosterPage(page: Entry): number {
    const key = page.key.slice(ROSTER_PREFIX.length);
    const machines = decodeRosterPage(key, page.value);
    this.cluster.roster.restore(key, page.version, machines);
    for (const { id, type, zone, spot, address } of machines)
      this.cluster.inheritMachine(id, type, zone, spot, address, this.ctx.clock.now());
    return STEPS_PER_RECORD + machines.length * STEPS_PER_MACHINE;
  }

  /**
   * Restores finished tasks of a live job. Bitmaps of ended jobs and values that
   * can't be decoded are marked for deletion. Returns the steps that it took.
   */
  private restoreFinishedTasks({ key, value, version }: Entry): number {
    const { cluster } = this;
    const chunk = cluster.bitmaps.parseKey(key);
    const job = chunk && cluster.jobs.get(chunk.job);
    const finished = decodeFinishedTasks(value);
    if (!job || !finished) {
      cluster.obsoleteKeys.add(key);
      return STEPS_PER_RECORD;
    }
    job.loadBits(chunk.firstTask, finished);
    // A chunk in the format of an earlier version is never rewritten but deleted with its job.
    if (chunk.chunk === null) job.ownedKeys.push(key);
    else job.chunkVersions.set(chunk.chunk, version);
    return STEPS_PER_RECORD + finished.length;
  }

  /**
   * Marks a dependency page of an ended job for deletion. A page is written in one
   * transaction with its job, so a page that is newer than the list of live jobs
   * belongs to a job that the list does not contain yet. Returns the steps that it
   * took.
   */
  private markOrphanedDependencyPage({ key, version }: Entry, liveRevision: number): number {
    const { cluster } = this;
    const [jobId = ''] = key.slice(DEPENDENCY_PAGE_PREFIX.length).split('/');
    if (!cluster.jobs.has(jobId) && version <= liveRevision) cluster.obsoleteKeys.add(key);
    return 1;
  }
}
