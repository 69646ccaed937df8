/** Writes the finished tasks of live jobs, in chunks of a bitmap. */

import type { Change, Condition } from '../../protocol/key-value-protocol.js';
import { encodeFinishedTasks } from '../../records/finished-tasks-record.js';
import { liveJobKey } from '../../records/keys.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job, TaskAttempt } from '../state/task-attempt.js';
import type { DurableWrite } from './durable-write.js';

/** Size of a chunk's write without the bitmap and the job's id, which is in both keys. */
const CHUNK_OVERHEAD_BYTES = 500;

/** A chunk of a job's bitmap. */
export interface BitmapChunk {
  job: Job;
  chunk: number;
}

/**
 * Returns the chunks with finished tasks to write whose version in the state
 * service is unknown, because a write of them received no response or was in
 * conflict with the stored chunk. They are written once the version has been read.
 */
export function chunksWithUnknownVersion(cluster: ClusterState): BitmapChunk[] {
  const chunks: BitmapChunk[] = [];
  for (const job of cluster.jobs.values())
    for (const chunk of job.unsavedChunks.keys())
      if (job.chunkVersions.get(chunk) === null) chunks.push({ job, chunk });
  return chunks;
}

/**
 * Creates a write of all tasks of a chunk that are finished now. Returns null
 * while the version of the chunk is unknown. The chunk counts as saved until the
 * outcome of the write is known.
 */
export function createChunkWrite(
  cluster: ClusterState,
  job: Job,
  chunk: number,
  finishedAttempts: TaskAttempt[],
): DurableWrite | null {
  const version = job.chunkVersions.get(chunk);
  if (version === null) return null;
  const write = new BitmapChunkWrite(cluster, job, chunk, finishedAttempts, version ?? 0);
  job.unsavedChunks.delete(chunk);
  // A first write without a response may still create the key, which must be deleted with the job.
  job.chunkVersions.set(chunk, version ?? 0);
  return write;
}

/**
 * A write of a chunk that is conditional on its known version. Without this
 * condition, an older write that is applied late would remove finished tasks that
 * their agents were allowed to forget. The condition on the live job prevents a
 * late write from creating a key for a job that has ended.
 */
class BitmapChunkWrite implements DurableWrite {
  readonly conditions: Condition[];
  readonly changes: Change[];
  readonly sizeBytes: number;

  constructor(
    cluster: ClusterState,
    private readonly job: Job,
    private readonly chunk: number,
    /** Attempts that may be forgotten once their tasks are durably done. */
    private readonly finishedAttempts: TaskAttempt[],
    /** Version of the chunk that is replaced; 0 if it does not exist. */
    private readonly version: number,
  ) {
    const { id } = job.spec;
    const key = cluster.bitmaps.chunkKey(id, chunk);
    const value = encodeFinishedTasks(job.chunkBits(chunk, cluster.bitmaps.tasksPerChunk));
    this.conditions = [
      { key: liveJobKey(id), version: job.version },
      { key, version },
    ];
    this.changes = [{ op: 'put', key, value }];
    this.sizeBytes = CHUNK_OVERHEAD_BYTES + 2 * id.length + value.length;
  }

  applied(revision: number): void {
    this.job.chunkVersions.set(this.chunk, revision);
    this.allowForgetting();
  }

  /**
   * Allows the tasks to be forgotten if the job has ended, since its progress need
   * not be kept. Otherwise another version of the chunk exists and has to be read.
   */
  conflict(failedKeys: string[]): void {
    if (failedKeys.includes(liveJobKey(this.job.spec.id))) this.allowForgetting();
    else this.markUnsaved(null);
  }

  /** Marks the chunk as unsaved. If the write may have been applied, the stored version has to be read first. */
  retry(mayBeApplied: boolean): void {
    this.markUnsaved(mayBeApplied ? null : this.version);
  }

  private markUnsaved(version: number | null): void {
    const { job, chunk } = this;
    if (job.ended) {
      this.allowForgetting();
      return;
    }
    job.chunkVersions.set(chunk, version);
    // Further tasks of the chunk may have finished in the meantime.
    job.unsavedChunks.set(chunk, [
      ...this.finishedAttempts,
      ...(job.unsavedChunks.get(chunk) ?? []),
    ]);
  }

  private allowForgetting(): void {
    for (const attempt of this.finishedAttempts) attempt.mayBeForgotten = true;
  }
}
