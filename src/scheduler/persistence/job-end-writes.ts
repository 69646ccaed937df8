/**
 * Writes the ends of jobs: completions, and cancellations that follow from the
 * cancellation of a dependency.
 *
 * Both create the end record of the job and delete the live record, on the
 * condition that the live record is the one that was accepted. An end is never
 * rewritten and an id is never accepted twice, so a late copy fails because the
 * live record no longer exists.
 */

import type { JobEnd } from '../../model/job.js';
import type { Change, Condition } from '../../protocol/key-value-protocol.js';
import { encodeJobEnd } from '../../records/job-end-record.js';
import { endedJobKey, liveJobKey } from '../../records/keys.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job } from '../state/task-attempt.js';
import type { DurableWrite } from './durable-write.js';

/** Size of the write of a job's end without its id, which is in both keys. */
const END_OVERHEAD_BYTES = 400;

/** Moves a job to the ended jobs. The cluster state changes only after the end is durable. */
abstract class JobEndWrite implements DurableWrite {
  readonly conditions: Condition[];
  readonly changes: Change[];
  readonly sizeBytes: number;

  constructor(
    protected readonly cluster: ClusterState,
    protected readonly job: Job,
    protected readonly end: JobEnd,
  ) {
    const { id, tasks } = job.spec;
    this.conditions = [{ key: liveJobKey(id), version: job.version }];
    this.changes = [
      { op: 'put', key: endedJobKey(id), value: encodeJobEnd(end, tasks) },
      { op: 'delete', key: liveJobKey(id) },
    ];
    this.sizeBytes = END_OVERHEAD_BYTES + 2 * id.length;
  }

  /** Removes the job from the live jobs and stops its running tasks. */
  applied(): void {
    this.cluster.endJob(this.job.spec.id, this.end);
  }

  abstract conflict(): void;

  /** Does nothing: the job is still live, so its end will be among the pending writes again. */
  retry(): void {}
}

/** Ends a job whose tasks are all done. */
export class JobCompletionWrite extends JobEndWrite {
  /** `wallNow` is the wall-clock time that is recorded for the end, in milliseconds. */
  constructor(cluster: ClusterState, job: Job, wallNow: number) {
    super(cluster, job, { state: 'done', at: wallNow });
  }

  /** Handles a missing live record: the job already has an end, which may be a cancellation. */
  conflict(): void {
    this.cluster.endJob(this.job.spec.id, null);
  }
}

/**
 * Cancels a job because a dependency of it was cancelled. The job was never
 * ready, so if it has ended in the meantime, it was cancelled as well.
 */
export class CascadedCancellationWrite extends JobEndWrite {
  constructor(cluster: ClusterState, job: Job) {
    super(cluster, job, { state: 'cancelled', at: null });
  }

  /** Handles a missing live record, which only a cancellation of the job can have removed. */
  conflict(): void {
    this.applied();
  }
}
