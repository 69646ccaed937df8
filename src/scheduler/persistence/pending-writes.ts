/** Which durable writes are due, in the order of their urgency. */

import type { ClusterState } from '../state/cluster-state.js';
import type { Job } from '../state/task-attempt.js';
import { takeChunkWrite } from './bitmap-chunk-write.js';
import type { DurableWrite } from './durable-write.js';
import { CascadedCancellationWrite, JobCompletionWrite } from './job-end-writes.js';
import { KeyDeletionWrite } from './key-deletion-write.js';
import { RosterPageWrite, takeRosterAdditions } from './roster-page-write.js';

/** What the writes may cost now. */
export interface WriteBudget {
  /** Changes for progress and for cleaning up; ends of jobs and additions to the roster are always written. */
  progressChanges: number;
  /** Time of day in milliseconds, for the records of ends. */
  wallNow: number;
}

/** Writes of jobs, by urgency. */
interface JobWrites {
  /** Completions of jobs that others depend on: they go first. */
  awaitedEnds: DurableWrite[];
  otherEnds: DurableWrite[];
  progress: DurableWrite[];
  /** Changes that are left of the budget. */
  changesLeft: number;
}

/**
 * Takes what has to be made durable now, the most urgent first. The caller
 * reports the outcome of each write: chunks and pages without one are not
 * written again.
 */
export function pendingWrites(cluster: ClusterState, budget: WriteBudget): DurableWrite[] {
  const rosterAdditions = takeRosterAdditions(cluster);
  const jobs = takeJobWrites(cluster, budget);
  const stalePages = cluster.roster
    .rewriteStalePages(jobs.changesLeft)
    .map((pageWrite) => new RosterPageWrite(cluster, pageWrite));
  const deletions = keyDeletions(cluster, jobs.changesLeft - stalePages.length);
  return [
    ...rosterAdditions,
    ...jobs.awaitedEnds,
    ...jobs.otherEnds,
    ...jobs.progress,
    ...stalePages,
    ...deletions,
  ];
}

function takeJobWrites(cluster: ClusterState, budget: WriteBudget): JobWrites {
  const writes: JobWrites = {
    awaitedEnds: [],
    otherEnds: [],
    progress: [],
    changesLeft: budget.progressChanges,
  };
  for (const job of cluster.jobs.values()) {
    if (job.dependencyCancelled) writes.otherEnds.push(new CascadedCancellationWrite(cluster, job));
    else if (job.isComplete) {
      const isAwaited = cluster.dependencies.hasDependents(job.spec.id);
      const ends = isAwaited ? writes.awaitedEnds : writes.otherEnds;
      ends.push(new JobCompletionWrite(cluster, job, budget.wallNow));
    } else takeProgress(cluster, job, writes);
  }
  return writes;
}

/** Takes the job's unsaved chunks while the budget lasts. */
function takeProgress(cluster: ClusterState, job: Job, writes: JobWrites): void {
  for (const [chunk, finished] of job.unsavedChunks) {
    if (writes.changesLeft < 1) return;
    const write = takeChunkWrite(cluster, job, chunk, finished);
    if (!write) continue;
    writes.changesLeft--;
    writes.progress.push(write);
  }
}

/** Deletions of keys that ended jobs have left; the keys stay listed until one is applied. */
function keyDeletions(cluster: ClusterState, budgetLeft: number): DurableWrite[] {
  const deletions: DurableWrite[] = [];
  let changesLeft = budgetLeft;
  for (const key of cluster.obsoleteKeys) {
    if (changesLeft < 1) break;
    changesLeft--;
    deletions.push(new KeyDeletionWrite(cluster, key));
  }
  return deletions;
}
