/**
 * The cloud's machine types.
 *
 * Keys: `types`, a list.
 * Written: by the leader, when more than prices has changed. Read: by
 * controllers that start while the cloud is unreachable.
 * Absent: the key, before the first leader has seen the cloud's list.
 * Versions: all write all fields.
 */

import type { MachineType } from '../model/machine.js';
import { isObject } from '../protocol/json-fields.js';
import { mapIfObject } from './stored-form.js';

/** A machine type as it is stored. */
export interface StoredMachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

/** One machine type. */
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

/** Null: it is no object. */
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

/** The list, in the cloud's order. */
export function encodeMachineTypes(types: readonly MachineType[]): StoredMachineType[] {
  return types.map(encodeMachineType);
}

/**
 * The list as it is stored, with whatever another version has put into it, to
 * compare it with what would be written; null: it is no list.
 */
export function storedMachineTypes(value: unknown): StoredMachineType[] | null {
  return Array.isArray(value) ? value : null;
}

/** Null: it is no list. */
export function decodeMachineTypes(value: unknown): MachineType[] | null {
  return storedMachineTypes(value)?.map((type) => mapIfObject(type, decodeMachineType)) ?? null;
}
