/** Collects the durable writes that are due, in the order of their urgency. */

import type { ClusterState } from '../state/cluster-state.js';
import type { Job } from '../state/task-attempt.js';
import { createChunkWrite } from './bitmap-chunk-write.js';
import type { DurableWrite } from './durable-write.js';
import { CascadedCancellationWrite, JobCompletionWrite } from './job-end-writes.js';
import { KeyDeletionWrite } from './key-deletion-write.js';
import { createRosterAdditionWrites, RosterPageWrite } from './roster-page-write.js';

/**
 * Ends of jobs that are collected at once, of those that others wait for and of the
 * others. The cancellation of one job may end thousands; the rest follows with the
 * next collection.
 */
const MAX_ENDS_PER_COLLECTION = 1000;

/** Budget and time for the writes that are due. */
export interface WriteBudget {
  /** Maximum changes for progress and cleanup; ends of jobs and additions to the roster do not count. */
  progressChanges: number;
  /** Wall-clock time for the end records of jobs, in milliseconds. */
  wallNow: number;
}

/** Writes of jobs, by urgency. */
interface JobWrites {
  /** Completions of jobs that other jobs depend on, which are written first. */
  awaitedEnds: DurableWrite[];
  otherEnds: DurableWrite[];
  progress: DurableWrite[];
  /** Remaining changes of the budget. */
  changesLeft: number;
}

/**
 * Collects the writes that are due, the most urgent first. The caller must report
 * the outcome of each write: a chunk or page is not written again before that.
 */
export function collectPendingWrites(cluster: ClusterState, budget: WriteBudget): DurableWrite[] {
  const rosterAdditions = createRosterAdditionWrites(cluster);
  const jobs = collectJobWrites(cluster, budget);
  const unsavedPages = cluster.roster
    .rewriteUnsavedPages(jobs.changesLeft)
    .map((pageWrite) => new RosterPageWrite(cluster, pageWrite));
  const deletions = createKeyDeletions(cluster, jobs.changesLeft - unsavedPages.length);
  return [
    ...rosterAdditions,
    ...jobs.awaitedEnds,
    ...jobs.otherEnds,
    ...jobs.progress,
    ...unsavedPages,
    ...deletions,
  ];
}

function collectJobWrites(cluster: ClusterState, budget: WriteBudget): JobWrites {
  const writes: JobWrites = {
    awaitedEnds: [],
    otherEnds: [],
    progress: [],
    changesLeft: budget.progressChanges,
  };
  for (const job of cluster.jobs.values()) {
    if (job.dependencyCancelled)
      addEnd(writes.otherEnds, () => new CascadedCancellationWrite(cluster, job));
    else if (job.isComplete) {
      const hasDependents = cluster.dependencies.hasDependents(job.spec.id);
      const ends = hasDependents ? writes.awaitedEnds : writes.otherEnds;
      addEnd(ends, () => new JobCompletionWrite(cluster, job, budget.wallNow));
    } else collectProgressWrites(cluster, job, writes);
  }
  return writes;
}

/** Adds the end of a job, unless the collection holds as many as it may. */
function addEnd(ends: DurableWrite[], createWrite: () => DurableWrite): void {
  if (ends.length < MAX_ENDS_PER_COLLECTION) ends.push(createWrite());
}

/** Collects writes of the job's unsaved chunks while the budget lasts. */
function collectProgressWrites(cluster: ClusterState, job: Job, writes: JobWrites): void {
  for (const [chunk, finishedAttempts] of job.unsavedChunks) {
    if (writes.changesLeft < 1) return;
    const write = createChunkWrite(cluster, job, chunk, finishedAttempts);
    if (!write) continue;
    writes.changesLeft--;
    writes.progress.push(write);
  }
}

/** Creates deletions of obsolete keys; a key stays listed until its deletion has been applied. */
function createKeyDeletions(cluster: ClusterState, budgetLeft: number): DurableWrite[] {
  const deletions: DurableWrite[] = [];
  let changesLeft = budgetLeft;
  for (const key of cluster.obsoleteKeys) {
    if (changesLeft < 1) break;
    changesLeft--;
    deletions.push(new KeyDeletionWrite(cluster, key));
  }
  return deletions;
}
