/** Limits of the state service that every write must respect. */
import type { PlatformSettings } from './settings.js';

/**
 * The current limits of the state service, combined with those that the settings
 * announce (`state.next`). The announced limits take effect at an unknown time,
 * so every write must respect both. Values that are already stored may be larger.
 */
export interface StateLimits {
  /** Size of a value in bytes under the current limit, by which earlier versions sized their bitmaps. */
  presentValueBytes: number;
  /** Size of a value in bytes under the lower of both limits. Every write must respect it. */
  valueBytes: number;
  /** Changes per transaction under the lower of both limits. */
  changes: number;
  /** Changes per second under the current limit. */
  changesPerS: number;
  /** Changes per second under the lower of both limits: the rate that is left once the announced limits are in force. */
  loweredChangesPerS: number;
}

const KIB = 1024;

/** Returns the limits that result from the settings. */
export function stateLimitsOf(platform: PlatformSettings): StateLimits {
  const { state } = platform.settings;
  const next = state.next;
  return {
    presentValueBytes: state.value_kb * KIB,
    valueBytes: Math.min(state.value_kb, next?.value_kb ?? state.value_kb) * KIB,
    changes: Math.min(state.txn_ops, next?.txn_ops ?? state.txn_ops),
    changesPerS: state.write_rps,
    loweredChangesPerS: Math.min(state.write_rps, next?.write_rps ?? state.write_rps),
  };
}
