import type { JobSpec } from '../../model/model.js';
import type { Cluster } from '../state/cluster-state.js';
import type { Machine } from '../state/machine.js';
import type { Batch } from './ready-queue.js';

/** What the rules of a job look at in a machine. */
export type Placed = Pick<Machine, 'typeName' | 'zone' | 'spot'>;

export function allowed(m: Placed, spec: JobSpec): boolean {
  return (
    (spec.types === null || spec.types.includes(m.typeName)) &&
    (spec.zone === null || spec.zone === m.zone) &&
    (spec.spot || !m.spot)
  );
}

/** Takes new tasks at all. */
export function open(cluster: Cluster, m: Machine, now: number): boolean {
  return (
    m.confirmed &&
    m.rostered &&
    m.type !== null &&
    m.drain === null &&
    m.unresponsiveSince === null &&
    !m.strays &&
    m.refusedUntil <= now &&
    now - m.lastReport < cluster.timing.reportMs * 2
  );
}

/**
 * Whether the machine's room is free for the batch. Tasks are stopped one
 * after the other, and what they free piece by piece is enough for the small
 * ones that were stopped long before it is enough for a large one: they would
 * take it again and be stopped again, for as long as the large one waits.
 */
export function mayUse(m: Machine, batch: Batch): boolean {
  const { reservation } = m;
  if (!reservation || batch.aged || batch.rank < reservation.rank) return true;
  return batch.rank === reservation.rank && (batch.guaranteed || !reservation.guaranteed);
}

/** Keeps room that is being made on the machine for one more task of the batch. */
export function reserve(m: Machine, batch: Batch, until: number): void {
  const { rank, guaranteed } = batch;
  const old = m.reservation;
  if (old && old.rank === rank && old.guaranteed === guaranteed) {
    old.tasks++;
    old.until = until;
  } else m.reservation = { rank, guaranteed, tasks: 1, until };
}

/** A task was placed on the machine: of the same rank, it is what room was reserved for. */
export function useReservation(m: Machine, batch: Batch): void {
  const { reservation } = m;
  if (!reservation || batch.rank !== reservation.rank || !mayUse(m, batch)) return;
  if (--reservation.tasks <= 0) m.reservation = null;
}
