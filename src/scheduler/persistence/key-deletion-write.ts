/** Deletes obsolete keys of ended jobs. */

import type { Change, Condition } from '../../protocol/key-value-protocol.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { DurableWrite } from './durable-write.js';

/** Size of a deletion without its key. */
const DELETION_OVERHEAD_BYTES = 250;

/**
 * Deletes one key of an ended job. It needs no condition: the key belongs to that
 * job alone and an id is accepted only once, so a late copy is harmless.
 */
export class KeyDeletionWrite implements DurableWrite {
  readonly conditions: Condition[] = [];
  readonly changes: Change[];
  readonly sizeBytes: number;

  constructor(
    private readonly cluster: ClusterState,
    private readonly key: string,
  ) {
    this.changes = [{ op: 'delete', key }];
    this.sizeBytes = DELETION_OVERHEAD_BYTES + key.length;
  }

  /** Removes the key from the keys to be deleted. */
  applied(): void {
    this.cluster.obsoleteKeys.delete(this.key);
  }

  /** Does nothing: the write has no conditions that could fail. */
  conflict(): void {}

  /** Does nothing: the key is still listed, so its deletion will be among the pending writes again. */
  retry(): void {}
}
