/** Deletion of keys that ended jobs have left. */

import type { Change, Condition } from '../../protocol/key-value-protocol.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { DurableWrite } from './durable-write.js';

/** Bytes of a deletion without its key. */
const DELETION_BYTES = 250;

/**
 * Deletes one key of an ended job. It has no condition: the key belongs to
 * that job alone, and an id is accepted once, so a late copy is harmless.
 */
export class KeyDeletionWrite implements DurableWrite {
  readonly conditions: Condition[] = [];
  readonly changes: Change[];
  readonly size: number;

  constructor(
    private readonly cluster: ClusterState,
    private readonly key: string,
  ) {
    this.changes = [{ op: 'delete', key }];
    this.size = DELETION_BYTES + key.length;
  }

  /** The key need not be remembered any more. */
  applied(): void {
    this.cluster.obsoleteKeys.delete(this.key);
  }

  /** It has no conditions that could fail. */
  conflict(): void {}

  /** The key is still listed, and its deletion will be among the pending writes again. */
  retry(): void {}
}
