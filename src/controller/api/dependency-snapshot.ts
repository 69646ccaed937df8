import { readPrefix, SINGLE_READS } from '../../clients/key-ranges.js';
import type { EndedJobRecord } from '../../records/job-end-record.js';
import { decodeLiveJob } from '../../records/job-record.js';
import { LIVE_JOB_PREFIX } from '../../records/keys.js';
import { mapObject } from '../../records/stored-form.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { hasInlineDependencies, type JobStore, type LiveJobRecord } from './job-store.js';

type Ends = Map<string, EndedJobRecord['state']>;
type Lists = Map<string, readonly string[]>;

/**
 * All live jobs at one moment, and which of them need a cancelled one,
 * directly or through others. Reading it costs a request for some hundred
 * jobs, whatever the depth of their chains, and serves all questions for a while.
 */
export class DependencySnapshot {
  private constructor(
    /** When the reading began. */
    readonly askedAt: number,
    /** What each live job needs. */
    private readonly upstream: Lists,
    /** How jobs ended that live ones need. */
    private readonly ends: Ends,
    /** Lists that stood in records of their own, which never change. */
    private readonly lists: Lists,
    private readonly cancelled: ReadonlySet<string>,
  ) {}

  /** Null: the job was not live then, and no live one needed it. */
  isCancelled(id: string): boolean | null {
    if (this.upstream.has(id)) return this.cancelled.has(id);
    const end = this.ends.get(id);
    return end ? end === 'cancelled' : null;
  }

  /** Takes a snapshot; what the one before knows for good is not read again. */
  static async take(
    ctx: Pick<ControllerContext, 'clock' | 'state'>,
    store: JobStore,
    before: DependencySnapshot | null,
    priority: RequestPriority,
  ): Promise<DependencySnapshot> {
    const askedAt = ctx.clock.now();
    const entries = await readPrefix(ctx.state, LIVE_JOB_PREFIX, priority);
    const records = new Map<string, LiveJobRecord>();
    for (const entry of entries)
      records.set(entry.key.slice(LIVE_JOB_PREFIX.length), mapObject(entry.value, decodeLiveJob));
    const lists = await readLists(store, records, before?.lists ?? new Map(), priority);
    const upstream: Lists = new Map();
    for (const [id, record] of records)
      upstream.set(id, lists.get(id) ?? record.dependencies ?? []);
    const ends = await readEnds(store, upstream, before?.ends ?? new Map(), priority);
    return new DependencySnapshot(
      askedAt,
      upstream,
      ends,
      lists,
      cancelledThroughDependencies(upstream, ends),
    );
  }
}

/** The lists that stand apart from their records. */
async function readLists(
  store: JobStore,
  records: ReadonlyMap<string, LiveJobRecord>,
  known: Lists,
  priority: RequestPriority,
): Promise<Lists> {
  const lists: Lists = new Map();
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
    // A job whose list has gone has ended itself.
    for (const [i, id] of part.entries()) lists.set(id, read[i] ?? []);
  }
  return lists;
}

/** How the jobs ended that live ones need; jobs accepted during the reading are added to the live ones. */
async function readEnds(
  store: JobStore,
  upstream: Lists,
  known: Ends,
  priority: RequestPriority,
): Promise<Ends> {
  const ends: Ends = new Map();
  let open = dependencyIds(upstream.values());
  while (open.size > 0) {
    const unknown = addKnownEnds(ends, open, known, upstream);
    const found = await store.findEnds(unknown, priority);
    for (const [id, job] of found) ends.set(id, job.record.state);
    const late = await store.findMany(
      unknown.filter((id) => !found.has(id)),
      priority,
    );
    const added: (readonly string[])[] = [];
    for (const [id, job] of late) {
      if (!job.live) {
        ends.set(id, job.record.state);
        continue;
      }
      const list = (await store.dependenciesOf(id, job.record, priority)) ?? [];
      upstream.set(id, list);
      added.push(list);
    }
    open = dependencyIds(added);
  }
  return ends;
}

/** Adds the ends that are known already; returns the jobs that are neither live nor known to have ended. */
function addKnownEnds(ends: Ends, ids: Iterable<string>, known: Ends, live: Lists): string[] {
  const unknown: string[] = [];
  for (const id of ids) {
    const end = known.get(id);
    if (end) ends.set(id, end);
    else if (!live.has(id) && !ends.has(id)) unknown.push(id);
  }
  return unknown;
}

function dependencyIds(lists: Iterable<readonly string[]>): Set<string> {
  const ids = new Set<string>();
  for (const list of lists) for (const id of list) ids.add(id);
  return ids;
}

/** For each job those that need it directly. */
function downstreamOf(upstream: Lists): Map<string, string[]> {
  const downstream = new Map<string, string[]>();
  for (const [id, list] of upstream)
    for (const needed of list) {
      const others = downstream.get(needed);
      if (others) others.push(id);
      else downstream.set(needed, [id]);
    }
  return downstream;
}

/** The live jobs that need a cancelled one, directly or through others. */
function cancelledThroughDependencies(upstream: Lists, ends: Ends): Set<string> {
  const downstream = downstreamOf(upstream);
  const cancelled = new Set<string>();
  const open: string[] = [];
  for (const [id, end] of ends) if (end === 'cancelled') open.push(id);
  for (let id = open.pop(); id !== undefined; id = open.pop())
    for (const job of downstream.get(id) ?? []) {
      if (cancelled.has(job)) continue;
      cancelled.add(job);
      open.push(job);
    }
  return cancelled;
}
