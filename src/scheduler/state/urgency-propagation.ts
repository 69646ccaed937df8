/**
 * Passes priorities and deadlines on from jobs to their dependencies.
 *
 * Bound: a change visits each job whose urgency it changes, and each dependency of
 * such a job, once. A job names only jobs that were accepted before it, so jobs
 * are visited in descending order of their versions: all dependents of a job that
 * are to be visited come before it, whatever the shape of the graph.
 */
import TinyQueue from 'tinyqueue';
import {
  type EffectiveDeadline,
  isSameDeadline,
  isTighter,
  ownDeadline,
} from './effective-deadline.js';
import { InheritedUrgency, PassedOnUrgency } from './inherited-urgency.js';
import type { JobState } from './job-state.js';

/** Expected durations, from which the time that a path of dependencies takes is computed. */
export interface DurationEstimator {
  /** Returns the expected duration of the job's longest task, in seconds. */
  longestTaskS(job: JobState): number;
}

/** A live job in the graph of dependencies. */
interface UrgencyNode {
  readonly job: JobState;
  readonly inherited: InheritedUrgency;
  /** What its dependencies inherit from it; null before its first visit. */
  passedOn: PassedOnUrgency | null;
  /** Whether it is in the queue of jobs to visit. */
  queued: boolean;
  /** Whether the job has ended. */
  removed: boolean;
}

function byDescendingVersion(a: UrgencyNode, b: UrgencyNode): number {
  return b.job.version - a.job.version;
}

/**
 * Keeps the urgency of all live jobs. Changes are recorded at once and take effect
 * in `propagate`. Between its calls the urgency of some jobs may be outdated, and
 * any further change may be recorded.
 */
export class UrgencyPropagation {
  /** Number of jobs and dependencies visited so far. */
  visits = 0;
  private readonly nodes = new Map<string, UrgencyNode>();
  private readonly queue = new TinyQueue<UrgencyNode>([], byDescendingVersion);

  constructor(private readonly estimator: DurationEstimator) {}

  /** Adds a live job. Its own urgency reaches its dependencies with its first visit. */
  add(job: JobState): void {
    const node: UrgencyNode = {
      job,
      inherited: new InheritedUrgency(),
      passedOn: null,
      queued: false,
      removed: false,
    };
    this.nodes.set(job.spec.id, node);
    this.enqueue(node);
  }

  /** Records that the dependent has a further pending dependency. Does nothing while one of the two is not live. */
  addDependency(dependent: JobState, dependencyId: string): void {
    const dependency = this.nodes.get(dependencyId);
    const passedOn = this.nodes.get(dependent.spec.id)?.passedOn;
    if (!dependency || !passedOn) return;
    this.visits++;
    dependency.inherited.add(passedOn);
    this.enqueue(dependency);
  }

  /** Removes a job that has ended; its dependencies no longer inherit from it. */
  remove(job: JobState): void {
    const node = this.nodes.get(job.spec.id);
    if (!node) return;
    node.removed = true;
    this.nodes.delete(job.spec.id);
    this.passOn(node, null);
  }

  /**
   * Visits jobs until all changes have taken effect, or until it has made
   * `maxVisits` visits; the dependencies of one job are visited together. Returns
   * whether all changes have taken effect.
   */
  propagate(maxVisits: number): boolean {
    const limit = this.visits + maxVisits;
    while (this.visits < limit) {
      const node = this.queue.pop();
      if (!node) return true;
      node.queued = false;
      if (!node.removed) this.visit(node);
    }
    return this.queue.length === 0;
  }

  private enqueue(node: UrgencyNode): void {
    if (node.queued) return;
    node.queued = true;
    this.queue.push(node);
  }

  /** Updates the urgency of the job, and passes it on if it has changed. */
  private visit(node: UrgencyNode): void {
    this.visits++;
    const { job, inherited } = node;
    const priority = Math.min(job.spec.priority, inherited.priority);
    const deadline = tighterDeadline(ownDeadline(job), inherited.deadline);
    const unchanged = priority === job.priority && isSameDeadline(deadline, job.effectiveDeadline);
    if (unchanged && node.passedOn) return;
    job.priority = priority;
    job.effectiveDeadline = deadline;
    this.passOn(
      node,
      new PassedOnUrgency(job.version, priority, this.deadlineForDependencies(job)),
    );
  }

  /** Replaces what the job's live dependencies inherit from it; null when it has ended. */
  private passOn(node: UrgencyNode, passedOn: PassedOnUrgency | null): void {
    const previous = node.passedOn;
    if (previous) previous.outdated = true;
    node.passedOn = passedOn;
    for (const id of node.job.pendingDependencies) {
      const dependency = this.nodes.get(id);
      if (!dependency) continue;
      this.visits++;
      if (previous) dependency.inherited.remove(previous);
      if (passedOn) dependency.inherited.add(passedOn);
      this.enqueue(dependency);
    }
  }

  /**
   * Returns the deadline that a job passes on to its dependencies: its own or
   * inherited one, less the expected duration of its tasks. Null when it has none.
   */
  private deadlineForDependencies(dependent: JobState): EffectiveDeadline | null {
    const deadline = dependent.effectiveDeadline;
    if (deadline === null) return null;
    const pathS = deadline.remainingPathS + this.estimator.longestTaskS(dependent);
    return { job: deadline.job, remainingPathS: pathS };
  }
}

/** Returns the deadline that leaves less time, the job's own one if both leave the same. */
function tighterDeadline(
  own: EffectiveDeadline | null,
  inherited: EffectiveDeadline | null,
): EffectiveDeadline | null {
  return inherited !== null && isTighter(inherited, own) ? inherited : own;
}
