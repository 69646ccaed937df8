/** The state service's limits, as what is written has to keep them. */
import type { Platform } from './settings.js';

/**
 * What the state service takes, now and once the limits that the settings
 * announce (`state.next`) are in force. It is not known when that happens, so
 * whatever is written fits both at all times; what is stored already may be
 * larger.
 */
export interface StateLimits {
  /** Bytes of a value under the present limit: earlier versions sized their bitmaps by it. */
  presentValueBytes: number;
  /** Bytes of a value under either limit: what is written keeps to this. */
  valueBytes: number;
  /** Changes in one transaction under either limit. */
  changes: number;
  /** Changes a second under the present limit. */
  changesPerS: number;
  /** Changes a second under either limit: what is left once the announced one is in force. */
  loweredChangesPerS: number;
}

const KIB = 1024;

/** The limits by the settings. */
export function stateLimitsOf(platform: Platform): StateLimits {
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
