/** What the parts of one controller share. */
import type { Logger } from 'pino';
import type { KeyValueStore } from '../clients/key-value-store.js';
import type { Platform } from '../config/settings.js';
import type { StateLimits } from '../config/state-limits.js';
import type { Timing } from '../config/timing.js';
import type { MachineType } from '../model/machine.js';
import type { TeamQuota } from '../model/resources.js';
import type { Clock } from '../runtime/clock.js';

/** Settings, clients and tools that every routine of one controller uses. */
export interface ControllerContext {
  /** This node's name in the settings. */
  node: string;
  /** Differs with each start of the process, so that no successor takes its keys for its own. */
  incarnation: string;
  /** The platform's settings as they were handed over. */
  platform: Platform;
  /** Every timer, derived from the settings. */
  timing: Timing;
  /** What the state service takes. */
  limits: StateLimits;
  /** By team. */
  quotas: Map<string, TeamQuota>;
  state: KeyValueStore;
  clock: Clock;
  log: Logger;
  /** Machine types as last read; null until they are known. Replaced, never changed in place. */
  machineTypes: MachineType[] | null;
}
