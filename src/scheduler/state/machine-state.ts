/**
 * A machine without the attempts on it: its liveness, how the leader reaches
 * it, its roster membership and its resources. `Machine` in task-attempt.ts
 * adds the attempts.
 *
 * All times are in milliseconds on the monotonic clock.
 */

import type { JobSpec } from '../../model/job.js';
import type { MachineType } from '../../model/machine.js';
import { EPSILON } from '../../model/resources.js';

/** Capacity that preemption frees, reserved until the work that needs it has been placed or the reservation expires. */
export interface Reservation {
  priority: number;
  withinGuarantee: boolean;
  /** Number of tasks that still have to be placed on it. */
  remainingTasks: number;
  expiresAt: number;
}

/** Why a machine gets no new work and is terminated as soon as allowed. The values are written to the log. */
export type DrainReason =
  | 'preemption notice'
  | 'quarantined'
  | 'unresponsive'
  | 'boot timeout'
  | 'unreachable'
  | 'missing from list'
  | 'idle';

/** The leader's view of a machine, except for the attempts on it. */
export class MachineState {
  // Liveness

  /** When this leader first learned that the machine exists. */
  readonly firstKnownAt: number;
  /** When it was first known to be up; null before that. */
  upAt: number | null = null;
  /**
   * When its last heartbeat under this leader's own fencing token arrived. Before
   * the first one, when the machine was inherited or first listed as running, or 0.
   */
  lastHeartbeatAt = 0;
  /**
   * Whether it was up, sends no heartbeats and is missing from the cloud's list.
   * Most likely it has been terminated, and it is terminated again to be sure.
   */
  missingFromList = false;
  /** Number of consecutive heartbeat responses whose starts had no visible effect. */
  missedAcknowledgements = 0;
  /** Since when nothing shows that responses and commands reach it although its heartbeats arrive; null otherwise. */
  unresponsiveSince: number | null = null;

  // Agent and fencing

  /** Address on which its agent listens; empty while it is not known. */
  address = '';
  /** Agent epoch of its last heartbeat; 0 before the first one. */
  agentEpoch = 0;
  /** Sequence number of its last heartbeat in that epoch; -1 before the first one. */
  lastSequence = -1;
  /** Whether a heartbeat of the current epoch carried this leader's own fencing token, so that its task list is complete. */
  confirmed = false;
  /** The fence of responses and commands to the machine: the low part of its fencing token. */
  fence = 0;
  /** The highest fence that it has reported. It refuses commands with a lower one. */
  acknowledgedFence = 0;
  /** Since when attempts have waited for the fence to be raised; null when no raise is due. */
  fenceRaiseDueSince: number | null = null;
  /** Whether another controller relays its heartbeats. A network partition then blocks commands to it. */
  relayed = false;
  /** Whether it lists tasks of unknown jobs that have not exited. Their resource usage is unconfirmed. */
  hasUnknownTasks = false;

  // Roster

  /** Whether it is in the durable roster. */
  inRoster = false;
  /** Whether a write that adds it to the roster is in flight. */
  rosterWritePending = false;
  /** Whether it is in the roster of an earlier leader and neither confirmed nor terminated. */
  inherited = false;
  /** Whether it failed to reply to the confirmation command after the failover. */
  confirmationUnanswered = false;

  // Placement

  /**
   * Whether no demand was allocated to it. It gets new work only when no other
   * machine has capacity, so that it becomes empty and can be terminated.
   */
  scaleInCandidate = false;
  /** Id of the job for whose task its free capacity is reserved, since no machine has enough; null when there is none. */
  reservedForJob: string | null = null;
  /** Reservation for the work for which other work was preempted; null when there is none. */
  reservation: Reservation | null = null;
  /** When the cloud reclaims the spot machine; null without a preemption notice. */
  preemptionDueAt: number | null = null;
  /** Null when it is not being drained. */
  drainReason: DrainReason | null = null;
  /** Since when it has had no work. Only meaningful while it has none. */
  idleSince: number;
  /** It gets no task before this time; set when it refuses a task for lack of capacity. */
  admissionBackoffUntil = 0;
  /** Number of task failures since the last success on this machine, by job id. */
  readonly failedJobs = new Map<string, number>();

  // Resources

  /** Sizes in GB of the images in its cache, the least recently used first. */
  readonly images = new Map<string, number>();
  usedCpus = 0;
  usedGpus = 0;
  usedMemoryGb = 0;

  constructor(
    readonly id: string,
    readonly typeName: string,
    /** Null when the cloud has no type of this name. Nothing is placed on the machine then. */
    readonly type: MachineType | null,
    readonly zone: string,
    readonly spot: boolean,
    /** When it was requested from the cloud. */
    readonly provisionedAt: number,
    now: number,
  ) {
    this.firstKnownAt = now;
    this.idleSince = now;
  }

  /** Its price per unit of time; 0 when its type is not known. */
  get price(): number {
    if (!this.type) return 0;
    return this.spot ? this.type.spotPrice : this.type.price;
  }

  /** Returns how many tasks of the job fit its free resources. */
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

  /** Whether some CPU and some memory are free. */
  get hasFreeCapacity(): boolean {
    const type = this.type;
    return (
      type !== null &&
      type.cpus - this.usedCpus > EPSILON &&
      type.memoryGb - this.usedMemoryGb > EPSILON
    );
  }

  /** The used share of its CPUs or its memory, whichever is larger, from 0 to 1. */
  get utilization(): number {
    const type = this.type;
    if (!type) return 0;
    return Math.max(
      type.cpus > 0 ? this.usedCpus / type.cpus : 0,
      this.usedMemoryGb / Math.max(1, type.memoryGb),
    );
  }

  /** Whether any task uses its resources. */
  get busy(): boolean {
    return this.usedCpus > EPSILON || this.usedMemoryGb > EPSILON || this.usedGpus > EPSILON;
  }

  /** Records that the job's image is in the cache. The least recently used ones are evicted, as on the machine itself. */
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

  /** Adds (1) or subtracts (-1) the resources that one task of the job uses. */
  protected chargeResources(spec: JobSpec, sign: 1 | -1): void {
    this.usedCpus += sign * spec.cpus;
    this.usedGpus += sign * spec.gpus;
    this.usedMemoryGb += sign * spec.memoryGb;
  }
}

/** Upper bound on slots: no job array has more tasks. */
const MAX_SLOTS = 100_000;

/** Returns how many tasks of the job fit these resources, at most `MAX_SLOTS`. */
export function slotsWithin(cpus: number, gpus: number, memoryGb: number, spec: JobSpec): number {
  let slots = MAX_SLOTS;
  if (spec.cpus > 0) slots = Math.min(slots, Math.floor((cpus + EPSILON) / spec.cpus));
  if (spec.gpus > 0) slots = Math.min(slots, Math.floor((gpus + EPSILON) / spec.gpus));
  if (spec.memoryGb > 0) slots = Math.min(slots, Math.floor((memoryGb + EPSILON) / spec.memoryGb));
  return Math.max(0, slots);
}

/** Returns how many tasks of the job fit an empty machine of the type. */
export function slotsOnType(type: MachineType, spec: JobSpec): number {
  return slotsWithin(type.cpus, type.gpus, type.memoryGb, spec);
}
