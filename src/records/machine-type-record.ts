/**
 * The machine types that the cloud offers.
 *
 * - Keys: `types` holds a list.
 * - Access: The leader writes it when more than prices has changed. A controller reads it
 *   at start, and a new leader on failover, so that both work while the cloud is
 *   unreachable.
 * - Absence: The key is absent until the first leader has read the types from the cloud. A
 *   list that exceeds the limit on a value is not stored.
 * - Versions: All versions write all fields.
 */

import type { MachineType } from '../model/machine.js';
import { isObject } from '../protocol/json-fields.js';
import { mapIfObject } from './stored-form.js';

/** The stored form of `MachineType`, with the fields in the same order and with the same units. */
export interface StoredMachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** `imageCacheGb`. */
  cacheGb: number;
  /** `imagePullGbPerS`. */
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

/** Returns the stored form of one machine type. */
export function encodeMachineType(type: MachineType): StoredMachineType {
  return {
    name: type.name,
    cpus: type.cpus,
    gpus: type.gpus,
    memoryGb: type.memoryGb,
    cacheGb: type.imageCacheGb,
    fetchGbPerS: type.imagePullGbPerS,
    price: type.price,
    spotPrice: type.spotPrice,
    bootS: type.bootS,
    zones: type.zones,
  };
}

/**
 * Returns null when the value is not an object. A missing field is undefined in the
 * machine type.
 */
export function decodeMachineType(value: unknown): MachineType | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredMachineType;
  return {
    name: stored.name,
    cpus: stored.cpus,
    gpus: stored.gpus,
    memoryGb: stored.memoryGb,
    imageCacheGb: stored.cacheGb,
    imagePullGbPerS: stored.fetchGbPerS,
    price: stored.price,
    spotPrice: stored.spotPrice,
    bootS: stored.bootS,
    zones: stored.zones,
  };
}

/** Returns the stored form of the list, in the same order. */
export function encodeMachineTypes(types: readonly MachineType[]): StoredMachineType[] {
  return types.map(encodeMachineType);
}

/**
 * Returns the stored list unchanged, including fields of other versions, for a
 * comparison with the list to be written. Returns null when the value is not a list.
 * The items are not checked.
 */
export function storedMachineTypes(value: unknown): StoredMachineType[] | null {
  return Array.isArray(value) ? value : null;
}

/**
 * Returns null when the value is not a list. An item that is not an object is returned
 * unchanged.
 */
export function decodeMachineTypes(value: unknown): MachineType[] | null {
  return storedMachineTypes(value)?.map((type) => mapIfObject(type, decodeMachineType)) ?? null;
}
