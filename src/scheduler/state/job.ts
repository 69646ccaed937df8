import type { JobSpec } from '../../model/model.js';
import type { Goal } from './dependency-graph.js';
import type { Binding } from './machine.js';

const READY = 0;
const BOUND = 1;
const DONE = 2;
const DELAYED = 3;

/** A live job and where each of its tasks stands. */
export class Job {
  /** Tasks on a machine, or possibly on one: each is bound until proven ended. */
  readonly bound = new Map<number, Binding>();
  /** Tasks bound in each zone. */
  readonly zones = new Map<string, number>();
  /** Machines on which a task failed since the job's last success. */
  readonly failedOn = new Set<string>();
  /** Bits that changed since the last flush, by chunk, with the exits that wait for them. */
  readonly dirty = new Map<number, Binding[]>();
  /** Versions of the chunks that may exist in the state service; null: a write had no answer. */
  readonly chunks = new Map<number, number | null>();
  /** Further keys of it in the state service, which are only read and go when it ends. */
  readonly otherKeys: string[] = [];
  ready: number;
  done = 0;
  succeeded = false;
  /** A task of it has been started at some time. */
  begun = false;
  failures = 0;
  /** A job that fails everywhere waits until this time. */
  heldUntil = 0;
  /** Cancelled or moved to the ended jobs: nothing of it may start. */
  over = false;
  /** The transaction that ends it is on its way. */
  ending = false;
  /**
   * On its arrival it fitted its team's guarantee together with the team's
   * earlier unfinished jobs. Not looked at again: as those end, every job
   * would come to fit in its turn, and the oldest work of all teams would
   * pass, and stop, what can still be in time.
   */
  guaranteed: boolean | null = null;
  /** Jobs that have to be done before a task of this one starts. */
  readonly waitsFor = new Set<string>();
  /** Some of the ids that it needs stand in records that have not been read. */
  upstreamUnread = false;
  /** A job that it needs, directly or through others, was cancelled: so will this one be. */
  upstreamCancelled = false;
  /** Time of day from which its waits are counted: its acceptance, or the end of the last job that it needed. */
  eligibleAt: number;
  /** Index into RANKS: the highest of its own and of all jobs that need it. */
  rank: number;
  /** The deadline that leaves it the least time, its own or one downstream. */
  goal: Goal | null = null;
  private readonly status: Uint8Array;
  private cursor = 0;
  private readonly returned: number[] = [];
  private readonly delays: { index: number; until: number }[] = [];

  constructor(
    readonly spec: JobSpec,
    /** Version of its key: the order of arrival. */
    readonly version: number,
    /** Time of day of its acceptance, in milliseconds. */
    readonly acceptedAt: number,
    /** Accepted before this leader's term: an earlier leader may have started tasks of it. */
    readonly inherited: boolean,
  ) {
    this.status = new Uint8Array(spec.tasks);
    this.ready = spec.tasks;
    this.eligibleAt = acceptedAt;
    this.rank = spec.rank;
    this.resetPriority();
  }

  /** Rank and deadline as its own user set them. */
  resetPriority(): void {
    this.rank = this.spec.rank;
    this.goal = this.spec.deadlineS === null ? null : { job: this, restS: 0 };
  }

  /** Not all of what it needs is done: nothing of it may start, and it counts for nothing. */
  get isWaiting(): boolean {
    return this.upstreamCancelled || this.upstreamUnread || this.waitsFor.size > 0;
  }

  /** A job that it needs is durably done. */
  upstreamDone(id: string, at: number | null): void {
    this.waitsFor.delete(id);
    if (at !== null) this.eligibleAt = Math.max(this.eligibleAt, at);
  }

  get complete(): boolean {
    return this.done === this.spec.tasks;
  }

  isDone(index: number): boolean {
    return this.status[index] === DONE;
  }

  /** The next ready task, which the caller binds; null when there is none. */
  next(): number | null {
    while (this.returned.length > 0) {
      const index = this.returned.pop() as number;
      if (this.status[index] === READY) return index;
    }
    while (this.cursor < this.spec.tasks) {
      const index = this.cursor++;
      if (this.status[index] === READY) return index;
    }
    return null;
  }

  bind(binding: Binding): void {
    const { index, machine } = binding;
    if (this.status[index] === READY) this.ready--;
    this.status[index] = BOUND;
    this.begun = true;
    this.bound.set(index, binding);
    this.zones.set(machine.zone, (this.zones.get(machine.zone) ?? 0) + 1);
  }

  /** The binding has ended; unless done, its task is ready again, at once or at `until`. */
  unbind(binding: Binding, until: number): void {
    const { index, machine } = binding;
    if (this.bound.get(index) !== binding) return;
    this.bound.delete(index);
    this.zones.set(machine.zone, (this.zones.get(machine.zone) ?? 1) - 1);
    if (this.status[index] !== BOUND) return;
    if (until > 0) {
      this.status[index] = DELAYED;
      this.delays.push({ index, until });
    } else {
      this.status[index] = READY;
      this.ready++;
      this.returned.push(index);
    }
  }

  /** True when the task was not known as done before. */
  finish(index: number): boolean {
    const old = this.status[index];
    if (old === undefined || old === DONE) return false;
    if (old === READY) this.ready--;
    this.status[index] = DONE;
    this.begun = true;
    this.done++;
    return true;
  }

  /** Lets tasks whose delay is over become ready again. */
  wake(now: number): void {
    for (let i = this.delays.length - 1; i >= 0; i--) {
      const delay = this.delays[i] as { index: number; until: number };
      if (delay.until > now) continue;
      this.delays.splice(i, 1);
      if (this.status[delay.index] !== DELAYED) continue;
      this.status[delay.index] = READY;
      this.ready++;
      this.returned.push(delay.index);
    }
  }

  get delayed(): number {
    return this.delays.length;
  }

  /** The bits of a chunk of finished tasks, lowest task first. */
  chunkBits(chunk: number, tasksPerChunk: number): Uint8Array {
    const start = chunk * tasksPerChunk;
    const size = Math.min(tasksPerChunk, this.spec.tasks - start);
    const bits = new Uint8Array(Math.ceil(size / 8));
    for (let i = 0; i < size; i++)
      if (this.status[start + i] === DONE) bits[i >> 3] = (bits[i >> 3] as number) | (1 << (i & 7));
    return bits;
  }

  /** Takes over bits that an earlier leader wrote, from this task on. */
  loadBits(firstTask: number, bits: Uint8Array): void {
    for (let i = 0; i < bits.length * 8 && firstTask + i < this.spec.tasks; i++)
      if (((bits[i >> 3] as number) >> (i & 7)) & 1) this.finish(firstTask + i);
  }
}
