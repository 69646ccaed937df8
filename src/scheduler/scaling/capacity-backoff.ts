/** Back-off from pools for which the cloud had no capacity. */
import { machinePoolKey } from '../../model/machine.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Machine } from '../state/task-attempt.js';

/** The delay after a refusal doubles at most this many times. */
const MAX_BACKOFF_DOUBLINGS = 2;
/** Boot time, in seconds, from which the delay is derived when the type is no longer known. */
const UNKNOWN_TYPE_BACKOFF_BOOT_S = 30;

/** A pool of the cloud: the on-demand or the spot machines of one type in one zone. */
export interface MachinePool {
  type: string;
  zone: string;
  spot: boolean;
}

interface Backoff {
  /** End of the delay, in milliseconds on the monotonic clock. */
  until: number;
  doublings: number;
}

/** Tracks the back-offs of this leader term, by pool. */
export class CapacityBackoff {
  private readonly byPool = new Map<string, Backoff>();

  constructor(private readonly cluster: ClusterState) {}

  /** Reports whether the delay after the latest refusal for the pool is still running. */
  isBackedOff(poolKey: string, now: number): boolean {
    const backoff = this.byPool.get(poolKey);
    return backoff !== undefined && backoff.until > now;
  }

  /**
   * Called when the cloud provisioned fewer machines than requested, or none. Each
   * further refusal doubles the delay, up to `MAX_BACKOFF_DOUBLINGS` times.
   */
  recordRefusal(pool: MachinePool, now: number): void {
    const key = machinePoolKey(pool.type, pool.zone, pool.spot);
    const previous = this.byPool.get(key);
    const doublings = previous ? Math.min(previous.doublings + 1, MAX_BACKOFF_DOUBLINGS) : 0;
    const bootS = this.cluster.machineTypes.get(pool.type)?.bootS ?? UNKNOWN_TYPE_BACKOFF_BOOT_S;
    this.byPool.set(key, {
      until: now + this.initialDelayMs(bootS) * 2 ** doublings,
      doublings,
    });
  }

  /** Called when the cloud provisioned all requested machines. Ends the back-off. */
  recordSuccess(pool: MachinePool): void {
    this.byPool.delete(machinePoolKey(pool.type, pool.zone, pool.spot));
  }

  /**
   * Called when a machine has terminated. Its pool may have capacity again, so a
   * back-off of the pool is shortened to the initial delay.
   */
  recordTermination(machine: Machine, now: number): void {
    const backoff = this.byPool.get(machinePoolKey(machine.typeName, machine.zone, machine.spot));
    if (!backoff || !machine.type) return;
    backoff.doublings = 0;
    backoff.until = Math.min(backoff.until, now + this.initialDelayMs(machine.type.bootS));
  }

  private initialDelayMs(bootS: number): number {
    return bootS * 1000 * this.cluster.policy.backoffBoots;
  }
}
