import type { JobEnd } from '../../model/job.js';
import type { RosterEntry } from '../../model/machine.js';
import type { Change, Condition } from '../../protocol/key-value-protocol.js';
import { encodeFinishedTasks } from '../../records/finished-tasks-record.js';
import { encodeJobEnd } from '../../records/job-end-record.js';
import { endedJobKey, liveJobKey, rosterKey } from '../../records/keys.js';
import { encodeRosterPage } from '../../records/roster-record.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job, Machine, TaskAttempt } from '../state/task-attempt.js';
import type { PageWrite } from './roster.js';

/** A piece of durable work; several share a transaction. */
export interface DurableWrite {
  conditions: Condition[];
  changes: Change[];
  /** Rough bytes in the transaction. */
  size: number;
  applied(revision: number): void;
  /** Of its own conditions these keys' failed: it will never apply as it stands. */
  conflict(failed: string[]): void;
  /** It stands to be written again. `sent`: it may have been applied, or may be yet. */
  retry(sent: boolean): void;
}

export interface WriteBudget {
  /** Changes that progress and cleaning may cost now; ends and the roster always go. */
  progressChanges: number;
  /** Time of day, for the records of ends. */
  wallNow: number;
}

/** What stands to be written, the most pressing first. */
export function pendingWrites(cluster: ClusterState, limits: WriteBudget): DurableWrite[] {
  const writes: DurableWrite[] = [];
  const entries = [...cluster.pendingRosterAdds].map(rosterEntry);
  for (const machine of cluster.pendingRosterAdds) machine.rosterWritePending = true;
  cluster.pendingRosterAdds.clear();
  for (const pageWrite of cluster.roster.add(entries))
    writes.push(rosterPageWrite(cluster, pageWrite));
  let spare = limits.progressChanges;
  const needed: DurableWrite[] = [];
  const ends: DurableWrite[] = [];
  const partial: DurableWrite[] = [];
  for (const job of cluster.jobs.values()) {
    if (job.dependencyCancelled) {
      ends.push(cascadeWrite(cluster, job));
      continue;
    }
    if (job.isComplete) {
      // Those that others wait for go first.
      const list = cluster.dependencies.hasDependents(job.spec.id) ? needed : ends;
      list.push(completionWrite(cluster, job, limits.wallNow));
      continue;
    }
    spare = addProgress(cluster, job, spare, partial);
  }
  writes.push(...needed, ...ends, ...partial);
  for (const pageWrite of cluster.roster.rewriteStalePages(spare)) {
    spare--;
    writes.push(rosterPageWrite(cluster, pageWrite));
  }
  for (const key of cluster.obsoleteKeys) {
    if (spare < 1) break;
    spare--;
    writes.push(deleteWrite(key, () => cluster.obsoleteKeys.delete(key)));
  }
  return writes;
}

/** Adds the job's changed chunks as long as changes are to spare; returns how many are left. */
function addProgress(
  cluster: ClusterState,
  job: Job,
  spare: number,
  writes: DurableWrite[],
): number {
  let left = spare;
  for (const [chunk, waiting] of job.unsavedChunks) {
    if (left < 1) break;
    const version = job.chunkVersions.get(chunk);
    if (version === null) continue;
    left--;
    writes.push(bitmapWrite(cluster, job, chunk, waiting, version ?? 0));
  }
  return left;
}

function completionWrite(cluster: ClusterState, job: Job, at: number): DurableWrite {
  const end: JobEnd = { state: 'done', at };
  // Refused: its live key is gone, so it has an end already, which may be a cancellation.
  return endWrite(job, end, {
    applied: () => cluster.endJob(job.spec.id, end),
    conflict: () => cluster.endJob(job.spec.id, null),
  });
}

/**
 * A job that needed a cancelled one is cancelled with it. It has never been
 * ready, so whoever has ended it meanwhile has cancelled it too.
 */
function cascadeWrite(cluster: ClusterState, job: Job): DurableWrite {
  const end: JobEnd = { state: 'cancelled', at: null };
  const ended = () => cluster.endJob(job.spec.id, end);
  return endWrite(job, end, { applied: ended, conflict: ended });
}

