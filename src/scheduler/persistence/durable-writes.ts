import type { Change, Condition } from '../../protocol/store.js';
import { encodeFinishedTasks } from '../../records/finished-tasks-record.js';
import { encodeJobEnd } from '../../records/job-end-record.js';
import { liveKey, overKey, rosterKey } from '../../records/keys.js';
import { encodeRosterPage } from '../../records/roster-record.js';
import type { Cluster } from '../state/cluster-state.js';
import type { JobEnd } from '../state/dependency-graph.js';
import type { Job } from '../state/job.js';
import type { Binding, Machine } from '../state/machine.js';
import type { PageWrite, RosterEntry } from './roster.js';

/** A piece of durable work; several share a transaction. */
export interface Unit {
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

export interface FlushLimits {
  /** Changes that progress and cleaning may cost now; ends and the roster always go. */
  spare: number;
  /** Time of day, for the records of ends. */
  wallNow: number;
}

/** What stands to be written, the most pressing first. */
export function flushUnits(cluster: Cluster, limits: FlushLimits): Unit[] {
  const units: Unit[] = [];
  const entries = [...cluster.rosterPuts].map(rosterEntry);
  for (const m of cluster.rosterPuts) m.rostering = true;
  cluster.rosterPuts.clear();
  for (const w of cluster.roster.add(entries)) units.push(pageUnit(cluster, w));
  let spare = limits.spare;
  const needed: Unit[] = [];
  const ends: Unit[] = [];
  const partial: Unit[] = [];
  for (const job of cluster.jobs.values()) {
    if (job.upstreamCancelled) {
      ends.push(cancelledUnit(cluster, job));
      continue;
    }
    if (job.complete) {
      // Those that others wait for go first.
      const list = cluster.graph.isNeeded(job.spec.id) ? needed : ends;
      list.push(doneUnit(cluster, job, limits.wallNow));
      continue;
    }
    spare = addProgress(cluster, job, spare, partial);
  }
  units.push(...needed, ...ends, ...partial);
  for (const w of cluster.roster.clean(spare)) {
    spare--;
    units.push(pageUnit(cluster, w));
  }
  for (const key of cluster.cleanup) {
    if (spare < 1) break;
    spare--;
    units.push(deletion(key, () => cluster.cleanup.delete(key)));
  }
  return units;
}

/** Adds the job's changed chunks as long as changes are to spare; returns how many are left. */
function addProgress(cluster: Cluster, job: Job, spare: number, units: Unit[]): number {
  let left = spare;
  for (const [chunk, waiting] of job.dirty) {
    if (left < 1) break;
    const version = job.chunks.get(chunk);
    if (version === null) continue;
    left--;
    units.push(chunkUnit(cluster, job, chunk, waiting, version ?? 0));
  }
  return left;
}

function doneUnit(cluster: Cluster, job: Job, at: number): Unit {
  const end: JobEnd = { state: 'done', at };
  // Refused: its live key is gone, so it has an end already, which may be a cancellation.
  return endUnit(job, end, {
    applied: () => cluster.endJob(job.spec.id, end),
    conflict: () => cluster.endJob(job.spec.id, null),
  });
}

/**
 * A job that needed a cancelled one is cancelled with it. It has never been
 * ready, so whoever has ended it meanwhile has cancelled it too.
 */
function cancelledUnit(cluster: Cluster, job: Job): Unit {
  const end: JobEnd = { state: 'cancelled', at: null };
  const ended = () => cluster.endJob(job.spec.id, end);
  return endUnit(job, end, { applied: ended, conflict: ended });
}

/** Moves a job to the ended ones in one transaction; an end is never rewritten. */
function endUnit(job: Job, end: JobEnd, result: Pick<Unit, 'applied' | 'conflict'>): Unit {
  const { id, tasks } = job.spec;
  return {
    conditions: [{ key: liveKey(id), version: job.version }],
    changes: [
      { op: 'put', key: overKey(id), value: encodeJobEnd(end, tasks) },
      { op: 'delete', key: liveKey(id) },
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
function chunkUnit(
  cluster: Cluster,
  job: Job,
  chunk: number,
  waiting: Binding[],
  version: number,
): Unit {
  const { id } = job.spec;
  const key = cluster.bitmaps.key(id, chunk);
  const bits = job.chunkBits(chunk, cluster.bitmaps.tasksPerChunk);
  const value = encodeFinishedTasks(bits);
  job.dirty.delete(chunk);
  // A first write that gets no answer may still leave a key behind.
  job.chunks.set(chunk, version);
  const settle = () => {
    for (const b of waiting) b.settled = true;
  };
  const again = (known: number | null) => {
    if (job.over) return settle();
    job.chunks.set(chunk, known);
    job.dirty.set(chunk, [...waiting, ...(job.dirty.get(chunk) ?? [])]);
  };
  return {
    conditions: [
      { key: liveKey(id), version: job.version },
      { key, version },
    ],
    changes: [{ op: 'put', key, value }],
    size: 500 + 2 * id.length + value.length,
    applied: (revision) => {
      job.chunks.set(chunk, revision);
      settle();
    },
    conflict: (failed) => (failed.includes(liveKey(id)) ? settle() : again(null)),
    retry: (sent) => again(sent ? null : version),
  };
}

/** Bitmaps that are to be written once it is known which version of them stands. */
export function unknownChunks(cluster: Cluster): { job: Job; chunk: number }[] {
  const out: { job: Job; chunk: number }[] = [];
  for (const job of cluster.jobs.values())
    for (const chunk of job.dirty.keys())
      if (job.chunks.get(chunk) === null) out.push({ job, chunk });
  return out;
}

function rosterEntry(m: Machine): RosterEntry {
  return { id: m.id, type: m.typeName, zone: m.zone, spot: m.spot, address: m.address };
}

function pageUnit(cluster: Cluster, w: PageWrite): Unit {
  const key = rosterKey(w.key);
  const value = encodeRosterPage(w.entries);
  const settle = (done: boolean) => {
    for (const e of w.added) {
      const m = cluster.machines.get(e.id);
      if (!m) continue;
      m.rostering = false;
      if (done) m.rostered = true;
      else if (!m.rostered) cluster.rosterPuts.add(m);
    }
    if (done) cluster.roundDue = true;
  };
  return {
    conditions: w.version === null ? [] : [{ key, version: w.version }],
    changes: [w.entries.length > 0 ? { op: 'put', key, value } : { op: 'delete', key }],
    size: 400 + JSON.stringify(value.machines).length,
    applied: (revision) => {
      w.applied(revision);
      settle(true);
    },
    conflict: () => {
      w.unknown();
      settle(false);
    },
    retry: (sent) => {
      if (sent) w.unknown();
      else w.dropped();
      settle(false);
    },
  };
}

function deletion(key: string, applied: () => void): Unit {
  return {
    conditions: [],
    changes: [{ op: 'delete', key }],
    size: 250 + key.length,
    applied,
    conflict: () => {},
    retry: () => {},
  };
}
