/** The context that the components of one controller share. */
import type { Logger } from 'pino';
import type { KeyValueStore } from '../clients/key-value-store.js';
import type { PlatformSettings } from '../config/settings.js';
import type { StateLimits } from '../config/state-limits.js';
import type { Timing } from '../config/timing.js';
import type { MachineType } from '../model/machine.js';
import type { TeamQuota } from '../model/resources.js';
import type { Clock } from '../runtime/clock.js';

/** Settings, clients and other dependencies that the components of one controller use. */
export interface ControllerContext {
  /** Name of this node in the settings. */
  node: string;
  /**
   * Unique to each start of the process, so that a restarted process does not claim
   * the keys of the node's previous process.
   */
  incarnation: string;
  /** The platform's settings file, as parsed. */
  platform: PlatformSettings;
  /** Timers and timeouts, derived from the settings. */
  timing: Timing;
  /** Limits of the state service on values and changes. */
  limits: StateLimits;
  /** Quotas by team name. */
  quotas: Map<string, TeamQuota>;
  state: KeyValueStore;
  clock: Clock;
  log: Logger;
  /** Machine types as last read; null until the first successful read. The array is replaced, never modified. */
  machineTypes: MachineType[] | null;
}
