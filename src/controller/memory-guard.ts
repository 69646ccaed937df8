import { getHeapStatistics } from 'node:v8';
import { sleepUntilAborted } from '../runtime/clock.js';
import type { ControllerContext } from './context.js';

/** A part of the memory that is in use, of the platform's limit or the engine's, whichever is nearer. */
export type MemoryMeter = () => number;

/** From this part on no new jobs are taken. */
const SHORT_FROM = 0.9;
/** Below this part they are taken again. */
const ENOUGH_BELOW = 0.8;
/** Looks in a row that have to show it: what the next collection frees is counted as used. */
const SHORT_LOOKS = 2;
const MIB = 1024 * 1024;

/** Measures this process against its memory limit and the engine's limit on the heap. */
export function processMemory(limitMb: number): MemoryMeter {
  return () => {
    const heap = getHeapStatistics();
    const resident = process.memoryUsage.rss() / (limitMb * MIB);
    return Math.max(resident, heap.used_heap_size / heap.heap_size_limit);
  };
}

/**
 * Watches how much memory is left. A deployment whose setting is too small
 * for its fleet or backlog takes no new jobs while it is short, instead of
 * being ended by the platform in the middle of everything.
 */
export class MemoryGuard {
  /** New jobs are to be put off. */
  isShort = false;
  private logged = false;
  private shortLooks = 0;

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'timing' | 'log'>,
    private readonly usedShare: MemoryMeter,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const { clock, timing } = this.ctx;
    while (!signal.aborted) {
      this.check();
      await sleepUntilAborted(clock, timing.heartbeatMs, signal);
    }
  }

  private check(): void {
    const share = this.usedShare();
    const isOver = share >= (this.isShort ? ENOUGH_BELOW : SHORT_FROM);
    this.shortLooks = isOver ? this.shortLooks + 1 : 0;
    this.isShort = this.isShort ? isOver : this.shortLooks >= SHORT_LOOKS;
    if (!this.isShort || this.logged) return;
    this.logged = true;
    this.ctx.log.error(
      { usedShare: Math.round(share * 100) / 100 },
      'memory is short: quota.memory_mb or the heap limit is too small for this fleet; no new jobs are taken meanwhile',
    );
  }
}
