/** The score step: which of the feasible machines suits a batch best. */
import type { MachineType } from '../../model/machine.js';
import type { SchedulerPolicy } from '../../model/policy.js';
import { EPSILON } from '../../model/resources.js';
import type { Batch } from '../state/batch.js';
import type { Machine } from '../state/task-attempt.js';

/** Scores machines by the operators' weights; what it is built from stays the same throughout a round. */
export class MachineScorer {
  private readonly scaleInPenalty: number;

  constructor(
    private readonly weights: SchedulerPolicy['weights'],
    /** The price of the most expensive machine, to which all others are compared. */
    private readonly highestPrice: number,
  ) {
    // More than all the rest together can be worth.
    this.scaleInPenalty = weights.throughput + weights.cost + weights.locality + 1;
  }

  /**
   * The candidate with the highest score for the `unplaced` tasks of the batch,
   * among equals the one most utilized; null when none has a free slot.
   */
  highestScoring(batch: Batch, candidates: Machine[], unplaced: number): Machine | null {
    let best: Machine | null = null;
    let highest = Number.NEGATIVE_INFINITY;
    for (const machine of candidates) {
      const slots = machine.freeSlots(batch.spec);
      if (slots === 0) continue;
      const score = this.score(batch, machine, slots, unplaced);
      if (
        score > highest + EPSILON ||
        (score > highest - EPSILON && best && machine.utilization > best.utilization)
      ) {
        highest = Math.max(highest, score);
        best = machine;
      }
    }
    return best;
  }

  /**
   * The share of the unplaced tasks that the machine takes now, less its price,
   * plus a bonus for a cached image. A scale-in candidate comes after all
   * others, so that it empties and can be terminated.
   */
  private score(batch: Batch, machine: Machine, slots: number, unplaced: number): number {
    const { throughput, cost, locality } = this.weights;
    return (
      (throughput * Math.min(slots, unplaced)) / unplaced -
      (this.highestPrice > 0 ? (cost * machine.price) / this.highestPrice : 0) +
      (machine.images.has(batch.spec.image) ? locality : 0) -
      (machine.scaleInCandidate ? this.scaleInPenalty : 0)
    );
  }
}

/** The highest price of any machine type, ordinary or spot. */
export function highestPrice(types: ReadonlyMap<string, MachineType>): number {
  let highest = 0;
  for (const type of types.values()) highest = Math.max(highest, type.price, type.spotPrice);
  return highest;
}
