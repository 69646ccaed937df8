/** The batches for which a placement round found no machine. */
import type { Batch, BatchKind } from './batch.js';

/** Waiting batches in the order of the ready queue, with one batch of each kind. */
export class UnplacedBatches {
  private readonly batches: Batch[] = [];
  private readonly firstOfKind = new Map<BatchKind, Batch>();

  /** Adds a batch after all others. */
  add(batch: Batch): void {
    this.batches.push(batch);
    if (!this.firstOfKind.has(batch.kind)) this.firstOfKind.set(batch.kind, batch);
  }

  get length(): number {
    return this.batches.length;
  }

  [Symbol.iterator](): Iterator<Batch> {
    return this.batches[Symbol.iterator]();
  }

  /** Returns the first batch of each kind. */
  oneOfEachKind(): Iterable<Batch> {
    return this.firstOfKind.values();
  }
}
