/** Reads the cloud's machine types, and stores them for controllers that start while the cloud is unreachable. */
import type { CloudClient } from '../clients/cloud-client.js';
import type { MachineType } from '../model/machine.js';
import {
  decodeMachineTypes,
  encodeMachineTypes,
  type StoredMachineType,
  storedMachineTypes,
} from '../records/machine-type-record.js';
import { sleepUntilAborted } from '../runtime/clock.js';
import { RequestPriority } from '../runtime/request-budget.js';
import type { ControllerContext } from './context.js';

const MACHINE_TYPES_KEY = 'types';

/** Pause between attempts to read the machine types, in renewal intervals. */
const READ_RETRY_INTERVALS = 0.5;

/**
 * Reads the machine types, retrying until it succeeds or the signal is aborted.
 * Without them a controller is not healthy and accepts no jobs.
 */
export async function loadMachineTypes(
  ctx: ControllerContext,
  cloud: Pick<CloudClient, 'types'>,
  signal: AbortSignal,
): Promise<void> {
  while (!ctx.machineTypes && !signal.aborted) {
    try {
      ctx.machineTypes = await readMachineTypes(ctx, cloud, signal);
    } catch (err) {
      if (signal.aborted) return;
      ctx.log.debug({ err }, 'machine type read failed; retrying after a pause');
    }
    if (!ctx.machineTypes)
      await sleepUntilAborted(
        ctx.clock,
        ctx.timing.renewalIntervalMs * READ_RETRY_INTERVALS,
        signal,
      );
  }
}

/**
 * Returns the machine types from the state service or, if it has none or the
 * read fails, from the cloud.
 *
 * @throws when the cloud fails too, or when the signal is aborted.
 */
export async function readMachineTypes(
  ctx: ControllerContext,
  cloud: Pick<CloudClient, 'types'>,
  signal: AbortSignal,
): Promise<MachineType[]> {
  try {
    const entry = await ctx.state.get(MACHINE_TYPES_KEY, RequestPriority.leadership, signal);
    const types = entry && decodeMachineTypes(entry.value);
    if (types && types.length > 0) return types;
  } catch (error) {
    // A controller that starts in an outage of the state service must be healthy before the outage ends, so it
    // falls back to the cloud.
    if (signal.aborted) throw error;
  }
  return cloud.types(signal);
}

/**
 * Updates this controller's machine types, and stores them for controllers that
 * start while the cloud is unreachable. They are stored only when something
 * other than a price has changed: prices change too often to justify a write.
 *
 * @throws when the state service fails; this controller's types are then unchanged.
 */
export async function storeMachineTypes(
  ctx: ControllerContext,
  types: MachineType[],
  signal: AbortSignal,
): Promise<void> {
  if (types.length === 0) return;
  const entry = await ctx.state.get(MACHINE_TYPES_KEY, RequestPriority.progress, signal);
  const stored = entry && storedMachineTypes(entry.value);
  const value = encodeMachineTypes(types);
  // A list that exceeds the size of a value is not stored; starting controllers can only read it from the cloud.
  if (Buffer.byteLength(JSON.stringify(value)) > ctx.limits.valueBytes) {
    ctx.machineTypes = types;
    return;
  }
  if (serializeWithoutPrices(stored) !== serializeWithoutPrices(value))
    await ctx.state.transact(
      [{ key: MACHINE_TYPES_KEY, version: entry?.version ?? 0 }],
      [{ op: 'put', key: MACHINE_TYPES_KEY, value }],
      RequestPriority.progress,
      signal,
    );
  ctx.machineTypes = types;
}

/** Returns a text that is equal for lists that differ only in prices; undefined for null. */
function serializeWithoutPrices(types: StoredMachineType[] | null): string | undefined {
  return JSON.stringify(types?.map(({ price: _price, spotPrice: _spotPrice, ...rest }) => rest));
}
