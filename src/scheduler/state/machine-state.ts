/**
 * A machine apart from the attempts on it: its liveness, how the leader
 * reaches it, its place in the roster and its resources. `Machine` in
 * task-attempt adds the attempts.
 *
 * All times are steady milliseconds of this leader's clock.
 */

import type { JobSpec } from '../../model/job.js';
import type { MachineType } from '../../model/machine.js';
import { EPSILON } from '../../model/resources.js';

/** Capacity for which other work was preempted, kept until the work that needs it has it. */
export interface Reservation {
  priority: number;
  withinGuarantee: boolean;
  /** Tasks that are yet to be placed on it. */
  remainingTasks: number;
  expiresAt: number;
}

/** Why a machine gets no new work and is terminated once it may be. Logged only. */
export type DrainReason =
  | 'preemption notice'
  | 'quarantined'
  | 'unresponsive'
  | 'boot timeout'
  | 'unreachable'
  | 'missing from list'
  | 'idle';

/** What the leader knows of a machine beside its attempts. */
export class MachineState {
  // Liveness

  /** When this leader first knew that the machine exists. */
  readonly knownAt: number;
  /** When it was first known to be up; null: it has not been. */
  upAt: number | null = null;
  /** When its last heartbeat under our own fencing token arrived. */
  lastHeartbeatAt = 0;
  /** It has been up, sends no heartbeat and is in no list: terminated most likely, and terminated again to make sure. */
  missingFromList = false;
  /** Answers in a row whose starts showed no effect. */
  missedAcknowledgements = 0;
  /** Since when nothing shows that our answers reach it, though its heartbeats arrive; null while they do. */
  unresponsiveSince: number | null = null;

  // Agent and fencing

  /** Where its agent listens; empty while it is not known. */
  address = '';
  /** The agent epoch of its last heartbeat; 0: none has come. */
  agentEpoch = 0;
  /** Sequence number of its last heartbeat in that epoch. */
  lastSequence = -1;
  /** A heartbeat of the current epoch carried our own fencing token: its list of tasks is whole. */
  confirmed = false;
  /** The fence under which the machine is answered and commanded: the low part of its fencing token. */
  fence = 0;
  /** The highest fence that it has reported: it refuses commands from under an earlier one. */
  acknowledgedFence = 0;
  /** Since when something waits for a later fence. */
  fenceRaiseDueSince: number | null = null;
  /** Its heartbeats come by way of another controller: a network partition keeps commands from it. */
  relayed = false;
  /** It lists tasks of jobs that are not known: what they use is unconfirmed. */
  hasUnknownTasks = false;

  // Roster

  /** It is in the durable roster. */
  inRoster = false;
  /** A write that adds it to the roster is on its way. */
  rosterWritePending = false;
  /** It is in the roster of an earlier leader and is neither confirmed nor terminated. */
  inherited = false;
  /** After the failover it was asked directly and gave no answer. */
  confirmationUnanswered = false;

  // Placement

  /** No demand was assigned to it: it gets new work only when nothing else has capacity, so that it empties and can be terminated. */
  scaleInCandidate = false;
  /** Its free capacity is kept for a task of this job, for which no machine has enough. */
  reservedForJob: string | null = null;
  /** Its capacity is kept for the work that other work was preempted for. */
  reservation: Reservation | null = null;
  /** When the cloud takes the spot machine back; null: no notice. */
  preemptionNoticeUntil: number | null = null;
  /** Null: it is not being drained. */
  drainReason: DrainReason | null = null;
  /** Since when it has been without work, while it is. */
  idleSince: number;
  /** It refused a task for lack of capacity and gets none before this time. */
  admissionBackoffUntil = 0;
  /** Jobs whose tasks failed here since the last success here, with the number of failures. */
  readonly failedJobs = new Map<string, number>();

  // Resources

  /** Images in its cache with their sizes in GB, the least recently used first. */
  readonly images = new Map<string, number>();
  usedCpus = 0;
  usedGpus = 0;
  usedMemoryGb = 0;

  constructor(
    readonly id: string,
    readonly typeName: string,
    /** Null: the cloud has no type of this name, so that nothing is placed on it. */
    readonly type: MachineType | null,
    readonly zone: string,
    readonly spot: boolean,
    /** When it was requested from the cloud. */
    readonly provisionedAt: number,
    now: number,
  ) {
    this.knownAt = now;
    this.idleSince = now;
  }

  /** Its price for a unit of time; 0 when its type is not known. */
  get price(): number {
    if (!this.type) return 0;
    return this.spot ? this.type.spotPrice : this.type.price;
  }

  /** How many tasks of this job its free resources take. */
  freeSlots(spec: JobSpec): number {
    const type = this.type;
    if (!type) return 0;
    return slotsWithin(
      type.cpus - this.usedCpus,
      type.gpus - this.usedGpus,
      type.memoryGb - this.usedMemoryGb,
      spec,
    );
  }

  /** Anything at all is free. */
  get hasFreeCapacity(): boolean {
    const type = this.type;
    return (
      type !== null &&
      type.cpus - this.usedCpus > EPSILON &&
      type.memoryGb - this.usedMemoryGb > EPSILON
    );
  }

  /** The used share of its CPUs or its memory, whichever is larger: 0 to 1. */
  get utilization(): number {
    const type = this.type;
    if (!type) return 0;
    return Math.max(
      type.cpus > 0 ? this.usedCpus / type.cpus : 0,
      this.usedMemoryGb / Math.max(1, type.memoryGb),
    );
  }

  /** Some task uses resources of it. */
  get busy(): boolean {
    return this.usedCpus > EPSILON || this.usedMemoryGb > EPSILON || this.usedGpus > EPSILON;
  }

  /** Notes that the job's image is in the cache; the least recently used ones are evicted, as on the machine itself. */
  recordImageUse(spec: JobSpec): void {
    this.images.delete(spec.image);
    this.images.set(spec.image, spec.imageGb);
    let totalGb = 0;
    for (const sizeGb of this.images.values()) totalGb += sizeGb;
    for (const [image, sizeGb] of this.images) {
      if (totalGb <= (this.type?.imageCacheGb ?? 0) || image === spec.image) break;
      this.images.delete(image);
      totalGb -= sizeGb;
    }
  }

  /** Counts what one task of the job uses, once more (1) or once less (-1). */
  protected chargeResources(spec: JobSpec, sign: 1 | -1): void {
    this.usedCpus += sign * spec.cpus;
    this.usedGpus += sign * spec.gpus;
    this.usedMemoryGb += sign * spec.memoryGb;
  }
}

/** No array has more tasks, so that more slots are never needed. */
const MAX_SLOTS = 100_000;

/** How many tasks of the job these resources take, `MAX_SLOTS` at most. */
export function slotsWithin(cpus: number, gpus: number, memoryGb: number, spec: JobSpec): number {
  let slots = MAX_SLOTS;
  if (spec.cpus > 0) slots = Math.min(slots, Math.floor((cpus + EPSILON) / spec.cpus));
  if (spec.gpus > 0) slots = Math.min(slots, Math.floor((gpus + EPSILON) / spec.gpus));
  if (spec.memoryGb > 0) slots = Math.min(slots, Math.floor((memoryGb + EPSILON) / spec.memoryGb));
  return Math.max(0, slots);
}

/** How many tasks of the job an empty machine of the type takes. */
export function slotsOnType(type: MachineType, spec: JobSpec): number {
  return slotsWithin(type.cpus, type.gpus, type.memoryGb, spec);
}
