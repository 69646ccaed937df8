/** Machines and machine types of the cloud. */

/** A machine type that the cloud offers. */
export interface MachineType {
  name: string;
  /** CPU cores of a machine. */
  cpus: number;
  /** GPUs of a machine. */
  gpus: number;
  /** Memory of a machine, in GB. */
  memoryGb: number;
  /** Size of the image cache of a machine, in GB. */
  imageCacheGb: number;
  /** Rate at which a machine pulls images, in GB per second. */
  imagePullGbPerS: number;
  /** Price of an on-demand machine per unit of time. */
  price: number;
  /** Price per unit of time of a spot machine, which the cloud may preempt after a notice. */
  spotPrice: number;
  /** Expected time from the provisioning request to the first heartbeat, in seconds. */
  bootS: number;
  /** Zones in which the type is offered. */
  zones: string[];
}

/** A machine in the cloud's list. */
export interface ListedMachine {
  id: string;
  /** Address of the agent, as `host:port`. Empty while it is not known. */
  address: string;
  /** Name of the machine type. */
  type: string;
  zone: string;
  /** Whether the machine is a spot machine. */
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Seconds since the machine was requested. 0 if the cloud does not state it. */
  ageS: number;
}

/**
 * A machine in the durable roster, which contains all machines that tasks may have been
 * assigned to.
 */
export interface RosterEntry {
  id: string;
  /** Name of the machine type. */
  type: string;
  zone: string;
  /** Whether the machine is a spot machine. */
  spot: boolean;
  /** Address of the agent, as `host:port`. Empty if the record of an earlier version lacks it. */
  address: string;
}

/**
 * Returns the key of a machine pool: the on-demand or the spot machines of one type in
 * one zone.
 */
export function machinePoolKey(type: string, zone: string, spot: boolean): string {
  return `${type}|${zone}|${spot}`;
}
