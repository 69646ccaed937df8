/** How long machines usually take to boot. */
import type { MachineType } from '../../model/machine.js';
import type { Machine } from '../state/task-attempt.js';

/** A guess for a machine whose type is not known, in seconds. */
const UNKNOWN_TYPE_BOOT_S = 60;

/** The longest usual boot of the types, in seconds; at least 1. */
export function longestBootS(types: ReadonlyMap<string, MachineType>): number {
  let longest = 1;
  for (const type of types.values()) longest = Math.max(longest, type.bootS);
  return longest;
}

/** How long machines of this one's type usually take to boot. */
export function usualBootMs(machine: Machine): number {
  return (machine.type?.bootS ?? UNKNOWN_TYPE_BOOT_S) * 1000;
}
