import type { CloudClient } from '../clients/cloud-client.js';
import type { MachineType } from '../model/machine.js';
import {
  decodeMachineTypes,
  encodeMachineTypes,
  type StoredMachineType,
  storedMachineTypes,
} from '../records/machine-type-record.js';
import { RequestPriority } from '../runtime/request-budget.js';
import type { ControllerContext } from './context.js';

const MACHINE_TYPES_KEY = 'types';

/** Machine types from the state service or, where it has none or fails, from the cloud. */
export async function readMachineTypes(
  ctx: ControllerContext,
  cloud: Pick<CloudClient, 'types'>,
  signal: AbortSignal,
): Promise<MachineType[]> {
  try {
    const entry = await ctx.state.get(MACHINE_TYPES_KEY, RequestPriority.lead, signal);
    const types = entry && decodeMachineTypes(entry.value);
    if (types && types.length > 0) return types;
  } catch (error) {
    // A node that starts in an outage is to be healthy by the time that it is over.
    if (signal.aborted) throw error;
  }
  return cloud.types(signal);
}

/** Keeps the types for nodes that start while the cloud is out of reach. Prices move too often to be worth a write. */
export async function storeMachineTypes(
  ctx: ControllerContext,
  types: MachineType[],
  signal: AbortSignal,
): Promise<void> {
  if (types.length === 0) return;
  const shape = (list: StoredMachineType[] | null) =>
    JSON.stringify(list?.map(({ price: _p, spotPrice: _s, ...rest }) => rest));
  const entry = await ctx.state.get(MACHINE_TYPES_KEY, RequestPriority.progress, signal);
  const kept = entry && storedMachineTypes(entry.value);
  const value = encodeMachineTypes(types);
  // Too many for a value: nodes that start then have only the cloud to ask.
  if (Buffer.byteLength(JSON.stringify(value)) > ctx.limits.valueBytes) {
    ctx.machineTypes = types;
    return;
  }
  if (shape(kept) !== shape(value))
    await ctx.state.transact(
      [{ key: MACHINE_TYPES_KEY, version: entry?.version ?? 0 }],
      [{ op: 'put', key: MACHINE_TYPES_KEY, value }],
      RequestPriority.progress,
      signal,
    );
  ctx.machineTypes = types;
}
