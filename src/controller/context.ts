import type { Logger } from 'pino';
import type { KeyValueStore } from '../clients/key-value-store.js';
import type { Platform } from '../config/settings.js';
import type { StateLimits } from '../config/state-limits.js';
import type { Timing } from '../config/timing.js';
import type { MachineType } from '../model/machine.js';
import type { TeamQuota } from '../model/resources.js';
import type { Clock } from '../runtime/clock.js';

/** What every duty of one node shares. */
export interface ControllerContext {
  node: string;
  /** New with each start of the process: no successor takes its keys for its own. */
  incarnation: string;
  platform: Platform;
  timing: Timing;
  limits: StateLimits;
  quotas: Map<string, TeamQuota>;
  state: KeyValueStore;
  clock: Clock;
  log: Logger;
  /** Machine types as last read; null while they are not known. */
  machineTypes: MachineType[] | null;
}
