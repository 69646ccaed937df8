import type { Change, Condition } from '../protocol/store.js';
import { type Cluster, chunkKey } from './cluster.js';
import type { Machine } from './machine.js';
import type { PageWrite, RosterEntry } from './roster.js';

/** A piece of durable work; several share a transaction. */
export interface Unit {
  conditions: Condition[];
  changes: Change[];
  /** Rough bytes in the transaction. */
  size: number;
  applied(revision: number): void;
  /** One of its own conditions failed: it will never apply as it stands. */
  conflict(): void;
  /** It stands to be written again. `sent`: it may have been applied, or may be yet. */
  retry(sent: boolean): void;
}

export interface FlushLimits {
  /** Changes that progress and cleaning may cost now; ends and the roster always go. */
  spare: number;
}

export const liveKey = (id: string) => `live/${id}`;
export const overKey = (id: string) => `over/${id}`;
const rosterKey = (id: string) => `roster/${id}`;

/** What stands to be written, the most pressing first. */
export function flushUnits(cluster: Cluster, limits: FlushLimits, now: number): Unit[] {
  const units: Unit[] = [];
  const entries = [...cluster.rosterPuts].map(rosterEntry);
  for (const m of cluster.rosterPuts) m.rostering = true;
  cluster.rosterPuts.clear();
  for (const w of cluster.roster.add(entries)) units.push(pageUnit(cluster, w));
  let spare = limits.spare;
  const partial: Unit[] = [];
  for (const job of cluster.jobs.values()) {
    if (job.complete) {
      const { id, tasks } = job.spec;
      units.push({
        conditions: [{ key: liveKey(id), version: job.version }],
        changes: [
          { op: 'put', key: overKey(id), value: { state: 'done', tasks } },
          { op: 'delete', key: liveKey(id) },
        ],
        size: 400 + 2 * id.length,
        applied: () => cluster.endJob(id, now),
        // Its live key is gone, so it has an end already; ends are never rewritten.
        conflict: () => cluster.endJob(id, now),
        retry: () => {},
      });
      continue;
    }
    for (const [chunk, waiting] of job.dirty) {
      if (spare < 1) break;
      spare--;
      const { id } = job.spec;
      const value = Buffer.from(job.chunkBits(chunk, cluster.tasksPerChunk)).toString('base64');
      job.dirty.delete(chunk);
      partial.push({
        conditions: [{ key: liveKey(id), version: job.version }],
        changes: [{ op: 'put', key: chunkKey(id, chunk), value }],
        size: 400 + id.length + value.length,
        applied: () => {
          job.chunks.add(chunk);
          for (const b of waiting) b.settled = true;
        },
        conflict: () => {
          for (const b of waiting) b.settled = true;
        },
        retry: () => {
          if (job.over) for (const b of waiting) b.settled = true;
          else job.dirty.set(chunk, [...waiting, ...(job.dirty.get(chunk) ?? [])]);
        },
      });
      // A first write that gets no answer may still leave a key behind.
      job.chunks.add(chunk);
    }
  }
  units.push(...partial);
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

function rosterEntry(m: Machine): RosterEntry {
  return { id: m.id, type: m.typeName, zone: m.zone, spot: m.spot, address: m.address };
}

function pageUnit(cluster: Cluster, w: PageWrite): Unit {
  const key = rosterKey(w.key);
  const settle = (done: boolean) => {
    for (const e of w.added) {
      const m = cluster.machines.get(e.id);
      if (!m) continue;
      m.rostering = false;
      if (done) m.rostered = true;
      else if (!m.rostered) cluster.rosterPuts.add(m);
    }
    if (done) cluster.stirred = true;
  };
  return {
    conditions: w.version === null ? [] : [{ key, version: w.version }],
    changes: [
      w.entries.length > 0
        ? { op: 'put', key, value: { machines: w.entries } }
        : { op: 'delete', key },
    ],
    size: 400 + JSON.stringify(w.entries).length,
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