/** Moves a job to the ended ones in one transaction; an end is never rewritten. */
function endWrite(
  job: Job,
  end: JobEnd,
  result: Pick<DurableWrite, 'applied' | 'conflict'>,
): DurableWrite {
  const { id, tasks } = job.spec;
  return {
    conditions: [{ key: liveJobKey(id), version: job.version }],
    changes: [
      { op: 'put', key: endedJobKey(id), value: encodeJobEnd(end, tasks) },
      { op: 'delete', key: liveJobKey(id) },
    ],
    size: 400 + 2 * id.length,
    ...result,
    retry: () => {},
  };
}

/**
 * A write of a bitmap, over the version that is known of it: without that a
 * late copy of an older write would take finished tasks back that their
 * workers have been told to forget.
 */
function bitmapWrite(
  cluster: ClusterState,
  job: Job,
  chunk: number,
  waiting: TaskAttempt[],
  version: number,
): DurableWrite {
  const { id } = job.spec;
  const key = cluster.bitmaps.key(id, chunk);
  const bits = job.chunkBits(chunk, cluster.bitmaps.tasksPerChunk);
  const value = encodeFinishedTasks(bits);
  job.unsavedChunks.delete(chunk);
  // A first write that gets no answer may still leave a key behind.
  job.chunkVersions.set(chunk, version);
  const settle = () => {
    for (const attempt of waiting) attempt.mayBeForgotten = true;
  };
  const again = (known: number | null) => {
    if (job.ended) return settle();
    job.chunkVersions.set(chunk, known);
    job.unsavedChunks.set(chunk, [...waiting, ...(job.unsavedChunks.get(chunk) ?? [])]);
  };
  return {
    conditions: [
      { key: liveJobKey(id), version: job.version },
      { key, version },
    ],
    changes: [{ op: 'put', key, value }],
    size: 500 + 2 * id.length + value.length,
    applied: (revision) => {
      job.chunkVersions.set(chunk, revision);
      settle();
    },
    conflict: (failed) => (failed.includes(liveJobKey(id)) ? settle() : again(null)),
    retry: (sent) => again(sent ? null : version),
  };
}

/** Bitmaps that are to be written once it is known which version of them stands. */
export function chunksOfUnknownVersion(cluster: ClusterState): { job: Job; chunk: number }[] {
  const out: { job: Job; chunk: number }[] = [];
  for (const job of cluster.jobs.values())
    for (const chunk of job.unsavedChunks.keys())
      if (job.chunkVersions.get(chunk) === null) out.push({ job, chunk });
  return out;
}

function rosterEntry(machine: Machine): RosterEntry {
  return {
    id: machine.id,
    type: machine.typeName,
    zone: machine.zone,
    spot: machine.spot,
    address: machine.address,
  };
}

function rosterPageWrite(cluster: ClusterState, pageWrite: PageWrite): DurableWrite {
  const key = rosterKey(pageWrite.key);
  const value = encodeRosterPage(pageWrite.entries);
  const settle = (done: boolean) => {
    for (const entry of pageWrite.added) {
      const machine = cluster.machines.get(entry.id);
      if (!machine) continue;
      machine.rosterWritePending = false;
      if (done) machine.inRoster = true;
      else if (!machine.inRoster) cluster.pendingRosterAdds.add(machine);
    }
    if (done) cluster.roundDue = true;
  };
  return {
    conditions: pageWrite.version === null ? [] : [{ key, version: pageWrite.version }],
    changes: [pageWrite.entries.length > 0 ? { op: 'put', key, value } : { op: 'delete', key }],
    size: 400 + JSON.stringify(value.machines).length,
    applied: (revision) => {
      pageWrite.applied(revision);
      settle(true);
    },
    conflict: () => {
      pageWrite.unknown();
      settle(false);
    },
    retry: (sent) => {
      if (sent) pageWrite.unknown();
      else pageWrite.dropped();
      settle(false);
    },
  };
}

function deleteWrite(key: string, applied: () => void): DurableWrite {
  return {
    conditions: [],
    changes: [{ op: 'delete', key }],
    size: 250 + key.length,
    applied,
    conflict: () => {},
    retry: () => {},
  };
}
