/**
 * The urgency that jobs pass on along their dependencies, and what a job inherits
 * from all live jobs that depend on it.
 */
import TinyQueue from 'tinyqueue';
import { PRIORITIES } from '../../model/job.js';
import { type EffectiveDeadline, latestEndAt } from './effective-deadline.js';

/** Fewer outdated deadlines than this are not worth removing. */
const MIN_OUTDATED_DEADLINES = 16;

/** What a job passes on to each of its dependencies. */
export class PassedOnUrgency {
  /** Whether the job has ended or passes on another urgency by now. */
  outdated = false;
  /** When a dependency has to be done, in milliseconds on the wall clock; infinity without a deadline. */
  readonly latestEndAt: number;

  constructor(
    /** Version of the job that passes it on. Of two equal deadlines, that of the earlier job is inherited. */
    readonly version: number,
    /** Index into PRIORITIES. */
    readonly priority: number,
    readonly deadline: EffectiveDeadline | null,
  ) {
    this.latestEndAt = deadline ? latestEndAt(deadline) : Number.POSITIVE_INFINITY;
  }
}

function byLatestEnd(a: PassedOnUrgency, b: PassedOnUrgency): number {
  return a.latestEndAt - b.latestEndAt || a.version - b.version;
}

/**
 * What a job inherits from its live dependents. A change of one dependent costs
 * the logarithm of their number: priorities are counted, deadlines are in a heap
 * that outdated ones leave when they reach its top.
 */
export class InheritedUrgency {
  /** Number of dependents that pass on each priority. */
  private readonly countByPriority: number[] = PRIORITIES.map(() => 0);
  private deadlines = new TinyQueue<PassedOnUrgency>([], byLatestEnd);
  /** Number of entries of `deadlines` that were removed but are still in the heap. */
  private outdatedDeadlines = 0;

  /** Adds what a dependent passes on. */
  add(urgency: PassedOnUrgency): void {
    this.adjustCount(urgency.priority, 1);
    if (!urgency.deadline) return;
    this.removeOutdatedIfMany();
    this.deadlines.push(urgency);
  }

  /** Removes what a dependent passed on; it is marked as outdated. */
  remove(urgency: PassedOnUrgency): void {
    this.adjustCount(urgency.priority, -1);
    if (urgency.deadline) this.outdatedDeadlines++;
  }

  /** The highest inherited priority, as an index into PRIORITIES; infinity without dependents. */
  get priority(): number {
    const priority = this.countByPriority.findIndex((count) => count > 0);
    return priority < 0 ? Number.POSITIVE_INFINITY : priority;
  }

  /** The inherited deadline that leaves the least time; null when no dependent has one. */
  get deadline(): EffectiveDeadline | null {
    let tightest = this.deadlines.peek();
    while (tightest?.outdated) {
      this.deadlines.pop();
      this.outdatedDeadlines--;
      tightest = this.deadlines.peek();
    }
    return tightest?.deadline ?? null;
  }

  private adjustCount(priority: number, delta: number): void {
    this.countByPriority[priority] = (this.countByPriority[priority] ?? 0) + delta;
  }

  /** Rebuilds the heap once half of it is outdated, so that each entry is moved about once for each change. */
  private removeOutdatedIfMany(): void {
    const { deadlines, outdatedDeadlines } = this;
    if (outdatedDeadlines < MIN_OUTDATED_DEADLINES) return;
    if (outdatedDeadlines * 2 < deadlines.length) return;
    const current = deadlines.data.filter((urgency) => !urgency.outdated);
    this.deadlines = new TinyQueue(current, byLatestEnd);
    this.outdatedDeadlines = 0;
  }
}
