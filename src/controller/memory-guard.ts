/** Refuses new jobs while memory is low. */
import { getHeapStatistics } from 'node:v8';
import { sleepUntilAborted } from '../runtime/clock.js';
import type { ControllerContext } from './context.js';

/** The share of memory in use (0 to 1), of the platform's limit or the engine's, whichever is nearer. */
export type MemoryMeter = () => number;

/** From this share on no new jobs are accepted. */
const SHORT_FROM = 0.9;
/** Below this share they are accepted again. */
const ENOUGH_BELOW = 0.8;
/** Checks in a row that have to show it: what the next garbage collection frees counts as used. */
const SHORT_CHECKS = 2;
const MIB = 1024 * 1024;

/** Measures this process against its memory limit, in MiB, and the engine's limit on the heap. */
export function processMemory(limitMb: number): MemoryMeter {
  return () => {
    const heap = getHeapStatistics();
    const resident = process.memoryUsage.rss() / (limitMb * MIB);
    return Math.max(resident, heap.used_heap_size / heap.heap_size_limit);
  };
}

/**
 * Checks the memory in use every heartbeat interval. A deployment whose
 * setting is too small for its fleet or backlog accepts no new jobs while
 * memory is low, instead of being killed by the platform with everything that
 * it does.
 */
export class MemoryGuard {
  /** Memory is low: new jobs are refused for now. */
  isLow = false;
  private logged = false;
  private shortChecks = 0;

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'timing' | 'log'>,
    private readonly usedShare: MemoryMeter,
  ) {}

  /** Checks until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, timing } = this.ctx;
    while (!signal.aborted) {
      this.check();
      await sleepUntilAborted(clock, timing.heartbeatMs, signal);
    }
  }

  private check(): void {
    const share = this.usedShare();
    const isOver = share >= (this.isLow ? ENOUGH_BELOW : SHORT_FROM);
    this.shortChecks = isOver ? this.shortChecks + 1 : 0;
    this.isLow = this.isLow ? isOver : this.shortChecks >= SHORT_CHECKS;
    if (!this.isLow || this.logged) return;
    this.logged = true;
    this.ctx.log.error(
      { usedShare: Math.round(share * 100) / 100 },
      'memory low: quota.memory_mb or the heap limit is too small for this fleet; no new jobs are accepted meanwhile',
    );
  }
}
