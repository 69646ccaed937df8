/**
 * Compares the urgency of jobs with a plain computation over all paths, for small
 * seeded graphs: random shapes, orders of dependencies and of arrival, estimates that
 * change, ends of all kinds, lists of dependencies that are read late, and propagation
 * in parts.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DependencyGraph } from '../src/scheduler/state/dependency-graph.js';
import { latestEndAt } from '../src/scheduler/state/effective-deadline.js';
import type { JobState } from '../src/scheduler/state/job-state.js';
import { Job } from '../src/scheduler/state/task-attempt.js';
import { jobSpec } from './support/scheduler.js';
import { seededRandom } from './support/seeded-random.js';

const SEEDS = 4000;
const EVENTS_PER_SEED = 16;
const MAX_LIVE_JOBS = 9;
/** Rounding of sums along a path, in milliseconds. */
const ROUNDING_MS = 1e-3;

/** A path from a job to one that has a deadline. */
interface DeadlinePath {
  owner: JobState;
  /** Expected duration of the jobs after the first one, in seconds. */
  remainingPathS: number;
}

function jobId(number: number): string {
  return `req-${String(number).padStart(6, '0')}`;
}

/** A graph, and the durations that it was told last. */
class ReferenceGraph {
  readonly jobs = new Map<string, Job>();
  readonly graph: DependencyGraph;
  /** The dependencies that are yet to be read, by job id. */
  readonly unread = new Map<string, string[]>();
  /** The estimate of each job at present, in seconds. */
  private readonly estimatesS = new Map<string, number>();
  /** The estimate of each job when its urgency last changed, in seconds. */
  private readonly usedEstimatesS = new Map<string, number>();
  private lastNumber = 0;
  /** Numbers of jobs that others may depend on already, but that arrive later. */
  private readonly delayed: number[] = [];

  constructor(private readonly random: () => number) {
    const longestTaskS = ({ spec }: JobState) => {
      const estimateS = this.estimatesS.get(spec.id) ?? 0;
      this.usedEstimatesS.set(spec.id, estimateS);
      return estimateS;
    };
    this.graph = new DependencyGraph(this.jobs, { longestTaskS });
  }

  below(bound: number): number {
    return Math.floor(this.random() * bound);
  }

  /** Applies one random event; its effects may be passed on in part. */
  applyEvent(): void {
    const kind = this.below(10);
    if (this.jobs.size === 0 || (kind < 5 && this.jobs.size < MAX_LIVE_JOBS)) this.addJob();
    else if (kind < 8) this.endJob();
    else if (kind === 8) this.readList();
    else this.changeEstimates();
    if (this.below(2) === 0) this.graph.propagate(1 + this.below(4));
  }

  private addJob(): void {
    const arrived = this.below(3) === 0 ? this.delayed.shift() : undefined;
    if (arrived !== undefined) this.add(arrived);
    else if (this.below(5) === 0) this.delayed.push(++this.lastNumber);
    else this.add(++this.lastNumber);
  }

  /** Adds the job with this number. It may depend on any job with a lower number that has not ended. */
  private add(number: number): void {
    const id = jobId(number);
    const deadlineS = this.below(3) === 0 ? 50 + this.below(500) : null;
    const spec = jobSpec({ id, priority: this.below(4), deadlineS, tasks: 1 });
    const job = new Job(spec, number, number * 1000, false);
    const dependencies = [...this.jobs.keys(), ...this.delayed.map(jobId)]
      .filter((dependency) => dependency < id && this.below(2) === 0)
      .map((dependency) => ({ dependency, key: this.random() }))
      .sort((a, b) => a.key - b.key)
      .map(({ dependency }) => dependency);
    this.estimatesS.set(id, 1 + this.below(60));
    this.jobs.set(id, job);
    this.graph.addJob(job);
    if (this.below(4) > 0) {
      this.graph.addDependencies(job, dependencies);
      return;
    }
    this.graph.deferDependencies(job);
    this.unread.set(id, dependencies);
  }

  private endJob(): void {
    const id = [...this.jobs.keys()][this.below(this.jobs.size)] as string;
    const kind = this.below(3);
    const ends = [
      null,
      { state: 'done' as const, at: 0 },
      { state: 'cancelled' as const, at: null },
    ];
    this.graph.recordJobEnd(id, ends[kind] ?? null);
    this.jobs.delete(id);
    this.unread.delete(id);
  }

  private readList(): void {
    for (const [id, dependencies] of this.unread) {
      const job = this.jobs.get(id);
      if (job) this.graph.addReadDependencies(job, dependencies);
      this.unread.delete(id);
      return;
    }
  }

  private changeEstimates(): void {
    for (const id of this.jobs.keys()) this.estimatesS.set(id, 1 + this.below(60));
  }

  /** Checks the urgency of all jobs after everything has been passed on. */
  check(message: string): void {
    while (!this.graph.propagate(1 + this.below(20)));
    for (const job of this.jobs.values()) this.checkJob(job, `${message}, ${job.spec.id}`);
  }

  private checkJob(job: Job, message: string): void {
    assert.equal(job.priority, this.highestPriority(job), `${message}: priority`);
    const paths = this.deadlinePaths(job);
    const actual = job.effectiveDeadline;
    assert.equal(actual === null, paths.length === 0, `${message}: has a deadline`);
    if (!actual) return;
    const latestEnds = paths.map(({ owner, remainingPathS }) =>
      latestEndAt({ job: owner, remainingPathS }),
    );
    const difference = Math.abs(latestEndAt(actual) - Math.min(...latestEnds));
    assert.ok(difference < ROUNDING_MS, `${message}: latest end`);
    const isOnPath = paths.some(
      ({ owner, remainingPathS }) =>
        owner === actual.job &&
        Math.abs(remainingPathS - actual.remainingPathS) * 1000 < ROUNDING_MS,
    );
    assert.ok(isOnPath, `${message}: the deadline is that of a dependent, less a path to it`);
  }

  private dependentsOf(job: JobState): Job[] {
    return [...this.jobs.values()].filter((other) => other.pendingDependencies.has(job.spec.id));
  }

  private highestPriority(job: JobState): number {
    const inherited = this.dependentsOf(job).map((dependent) => this.highestPriority(dependent));
    return Math.min(job.spec.priority, ...inherited);
  }

  /** Returns every path from the job to a deadline. */
  private deadlinePaths(job: JobState): DeadlinePath[] {
    const paths: DeadlinePath[] = [];
    if (job.spec.deadlineS !== null) paths.push({ owner: job, remainingPathS: 0 });
    for (const dependent of this.dependentsOf(job)) {
      const durationS = this.usedEstimatesS.get(dependent.spec.id) ?? 0;
      for (const { owner, remainingPathS } of this.deadlinePaths(dependent))
        paths.push({ owner, remainingPathS: remainingPathS + durationS });
    }
    return paths;
  }
}

test('over thousands of seeded graphs each job has the priority and the deadline of a computation over all paths', () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const random = seededRandom(seed);
    const reference = new ReferenceGraph(random);
    for (let event = 0; event < EVENTS_PER_SEED; event++) {
      reference.applyEvent();
      if (random() < 0.5) reference.check(`seed ${seed}, event ${event}`);
    }
    reference.check(`seed ${seed}`);
  }
});
