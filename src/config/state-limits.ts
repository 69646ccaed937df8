import type { Platform } from './settings.js';

/**
 * What the state service takes, now and once the limits that are announced in
 * the settings (`state.next`) are in force. When that happens is not known, so
 * whatever is written fits both; what is stored may be larger.
 */
export interface StateLimits {
  /** Bytes of a value under the limit of the settings: earlier versions sized their bitmaps by it. */
  presentValueBytes: number;
  /** Bytes of a value at all times. */
  valueBytes: number;
  /** Changes in one transaction at all times. */
  changes: number;
  /** Changes a second now. */
  changesPerS: number;
  /** Changes a second once the announced limit is in force. */
  loweredChangesPerS: number;
}

const KIB = 1024;

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
