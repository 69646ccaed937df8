import type { TaskState } from '../../model/heartbeat.js';
import type { JobSpec } from '../../model/job.js';
import type { MachineType } from '../../model/machine.js';
import { EPSILON } from '../../model/resources.js';
import type { Job } from './job.js';

export interface TaskAttempt {
  job: Job;
  index: number;
  attempt: number;
  machine: Machine;
  state: 'assigned' | TaskState;
  /** The report in whose answer the start went out; null while it has not left. */
  startSentSequence: number | null;
  /**
   * The machine's fence under which a direct command carried the start; null
   * when none did, or when the machine has reported a later fence. Until then
   * the command, or a copy of it, may still arrive: neither absence nor an
   * exit proves that it won't, and to forget the attempt would let the copy
   * start it again.
   */
  directCommandFence: number | null;
  assignedAt: number;
  runningSince: number | null;
  /** `told`: a direct command has carried it; reports' answers repeat it all the same. */
  stopRequest: { graceS: number; commandSent: boolean } | null;
  /** The first task of a job that has waited for too long: it is not stopped for other work. */
  exemptFromPreemption: boolean;
  /** What its exit reported is durable, or needs no keeping: the worker may forget it. */
  mayBeForgotten: boolean;
}

/** Room for which other work was stopped, until the work that it was stopped for has it. */
export interface Reservation {
  priority: number;
  withinGuarantee: boolean;
  /** Tasks that are yet to come. */
  remainingTasks: number;
  expiresAt: number;
}

export type DrainReason =
  | 'preemption notice'
  | 'quarantined'
  | 'unresponsive'
  | 'boot timeout'
  | 'unreachable'
  | 'missing from list'
  | 'idle';

export function attemptKey(job: string, index: number, attempt: number): string {
  return `${job}/${index}/${attempt}`;
}

/** A machine as the leader knows it. */
export class Machine {
  readonly attempts = new Map<string, TaskAttempt>();
  readonly images = new Map<string, number>();
  /** Jobs whose tasks failed here since the last success here. */
  readonly failedJobs = new Map<string, number>();
  address = '';
  agentEpoch = 0;
  lastSequence = -1;
  /** A report of the current session carried our own token: its list of tasks is whole. */
  confirmed = false;
  /** The fence under which the machine is answered and commanded: the low part of its token. */
  fence = 0;
  /** The highest fence that it has reported: it refuses commands from under an earlier one. */
  acknowledgedFence = 0;
  /** Since when something waits for a later fence. */
  fenceRaiseDueSince: number | null = null;
  /** Written to the durable roster. */
  inRoster = false;
  rosterWritePending = false;
  /** Stands in the roster of an earlier leader and is neither confirmed nor gone. */
  inherited = false;
  /** After the takeover it was asked directly and gave no answer. */
  confirmationUnanswered = false;
  /** Its reports come by way of another node: a cut keeps commands from it. */
  relayed = false;
  /** It lists tasks of jobs that are not known: what they use is in doubt. */
  hasUnknownTasks = false;
  /** When the machine was first known to exist, by this leader. */
  readonly knownAt: number;
  /** It has been up, is silent and stands in no list: gone most likely, and returned to make sure. */
  missingFromList = false;
  /** When it last reported under our own token. */
  lastHeartbeatAt = 0;
  /** Answers in a row whose starts showed no effect. */
  missedAcknowledgements = 0;
  /** Since when nothing shows that it hears us, though its reports arrive; null while it does. */
  unresponsiveSince: number | null = null;
  upAt: number | null = null;
  /** No need was laid on it: it gets new work only when nothing else has room, so that it empties and can go back. */
  scaleInCandidate = false;
  /** Its room is kept for a task of this job, which no gap is large enough for. */
  reservedForJob: string | null = null;
  reservation: Reservation | null = null;
  preemptionNoticeUntil: number | null = null;
  drainReason: DrainReason | null = null;
  idleSince: number;
  admissionBackoffUntil = 0;
  usedCpus = 0;
  usedGpus = 0;
  usedMemoryGb = 0;

  constructor(
    readonly id: string,
    readonly typeName: string,
    readonly type: MachineType | null,
    readonly zone: string,
    readonly spot: boolean,
    /** When the rental was asked for, on our clock. */
    readonly provisionedAt: number,
    now: number,
  ) {
    this.knownAt = now;
    this.idleSince = now;
  }

  get price(): number {
    if (!this.type) return 0;
    return this.spot ? this.type.spotPrice : this.type.price;
  }

  /** How many tasks like this one the free room takes. */
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

  get utilization(): number {
    const type = this.type;
    if (!type) return 0;
    return Math.max(
      type.cpus > 0 ? this.usedCpus / type.cpus : 0,
      this.usedMemoryGb / Math.max(1, type.memoryGb),
    );
  }

  addAttempt(attempt: TaskAttempt): void {
    this.attempts.set(attemptKey(attempt.job.spec.id, attempt.index, attempt.attempt), attempt);
    if (attempt.state !== 'exited') this.charge(attempt.job.spec, 1);
  }

  removeAttempt(attempt: TaskAttempt): void {
    if (
      this.attempts.delete(attemptKey(attempt.job.spec.id, attempt.index, attempt.attempt)) &&
      attempt.state !== 'exited'
    )
      this.charge(attempt.job.spec, -1);
  }

  /** The task holds no resources any more. */
  markExited(attempt: TaskAttempt): void {
    if (attempt.state === 'exited') return;
    attempt.state = 'exited';
    this.charge(attempt.job.spec, -1);
  }

  get busy(): boolean {
    return this.usedCpus > EPSILON || this.usedMemoryGb > EPSILON || this.usedGpus > EPSILON;
  }

  /** Notes that the image is here; the least recently used ones make room, as on the machine itself. */
  recordImageUse(spec: JobSpec): void {
    this.images.delete(spec.image);
    this.images.set(spec.image, spec.imageGb);
    let total = 0;
    for (const gb of this.images.values()) total += gb;
    for (const [image, gb] of this.images) {
      if (total <= (this.type?.imageCacheGb ?? 0) || image === spec.image) break;
      this.images.delete(image);
      total -= gb;
    }
  }

  private charge(spec: JobSpec, sign: number): void {
    this.usedCpus += sign * spec.cpus;
    this.usedGpus += sign * spec.gpus;
    this.usedMemoryGb += sign * spec.memoryGb;
  }
}

/** How many tasks of the shape fit the room, counted at most as far as any array goes. */
export function slotsWithin(cpus: number, gpus: number, memoryGb: number, spec: JobSpec): number {
  let n = 100_000;
  if (spec.cpus > 0) n = Math.min(n, Math.floor((cpus + EPSILON) / spec.cpus));
  if (spec.gpus > 0) n = Math.min(n, Math.floor((gpus + EPSILON) / spec.gpus));
  if (spec.memoryGb > 0) n = Math.min(n, Math.floor((memoryGb + EPSILON) / spec.memoryGb));
  return Math.max(0, n);
}

export function slotsOnType(type: MachineType, spec: JobSpec): number {
  return slotsWithin(type.cpus, type.gpus, type.memoryGb, spec);
}
