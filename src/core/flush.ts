import type { Change, Condition } from '../protocol/store.js';
import { type Cluster, chunkKey } from './cluster.js';
import type { Machine } from './machine.js';

/** A piece of durable work; several share a transaction. */
export interface Unit {
  conditions: Condition[];
  changes: Change[];
  /** Rough bytes in the transaction. */
  size: number;
  applied(): void;
  /** One of its own conditions failed: it will never apply as it stands. */
  conflict(): void;
  /** Not known to have been applied: it stands to be written again. */
  retry(): void;
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
  for (const m of cluster.rosterPuts) units.push(rosterUnit(cluster, m));
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
  for (const id of cluster.rosterDeletes) {
    if (spare < 1) break;
    spare--;
    units.push(deletion(rosterKey(id), () => cluster.rosterDeletes.delete(id)));
  }
  for (const key of cluster.cleanup) {
    if (spare < 1) break;
    spare--;
    units.push(deletion(key, () => cluster.cleanup.delete(key)));
  }
  return units;
}

function rosterUnit(cluster: Cluster, m: Machine): Unit {
  cluster.rosterPuts.delete(m);
  m.rostering = true;
  return {
    conditions: [],
    changes: [
      {
        op: 'put',
        key: rosterKey(m.id),
        value: { type: m.typeName, zone: m.zone, spot: m.spot, address: m.address },
      },
    ],
    size: 400,
    applied: () => {
      m.rostering = false;
      m.rostered = true;
      cluster.stirred = true;
    },
    conflict: () => {},
    retry: () => {
      m.rostering = false;
      if (cluster.machines.get(m.id) === m) cluster.rosterPuts.add(m);
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
