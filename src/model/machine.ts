/** Machines as the cloud offers, lists and names them. */

/** A machine type of the cloud. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Size of the cache for images, in GB. */
  imageCacheGb: number;
  imagePullGbPerS: number;
  /** Price of an on-demand machine for a unit of time. */
  price: number;
  /** The same for a spot machine, which the cloud may preempt after a notice. */
  spotPrice: number;
  /** Usual time from the request to the first heartbeat, in seconds. */
  bootS: number;
  zones: string[];
}

/** A machine in the cloud's list. */
export interface ListedMachine {
  id: string;
  /** Empty while it is not known. */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Seconds since it was requested. */
  ageS: number;
}

/** A machine that may have been given tasks, as the durable roster keeps it. */
export interface RosterEntry {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  address: string;
}

/** Names a pool of the cloud: machines of one type in one zone, on-demand or spot. */
export function machinePoolKey(type: string, zone: string, spot: boolean): string {
  return `${type}|${zone}|${spot}`;
}
