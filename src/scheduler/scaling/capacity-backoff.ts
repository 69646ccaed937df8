/** Pools of which the cloud had no capacity, and for how long they are not asked for. */
import { machinePoolKey } from '../../model/machine.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Machine } from '../state/task-attempt.js';

/** The pause after a refusal doubles this often at most. */
const MAX_BACKOFF_DOUBLINGS = 2;
/** The boot time that the pause rests on when the type is no longer known, in seconds. */
const UNKNOWN_TYPE_BOOT_S = 30;

/** A pool of the cloud: machines of one type in one zone, ordinary or spot. */
export interface MachinePool {
  type: string;
  zone: string;
  spot: boolean;
}

interface Backoff {
  until: number;
  doublings: number;
}

/** Owns the back-offs of this term, by pool. */
export class CapacityBackoff {
  private readonly byPool = new Map<string, Backoff>();

  constructor(private readonly cluster: ClusterState) {}

  /** Whether the pool was refused a short while ago. */
  isBackedOff(poolKey: string, now: number): boolean {
    const backoff = this.byPool.get(poolKey);
    return backoff !== undefined && backoff.until > now;
  }

  /** The cloud provisioned fewer machines than asked for, or none: the pause doubles each time. */
  recordRefusal(pool: MachinePool, now: number): void {
    const key = machinePoolKey(pool.type, pool.zone, pool.spot);
    const earlier = this.byPool.get(key);
    const doublings = earlier ? Math.min(earlier.doublings + 1, MAX_BACKOFF_DOUBLINGS) : 0;
    const bootS = this.cluster.machineTypes.get(pool.type)?.bootS ?? UNKNOWN_TYPE_BOOT_S;
    this.byPool.set(key, {
      until: now + this.pauseMs(bootS) * 2 ** doublings,
      doublings,
    });
  }

  /** The cloud provisioned all that was asked for. */
  recordSuccess(pool: MachinePool): void {
    this.byPool.delete(machinePoolKey(pool.type, pool.zone, pool.spot));
  }

  /** A machine of the pool has terminated, so there may be capacity again: it is worth a try soon. */
  recordTermination(machine: Machine, now: number): void {
    const backoff = this.byPool.get(machinePoolKey(machine.typeName, machine.zone, machine.spot));
    if (!backoff || !machine.type) return;
    backoff.doublings = 0;
    backoff.until = Math.min(backoff.until, now + this.pauseMs(machine.type.bootS));
  }

  private pauseMs(bootS: number): number {
    return bootS * 1000 * this.cluster.policy.backoffBoots;
  }
}
