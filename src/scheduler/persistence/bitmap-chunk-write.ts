/** Finished tasks of live jobs, by chunks of a bitmap. */

import type { Change, Condition } from '../../protocol/key-value-protocol.js';
import { encodeFinishedTasks } from '../../records/finished-tasks-record.js';
import { liveJobKey } from '../../records/keys.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job, TaskAttempt } from '../state/task-attempt.js';
import type { DurableWrite } from './durable-write.js';

/** Bytes of a chunk's write without the job's id, which is in both keys, and the bitmap. */
const CHUNK_BYTES = 500;

/** A chunk of a job's bitmap. */
export interface BitmapChunk {
  job: Job;
  chunk: number;
}

/**
 * Chunks with finished tasks to write whose version in the state service is
 * not known, since a write of them had no answer. They are written once it has
 * been read.
 */
export function chunksOfUnknownVersion(cluster: ClusterState): BitmapChunk[] {
  const chunks: BitmapChunk[] = [];
  for (const job of cluster.jobs.values())
    for (const chunk of job.unsavedChunks.keys())
      if (job.chunkVersions.get(chunk) === null) chunks.push({ job, chunk });
  return chunks;
}

/**
 * Writes all finished tasks of a chunk as they are now; null while the version
 * of the chunk is not known. The chunk counts as saved until the outcome of
 * the write is known.
 */
export function takeChunkWrite(
  cluster: ClusterState,
  job: Job,
  chunk: number,
  finished: TaskAttempt[],
): DurableWrite | null {
  const version = job.chunkVersions.get(chunk);
  if (version === null) return null;
  const write = new BitmapChunkWrite(cluster, job, chunk, finished, version ?? 0);
  job.unsavedChunks.delete(chunk);
  // A first write that gets no answer may still leave a key, which has to be deleted with the job.
  job.chunkVersions.set(chunk, version ?? 0);
  return write;
}

/**
 * One write of a chunk, over the version that is known of it: without that a
 * late copy of an older write would take finished tasks back that their agents
 * have been told to forget. The condition on the live job keeps a late copy
 * from leaving a key behind for a job that has ended.
 */
class BitmapChunkWrite implements DurableWrite {
  readonly conditions: Condition[];
  readonly changes: Change[];
  readonly size: number;

  constructor(
    cluster: ClusterState,
    private readonly job: Job,
    private readonly chunk: number,
    /** Attempts that may be forgotten once their tasks are durably done. */
    private readonly finished: TaskAttempt[],
    /** Version of the chunk over which it is written; 0: it does not exist. */
    private readonly version: number,
  ) {
    const { id } = job.spec;
    const key = cluster.bitmaps.key(id, chunk);
    const value = encodeFinishedTasks(job.chunkBits(chunk, cluster.bitmaps.tasksPerChunk));
    this.conditions = [
      { key: liveJobKey(id), version: job.version },
      { key, version },
    ];
    this.changes = [{ op: 'put', key, value }];
    this.size = CHUNK_BYTES + 2 * id.length + value.length;
  }

  applied(revision: number): void {
    this.job.chunkVersions.set(this.chunk, revision);
    this.letForget();
  }

  /** The job has ended, and its progress need not be kept, or another version of the chunk exists. */
  conflict(failedKeys: string[]): void {
    if (failedKeys.includes(liveJobKey(this.job.spec.id))) this.letForget();
    else this.markUnsaved(null);
  }

  /** Unless it was never sent, the version that exists now has to be read first. */
  retry(mayBeApplied: boolean): void {
    this.markUnsaved(mayBeApplied ? null : this.version);
  }

  private markUnsaved(version: number | null): void {
    const { job, chunk } = this;
    if (job.ended) {
      this.letForget();
      return;
    }
    job.chunkVersions.set(chunk, version);
    // Further tasks of the chunk may have finished meanwhile.
    job.unsavedChunks.set(chunk, [...this.finished, ...(job.unsavedChunks.get(chunk) ?? [])]);
  }

  private letForget(): void {
    for (const attempt of this.finished) attempt.mayBeForgotten = true;
  }
}
