/** The score step: selects the feasible machine that suits a batch best. */
import type { MachineType } from '../../model/machine.js';
import type { SchedulerPolicy } from '../../model/policy.js';
import { EPSILON } from '../../model/resources.js';
import type { Batch } from '../state/batch.js';
import type { Machine } from '../state/task-attempt.js';

/** Scores machines by the weights of the operators' policy. Created anew for each round. */
export class MachineScorer {
  private readonly scaleInPenalty: number;

  constructor(
    private readonly weights: SchedulerPolicy['weights'],
    /** The highest price of any machine type, by which prices are normalized. */
    private readonly highestPrice: number,
  ) {
    // Exceeds the largest possible difference between the other terms of the score.
    this.scaleInPenalty = weights.throughput + weights.cost + weights.locality + 1;
  }

  /**
   * Returns the candidate with the highest score for `unplaced` tasks of the
   * batch, the most utilized one among equals. Returns null if no candidate has a
   * free slot.
   */
  highestScoring(batch: Batch, candidates: Machine[], unplaced: number): Machine | null {
    let best: Machine | null = null;
    let highestScore = Number.NEGATIVE_INFINITY;
    for (const machine of candidates) {
      const slots = machine.freeSlots(batch.spec);
      if (slots === 0) continue;
      const score = this.score(batch, machine, slots, unplaced);
      if (
        score > highestScore + EPSILON ||
        (score > highestScore - EPSILON && best && machine.utilization > best.utilization)
      ) {
        highestScore = Math.max(highestScore, score);
        best = machine;
      }
    }
    return best;
  }

  /**
   * Returns the weighted share of the unplaced tasks that fit the machine now,
   * minus its normalized price, plus a bonus for a cached image. Scale-in
   * candidates rank after all other machines, so that they become empty and can
   * be terminated.
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

/** Returns the highest price of any machine type, on-demand or spot. */
export function highestPrice(types: ReadonlyMap<string, MachineType>): number {
  let highest = 0;
  for (const type of types.values()) highest = Math.max(highest, type.price, type.spotPrice);
  return highest;
}
