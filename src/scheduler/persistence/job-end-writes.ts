/**
 * Ends of jobs: completions, and cancellations that follow from the
 * cancellation of a dependency.
 *
 * Both create the record of the ended job and delete that of the live one, on
 * the condition that the live record is the one that was accepted. An end is
 * never rewritten, and an id is never accepted twice: a late copy fails,
 * since the live record is gone.
 */

import type { JobEnd } from '../../model/job.js';
import type { Change, Condition } from '../../protocol/key-value-protocol.js';
import { encodeJobEnd } from '../../records/job-end-record.js';
import { endedJobKey, liveJobKey } from '../../records/keys.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job } from '../state/task-attempt.js';
import type { DurableWrite } from './durable-write.js';

/** Bytes of a job's end without its id, which is in both keys. */
const END_BYTES = 400;

/** Moves a job to the ended ones. Nothing changes here before it is known to be durable. */
abstract class JobEndWrite implements DurableWrite {
  readonly conditions: Condition[];
  readonly changes: Change[];
  readonly size: number;

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
    this.size = END_BYTES + 2 * id.length;
  }

  /** The job leaves the live ones, and what runs of it is stopped. */
  applied(): void {
    this.cluster.endJob(this.job.spec.id, this.end);
  }

  abstract conflict(): void;

  /** The job is still here, and its end will be among the pending writes again. */
  retry(): void {}
}

/** All tasks of the job are done. */
export class JobCompletionWrite extends JobEndWrite {
  /** `wallNow`: the time of day that is recorded as that of its end, in milliseconds. */
  constructor(cluster: ClusterState, job: Job, wallNow: number) {
    super(cluster, job, { state: 'done', at: wallNow });
  }

  /** Its live record is gone, so it has an end already, which may be a cancellation. */
  conflict(): void {
    this.cluster.endJob(this.job.spec.id, null);
  }
}

/**
 * A dependency of the job was cancelled, so it is cancelled too. It has never
 * been ready, so whoever has ended it meanwhile has cancelled it as well.
 */
export class CascadedCancellationWrite extends JobEndWrite {
  constructor(cluster: ClusterState, job: Job) {
    super(cluster, job, { state: 'cancelled', at: null });
  }

  /** Its live record is gone, which only its cancellation can have done. */
  conflict(): void {
    this.applied();
  }
}
