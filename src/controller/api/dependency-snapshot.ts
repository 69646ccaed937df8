/**
 * A snapshot of all live jobs with their dependencies, and which of them depend
 * on a cancelled job, directly or transitively.
 *
 * Reading a snapshot takes one request for every few hundred live jobs, whatever
 * the depth of their dependency chains, and serves all requests until the
 * snapshot expires. The dependencies and the end of a job never change, so the
 * next snapshot reuses those that this one has read.
 *
 * Building it takes many turns of the event loop. It uses only what it has read and
 * what the previous snapshot holds, and it counts as read when the reading began, so
 * what changes meanwhile is as if it had changed after a quicker build.
 */
import { readPrefix, SINGLE_READS } from '../../clients/key-ranges.js';
import type { EndedJobRecord } from '../../records/job-end-record.js';
import { decodeLiveJob, type LiveJobRecord } from '../../records/job-record.js';
import { LIVE_JOB_PREFIX } from '../../records/keys.js';
import { mapIfObject } from '../../records/stored-form.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { applyInTurns, STEPS_PER_RECORD, TurnBudget } from '../work-in-turns.js';
import { hasInlineDependencies, type JobStore } from './job-store.js';

/** Final states of ended jobs, by job id. */
type EndStates = Map<string, EndedJobRecord['state']>;

/** Lists of job ids, by job id. */
type JobIdLists = Map<string, readonly string[]>;

/** What a snapshot needs of the controller's context. */
export type SnapshotContext = Pick<ControllerContext, 'clock' | 'log' | 'state' | 'timing'>;

/** Contents of a snapshot. */
interface SnapshotContents {
  /** Time at which the read began, by this node's clock. */
  readStartedAt: number;
  /** The dependencies of each live job. */
  dependencies: JobIdLists;
  /** Final states of those dependencies of live jobs that have ended. */
  endStates: EndStates;
  /** Dependencies that are stored outside their job's record, by the id of that job. */
  separateLists: JobIdLists;
  /** The live jobs that depend on a cancelled one, directly or transitively. */
  cancelled: ReadonlySet<string>;
}

/** An immutable snapshot of the dependencies between live jobs. */
export class DependencySnapshot {
  private constructor(private readonly contents: SnapshotContents) {}

  /** Time at which the read began, by this node's clock. All earlier writes are included. */
  get readStartedAt(): number {
    return this.contents.readStartedAt;
  }

  /**
   * Reports whether the job was cancelled or depends on a cancelled one. Returns
   * null when the snapshot does not cover the job: it was not live, and no live
   * job depended on it.
   */
  isCancelled(id: string): boolean | null {
    const { dependencies, endStates, cancelled } = this.contents;
    if (dependencies.has(id)) return cancelled.has(id);
    const endState = endStates.get(id);
    return endState ? endState === 'cancelled' : null;
  }

  /** Reads a snapshot, reusing the immutable data of the previous one. */
  static async read(
    ctx: SnapshotContext,
    store: JobStore,
    previous: DependencySnapshot | null,
    priority: RequestPriority,
  ): Promise<DependencySnapshot> {
    const readStartedAt = ctx.clock.now();
    const entries = await readPrefix(ctx.state, LIVE_JOB_PREFIX, priority);
    const records = new Map<string, LiveJobRecord>();
    await applyInTurns(ctx, 'dependency snapshot built', entries, ({ key, value }) => {
      records.set(key.slice(LIVE_JOB_PREFIX.length), mapIfObject(value, decodeLiveJob));
      return STEPS_PER_RECORD;
    });
    const previousLists: JobIdLists = previous?.contents.separateLists ?? new Map();
    const separateLists = await readSeparateLists(store, records, previousLists, priority);
    const dependencies: JobIdLists = new Map();
    for (const [id, record] of records)
      dependencies.set(id, separateLists.get(id) ?? record.dependencies ?? []);
    const previousEndStates: EndStates = previous?.contents.endStates ?? new Map();
    const endStates = await readEndStates(ctx, store, dependencies, previousEndStates, priority);
    const cancelled = await dependentsOfCancelled(ctx, dependencies, endStates);
    return new DependencySnapshot({
      readStartedAt,
      dependencies,
      endStates,
      separateLists,
      cancelled,
    });
  }
}

