/**
 * Mapping of machine types, the machine list, provisioning and termination between the
 * cloud's wire format and the model. Only this file contains the field names on the wire.
 */
import type { ListedMachine, MachineType } from '../model/machine.js';
import {
  isAbsent,
  type JsonObject,
  MalformedMessageError,
  readAmount,
  readArray,
  readBoolean,
  readString,
  requireObject,
} from './json-fields.js';
import { PATHS } from './paths.js';

/** One page of the machine list. */
export interface MachineListPage {
  machines: ListedMachine[];
  /** Whether further pages follow, after the last machine of this one. */
  more: boolean;
}

/** A request to provision machines of one pool. */
export interface ProvisionRequest {
  /**
   * Name of the request. A request that is repeated under the same name provisions
   * nothing more.
   */
  name: string;
  /** Name of the machine type. */
  type: string;
  zone: string;
  /** Whether to provision spot machines. */
  spot: boolean;
  /** Number of machines to provision. */
  count: number;
}

/**
 * Parses the machine types on offer. A type without `accelerators` has no GPUs, and a
 * type without `spotPrice` has the on-demand price. Throws `MalformedMessageError`.
 */
export function parseMachineTypes(body: unknown): MachineType[] {
  return readArray(body, 'rigs').map(parseMachineType);
}

function parseMachineType(value: unknown): MachineType {
  const fields = requireObject(value, 'machine type is not an object');
  return {
    name: readString(fields, 'sku'),
    cpus: readAmount(fields, 'cores'),
    gpus: isAbsent(fields.accelerators) ? 0 : readAmount(fields, 'accelerators'),
    memoryGb: readAmount(fields, 'memoryGb'),
    imageCacheGb: readAmount(fields, 'cacheGb'),
    imagePullGbPerS: readAmount(fields, 'pullGbPerS', true),
    price: readAmount(fields, 'rate'),
    spotPrice: isAbsent(fields.spotPrice)
      ? readAmount(fields, 'rate')
      : readAmount(fields, 'spotPrice'),
    bootS: readAmount(fields, 'readyS'),
    zones: readArray(fields, 'halls').map(String),
  };
}

/**
 * Returns the target of one page: up to `limit` machines with ids after `after`, or the
 * first ones if it is null.
 */
export function machineListTarget(after: string | null, limit: number): string {
  const afterParameter = after === null ? '' : `after=${encodeURIComponent(after)}&`;
  return `${PATHS.machines}?${afterParameter}limit=${limit}`;
}

/** Parses a page of the machine list. Throws `MalformedMessageError`. */
export function parseMachineList(body: unknown): MachineListPage {
  const machines = readArray(body, 'carts').map(parseListedMachine);
  return { machines, more: (body as JsonObject).hasNext === true };
}

function parseListedMachine(value: unknown): ListedMachine {
  const fields = requireObject(value, 'machine is not an object');
  const state = fields.standing;
  if (state !== 'booting' && state !== 'running' && state !== 'failed')
    throw new MalformedMessageError('machine state');
  return {
    id: readString(fields, 'id'),
    address: typeof fields.endpoint === 'string' ? fields.endpoint : '',
    type: readString(fields, 'rig'),
    zone: readString(fields, 'hall'),
    spot: readBoolean(fields, 'loaner'),
    state,
    ageS: isAbsent(fields.ageS) ? 0 : readAmount(fields, 'ageS'),
  };
}

/** Returns the body of a provisioning request. */
export function provisionBody(request: ProvisionRequest): JsonObject {
  return {
    hire: request.name,
    rig: request.type,
    hall: request.zone,
    loaner: request.spot,
    count: request.count,
  };
}

/**
 * Returns the ids of the provisioned machines and skips items that are not strings.
 * Throws `MalformedMessageError`.
 */
export function parseProvisioned(body: unknown): string[] {
  return readArray(body, 'carts').filter((id): id is string => typeof id === 'string');
}

/** Returns the body of a termination request for the machines with these ids. */
export function terminationBody(machines: string[]): JsonObject {
  return { carts: machines };
}
