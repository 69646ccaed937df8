/**
 * What a placement round has found out for all batches of a kind, so that it
 * searches the machines once for each kind instead of once for each batch. Thousands
 * of batches may wait, since each starving job has its own.
 */
import type { Batch, BatchKind } from '../state/batch.js';
import type { Machine } from '../state/task-attempt.js';

/** Returns the kind of a batch: what decides about the machines, quota and preemptions that it can use. */
export function batchKind({
  spec,
  priority,
  withinGuarantee,
  starving,
}: Pick<Batch, 'spec' | 'priority' | 'withinGuarantee' | 'starving'>): BatchKind {
  return `${priority}|${withinGuarantee}|${starving}|${spec.team}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${spec.machineTypes}|${spec.zone}|${spec.allowsSpot}`;
}

/**
 * Results of searches that found nothing, and the machines found for reservations.
 * They hold while no task is started and none is preempted: until then a round only
 * takes capacity away.
 */
export class KindFindings {
  private readonly withoutMachine = new Set<BatchKind>();
  private readonly withoutPreemption = new Set<BatchKind>();
  private readonly machinesToReserve = new Map<BatchKind, Machine | null>();

  /** Forgets all findings, after a task was started or preempted. */
  clear(): void {
    this.withoutMachine.clear();
    this.withoutPreemption.clear();
    this.machinesToReserve.clear();
  }

  /** Records that no machine has a free slot for batches of this kind. */
  recordWithoutMachine(kind: BatchKind): void {
    this.withoutMachine.add(kind);
  }

  /** Reports whether no machine has a free slot for batches of this kind. */
  isWithoutMachine(kind: BatchKind): boolean {
    return this.withoutMachine.has(kind);
  }

  /** Records that all capacity that batches of this kind may free is claimed. */
  recordWithoutPreemption(kind: BatchKind): void {
    this.withoutPreemption.add(kind);
  }

  /** Reports whether all capacity that batches of this kind may free is claimed. */
  isWithoutPreemption(kind: BatchKind): boolean {
    return this.withoutPreemption.has(kind);
  }

  /** Returns the machine to reserve for batches of this kind; `find` searches for it if that is not known. */
  machineToReserve(kind: BatchKind, find: () => Machine | null): Machine | null {
    const known = this.machinesToReserve.get(kind);
    if (known !== undefined) return known;
    const found = find();
    this.machinesToReserve.set(kind, found);
    return found;
  }
}