/** Returns the dependencies of the jobs whose records do not hold all of them. */
async function readSeparateLists(
  store: JobStore,
  records: ReadonlyMap<string, LiveJobRecord>,
  previousLists: JobIdLists,
  priority: RequestPriority,
): Promise<JobIdLists> {
  const lists: JobIdLists = new Map();
  const unread: string[] = [];
  for (const [id, record] of records) {
    if (hasInlineDependencies(record)) continue;
    const list = previousLists.get(id);
    if (list) lists.set(id, list);
    else unread.push(id);
  }
  for (let start = 0; start < unread.length; start += SINGLE_READS) {
    const batch = unread.slice(start, start + SINGLE_READS);
    const read = await Promise.all(
      batch.map((id) => store.dependenciesOf(id, records.get(id) as LiveJobRecord, priority)),
    );
    // A list is removed only after its job has ended.
    for (const [i, id] of batch.entries()) lists.set(id, read[i] ?? []);
  }
  return lists;
}

/**
 * Returns the final states of the dependencies that are not live. Jobs accepted
 * while the live ones were read are added to `dependencies`, and their own
 * dependencies are looked up as well.
 */
async function readEndStates(
  ctx: SnapshotContext,
  store: JobStore,
  dependencies: JobIdLists,
  previousEndStates: EndStates,
  priority: RequestPriority,
): Promise<EndStates> {
  const endStates: EndStates = new Map();
  let unresolved = [...dependencies.values()];
  while (unresolved.length > 0) {
    const unknown = new Set<string>();
    await applyInTurns(ctx, 'dependency snapshot built', unresolved, (ids) => {
      for (const id of ids) {
        const endState = previousEndStates.get(id);
        if (endState) endStates.set(id, endState);
        else if (!dependencies.has(id) && !endStates.has(id)) unknown.add(id);
      }
      return ids.length;
    });
    const ended = await store.findManyEnded([...unknown], priority);
    for (const [id, job] of ended) endStates.set(id, job.record.state);
    const acceptedDuringRead = await store.findMany(
      [...unknown].filter((id) => !ended.has(id)),
      priority,
    );
    const newLists: (readonly string[])[] = [];
    for (const [id, job] of acceptedDuringRead) {
      if (!job.live) {
        endStates.set(id, job.record.state);
        continue;
      }
      const list = (await store.dependenciesOf(id, job.record, priority)) ?? [];
      dependencies.set(id, list);
      newLists.push(list);
    }
    unresolved = newLists;
  }
  return endStates;
}

/** Returns the direct dependents of each job that has any. */
async function directDependents(
  ctx: SnapshotContext,
  dependencies: JobIdLists,
): Promise<Map<string, string[]>> {
  const dependents = new Map<string, string[]>();
  await applyInTurns(ctx, 'dependency snapshot built', [...dependencies], ([id, list]) => {
    for (const dependency of list) {
      const others = dependents.get(dependency);
      if (others) others.push(id);
      else dependents.set(dependency, [id]);
    }
    return 1 + list.length;
  });
  return dependents;
}

/** Returns the live jobs that depend on a cancelled one, directly or transitively. */
async function dependentsOfCancelled(
  ctx: SnapshotContext,
  dependencies: JobIdLists,
  endStates: EndStates,
): Promise<Set<string>> {
  const cancelled = new Set<string>();
  const frontier: string[] = [];
  for (const [id, endState] of endStates) if (endState === 'cancelled') frontier.push(id);
  if (frontier.length === 0) return cancelled;
  const dependents = await directDependents(ctx, dependencies);
  const turn = new TurnBudget();
  for (let id = frontier.pop(); id !== undefined; id = frontier.pop()) {
    const directly = dependents.get(id) ?? [];
    for (const dependent of directly) {
      if (cancelled.has(dependent)) continue;
      cancelled.add(dependent);
      frontier.push(dependent);
    }
    await turn.spend(1 + directly.length);
  }
  return cancelled;
}
