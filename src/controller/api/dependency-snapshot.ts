/**
 * All live jobs with their dependencies at one moment, and which of them
 * depend on a cancelled job, directly or through others.
 *
 * Taking a snapshot costs a request for each few hundred live jobs, whatever
 * the depth of their dependency chains, and serves all requests for a while.
 * The dependencies and the end of a job never change, so the next snapshot
 * takes over what this one has read of them.
 */
import { readPrefix, SINGLE_READS } from '../../clients/key-ranges.js';
import type { EndedJobRecord } from '../../records/job-end-record.js';
import { decodeLiveJob, type LiveJobRecord } from '../../records/job-record.js';
import { LIVE_JOB_PREFIX } from '../../records/keys.js';
import { mapIfObject } from '../../records/stored-form.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { hasInlineDependencies, type JobStore } from './job-store.js';

/** How jobs ended, by id. */
type EndStates = Map<string, EndedJobRecord['state']>;

/** Ids of other jobs, by a job's id. */
type JobIdLists = Map<string, readonly string[]>;

/** What a snapshot holds. */
interface SnapshotContents {
  /** When its reading began, by this node's clock. */
  askedAt: number;
  /** The dependencies of each live job. */
  dependencies: JobIdLists;
  /** How those dependencies of live jobs ended that have. */
  endStates: EndStates;
  /** The dependencies that were read apart from their job's record. */
  separateLists: JobIdLists;
  /** The live jobs that depend on a cancelled one, directly or through others. */
  cancelled: ReadonlySet<string>;
}

/** An immutable snapshot of the dependencies between live jobs. */
export class DependencySnapshot {
  private constructor(private readonly contents: SnapshotContents) {}

  /** When its reading began, by this node's clock: it shows all that was written before. */
  get askedAt(): number {
    return this.contents.askedAt;
  }

  /**
   * Whether the job was cancelled or depends on one that was; null when the
   * snapshot does not know it: it was not live then, and no live job depended
   * on it.
   */
  isCancelled(id: string): boolean | null {
    const { dependencies, endStates, cancelled } = this.contents;
    if (dependencies.has(id)) return cancelled.has(id);
    const endState = endStates.get(id);
    return endState ? endState === 'cancelled' : null;
  }

  /** Takes a snapshot; what the previous one knows for good is not read again. */
  static async take(
    ctx: Pick<ControllerContext, 'clock' | 'state'>,
    store: JobStore,
    previous: DependencySnapshot | null,
    priority: RequestPriority,
  ): Promise<DependencySnapshot> {
    const askedAt = ctx.clock.now();
    const entries = await readPrefix(ctx.state, LIVE_JOB_PREFIX, priority);
    const records = new Map<string, LiveJobRecord>();
    for (const entry of entries)
      records.set(entry.key.slice(LIVE_JOB_PREFIX.length), mapIfObject(entry.value, decodeLiveJob));
    const knownLists: JobIdLists = previous?.contents.separateLists ?? new Map();
    const separateLists = await readSeparateLists(store, records, knownLists, priority);
    const dependencies: JobIdLists = new Map();
    for (const [id, record] of records)
      dependencies.set(id, separateLists.get(id) ?? record.dependencies ?? []);
    const knownEnds: EndStates = previous?.contents.endStates ?? new Map();
    const endStates = await readEndStates(store, dependencies, knownEnds, priority);
    const cancelled = dependentsOfCancelled(dependencies, endStates);
    return new DependencySnapshot({ askedAt, dependencies, endStates, separateLists, cancelled });
  }
}

/** The dependencies of the jobs whose records do not hold all of them. */
async function readSeparateLists(
  store: JobStore,
  records: ReadonlyMap<string, LiveJobRecord>,
  known: JobIdLists,
  priority: RequestPriority,
): Promise<JobIdLists> {
  const lists: JobIdLists = new Map();
  const unread: string[] = [];
  for (const [id, record] of records) {
    if (hasInlineDependencies(record)) continue;
    const list = known.get(id);
    if (list) lists.set(id, list);
    else unread.push(id);
  }
  for (let from = 0; from < unread.length; from += SINGLE_READS) {
    const part = unread.slice(from, from + SINGLE_READS);
    const read = await Promise.all(
      part.map((id) => store.dependenciesOf(id, records.get(id) as LiveJobRecord, priority)),
    );
    // A job whose list was removed has ended itself.
    for (const [i, id] of part.entries()) lists.set(id, read[i] ?? []);
  }
  return lists;
}

/**
 * How the dependencies ended that are not live. Jobs that were accepted while
 * the live ones were read are added to `dependencies`, and theirs are looked
 * up as well.
 */
async function readEndStates(
  store: JobStore,
  dependencies: JobIdLists,
  known: EndStates,
  priority: RequestPriority,
): Promise<EndStates> {
  const endStates: EndStates = new Map();
  let open = distinctIds(dependencies.values());
  while (open.size > 0) {
    const unknown = addKnownEnds(endStates, open, known, dependencies);
    const ended = await store.findEnds(unknown, priority);
    for (const [id, job] of ended) endStates.set(id, job.record.state);
    const acceptedLate = await store.findMany(
      unknown.filter((id) => !ended.has(id)),
      priority,
    );
    const added: (readonly string[])[] = [];
    for (const [id, job] of acceptedLate) {
      if (!job.live) {
        endStates.set(id, job.record.state);
        continue;
      }
      const list = (await store.dependenciesOf(id, job.record, priority)) ?? [];
      dependencies.set(id, list);
      added.push(list);
    }
    open = distinctIds(added);
  }
  return endStates;
}

/** Adds the ends that are known already; returns the jobs that are neither live nor known to have ended. */
function addKnownEnds(
  endStates: EndStates,
  ids: Iterable<string>,
  known: EndStates,
  live: JobIdLists,
): string[] {
  const unknown: string[] = [];
  for (const id of ids) {
    const endState = known.get(id);
    if (endState) endStates.set(id, endState);
    else if (!live.has(id) && !endStates.has(id)) unknown.push(id);
  }
  return unknown;
}

function distinctIds(lists: Iterable<readonly string[]>): Set<string> {
  const ids = new Set<string>();
  for (const list of lists) for (const id of list) ids.add(id);
  return ids;
}

/** The direct dependents of each job that has any. */
function directDependents(dependencies: JobIdLists): Map<string, string[]> {
  const dependents = new Map<string, string[]>();
  for (const [id, list] of dependencies)
    for (const dependency of list) {
      const others = dependents.get(dependency);
      if (others) others.push(id);
      else dependents.set(dependency, [id]);
    }
  return dependents;
}

/** The live jobs that depend on a cancelled one, directly or through others. */
function dependentsOfCancelled(dependencies: JobIdLists, endStates: EndStates): Set<string> {
  const dependents = directDependents(dependencies);
  const cancelled = new Set<string>();
  const open: string[] = [];
  for (const [id, endState] of endStates) if (endState === 'cancelled') open.push(id);
  for (let id = open.pop(); id !== undefined; id = open.pop())
    for (const dependent of dependents.get(id) ?? []) {
      if (cancelled.has(dependent)) continue;
      cancelled.add(dependent);
      open.push(dependent);
    }
  return cancelled;
}
