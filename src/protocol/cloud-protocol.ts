/**
 * Machine types, the machine list, provisioning and termination as the cloud
 * writes and reads them. The field names on the wire appear here only.
 */
import type { ListedMachine, MachineType } from '../model/machine.js';
import {
  amount,
  flag,
  isAbsent,
  type JsonObject,
  list,
  MalformedMessageError,
  requireObject,
  text,
} from './json-fields.js';
import { PATHS } from './paths.js';

/** One page of the machine list. */
export interface MachineListPage {
  machines: ListedMachine[];
  /** Further pages follow, after the last machine of this one. */
  more: boolean;
}

/** Machines of one kind to be provisioned under a name that makes the request idempotent. */
export interface ProvisionRequest {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Throws `MalformedMessageError`. */
export function parseMachineTypes(body: unknown): MachineType[] {
  return list(body, 'rigs').map(parseMachineType);
}

function parseMachineType(value: unknown): MachineType {
  const fields = requireObject(value, 'machine type is not an object');
  return {
    name: text(fields, 'sku'),
    cpus: amount(fields, 'cores'),
    gpus: isAbsent(fields.accelerators) ? 0 : amount(fields, 'accelerators'),
    memoryGb: amount(fields, 'memoryGb'),
    imageCacheGb: amount(fields, 'cacheGb'),
    imagePullGbPerS: amount(fields, 'pullGbPerS', true),
    price: amount(fields, 'rate'),
    spotPrice: isAbsent(fields.spotPrice) ? amount(fields, 'rate') : amount(fields, 'spotPrice'),
    bootS: amount(fields, 'readyS'),
    zones: list(fields, 'halls').map(String),
  };
}

/** The target of one page: up to `limit` machines with ids after the given one. */
export function machineListTarget(after: string | null, limit: number): string {
  const from = after === null ? '' : `after=${encodeURIComponent(after)}&`;
  return `${PATHS.machines}?${from}limit=${limit}`;
}

/** Throws `MalformedMessageError`. */
export function parseMachineList(body: unknown): MachineListPage {
  const machines = list(body, 'carts').map(parseListedMachine);
  return { machines, more: (body as JsonObject).hasNext === true };
}

function parseListedMachine(value: unknown): ListedMachine {
  const fields = requireObject(value, 'machine is not an object');
  const state = fields.standing;
  if (state !== 'booting' && state !== 'running' && state !== 'failed')
    throw new MalformedMessageError('machine state');
  return {
    id: text(fields, 'id'),
    address: typeof fields.endpoint === 'string' ? fields.endpoint : '',
    type: text(fields, 'rig'),
    zone: text(fields, 'hall'),
    spot: flag(fields, 'loaner'),
    state,
    ageS: isAbsent(fields.ageS) ? 0 : amount(fields, 'ageS'),
  };
}

/** Body of a provisioning request. */
export function provisionBody(request: ProvisionRequest): JsonObject {
  return {
    hire: request.name,
    rig: request.type,
    hall: request.zone,
    loaner: request.spot,
    count: request.count,
  };
}

/** Ids of the machines that were provisioned. Throws `MalformedMessageError`. */
export function parseProvisioned(body: unknown): string[] {
  return list(body, 'carts').filter((id): id is string => typeof id === 'string');
}

/** Body of a termination request for the machines with these ids. */
export function terminationBody(machines: string[]): JsonObject {
  return { carts: machines };
}
