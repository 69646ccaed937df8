/** Detects when memory is low, so that new jobs are refused. */
import { getHeapStatistics } from 'node:v8';
import { sleepUntilAborted } from '../runtime/clock.js';
import type { ControllerContext } from './context.js';

/**
 * Returns the share in use, 0 to 1, of the platform's memory limit or of the heap
 * limit, whichever share is higher.
 */
export type MemoryMeter = () => number;

/** Memory is low from this share on, and new jobs are refused. */
const LOW_MEMORY_SHARE = 0.9;
/** New jobs are accepted again below this share. */
const RECOVERED_SHARE = 0.8;
/** Consecutive checks that must find memory low: memory that the next garbage collection frees counts as used. */
const LOW_MEMORY_CHECKS = 2;
const MIB = 1024 * 1024;

/**
 * Creates a meter of this process's memory against `limitMb`, in MiB, and of its
 * heap against the heap limit of the engine.
 */
export function createProcessMemoryMeter(limitMb: number): MemoryMeter {
  return () => {
    const heap = getHeapStatistics();
    const resident = process.memoryUsage.rss() / (limitMb * MIB);
    return Math.max(resident, heap.used_heap_size / heap.heap_size_limit);
  };
}

/**
 * Checks the memory in use every heartbeat interval, so that new jobs are
 * refused while memory is low. Otherwise the platform would kill a controller
 * whose memory setting is too small for its fleet or backlog, along with all
 * its other work.
 */
export class MemoryGuard {
  /** Whether memory is low, so that new jobs are refused. */
  isLow = false;
  private lowMemoryLogged = false;
  private consecutiveHighChecks = 0;

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'timing' | 'log'>,
    private readonly measureUsedShare: MemoryMeter,
  ) {}

  /** Checks memory periodically until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, timing } = this.ctx;
    while (!signal.aborted) {
      this.check();
      await sleepUntilAborted(clock, timing.heartbeatMs, signal);
    }
  }

  private check(): void {
    const share = this.measureUsedShare();
    const isHigh = share >= (this.isLow ? RECOVERED_SHARE : LOW_MEMORY_SHARE);
    this.consecutiveHighChecks = isHigh ? this.consecutiveHighChecks + 1 : 0;
    this.isLow = this.isLow ? isHigh : this.consecutiveHighChecks >= LOW_MEMORY_CHECKS;
    if (!this.isLow || this.lowMemoryLogged) return;
    this.lowMemoryLogged = true;
    this.ctx.log.error(
      { usedShare: Math.round(share * 100) / 100 },
      'memory low: quota.memory_mb or the heap limit is too small for this fleet; no new jobs are accepted meanwhile',
    );
  }
}
