/** Expected boot times of machines. */
import type { MachineType } from '../../model/machine.js';
import type { Machine } from '../state/task-attempt.js';

/** Assumed boot time of a machine whose type is not known, in seconds. */
const UNKNOWN_TYPE_BOOT_S = 60;

/** Returns the longest boot time of the types, in seconds, at least 1. */
export function longestBootS(types: ReadonlyMap<string, MachineType>): number {
  let longest = 1;
  for (const type of types.values()) longest = Math.max(longest, type.bootS);
  return longest;
}

/** Returns the expected boot time of the machine, in milliseconds. */
export function expectedBootMs(machine: Machine): number {
  return (machine.type?.bootS ?? UNKNOWN_TYPE_BOOT_S) * 1000;
}
