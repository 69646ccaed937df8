/** The machine types that the cloud offers: read at start, and kept for controllers that start while it is unreachable. */
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

/** The pause between attempts to read the types, in renewal intervals. */
const READ_RETRY_INTERVALS = 0.5;

/** Reads the types until they are known: without them a controller is not healthy and accepts no jobs. */
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
      ctx.log.debug({ err }, 'machine types not read');
    }
    if (!ctx.machineTypes)
      await sleepUntilAborted(ctx.clock, ctx.timing.renewMs * READ_RETRY_INTERVALS, signal);
  }
}

/**
 * Machine types from the state service or, where it has none or fails, from
 * the cloud.
 *
 * @throws when the cloud does not answer either, or the signal is aborted.
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
    // A controller that starts in an outage of the state service must be healthy by the time that it is over.
    if (signal.aborted) throw error;
  }
  return cloud.types(signal);
}

/**
 * Makes the types known to this controller, and stores them for controllers
 * that start while the cloud is unreachable. They are written only when
 * anything but a price has changed: prices move too often to be worth a write.
 *
 * @throws when the state service does not answer; the types are not taken then.
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
  // Too many for a value: controllers that start have only the cloud to ask.
  if (Buffer.byteLength(JSON.stringify(value)) > ctx.limits.valueBytes) {
    ctx.machineTypes = types;
    return;
  }
  if (withoutPrices(stored) !== withoutPrices(value))
    await ctx.state.transact(
      [{ key: MACHINE_TYPES_KEY, version: entry?.version ?? 0 }],
      [{ op: 'put', key: MACHINE_TYPES_KEY, value }],
      RequestPriority.progress,
      signal,
    );
  ctx.machineTypes = types;
}

/** A text that two lists share if they differ in prices at most. */
function withoutPrices(types: StoredMachineType[] | null): string | undefined {
  return JSON.stringify(types?.map(({ price: _price, spotPrice: _spotPrice, ...rest }) => rest));
}
