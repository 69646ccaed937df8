import type { Logger } from 'pino';
import type { StateService } from '../clients/state.js';
import type { Platform } from '../config/settings.js';
import type { Timing } from '../config/timing.js';
import type { JobSpec, MachineType, Team } from '../core/model.js';
import type { Clock } from './clock.js';

/** What every duty of one node shares. */
export interface Context {
  node: string;
  /** New with each start of the process: no successor takes its keys for its own. */
  incarnation: string;
  platform: Platform;
  timing: Timing;
  teams: Map<string, Team>;
  state: StateService;
  clock: Clock;
  log: Logger;
  /** Machine types as last read; null while they are not known. */
  types: MachineType[] | null;
}

/** A job as its live key holds it. */
export interface LiveRecord {
  spec: JobSpec;
  at: number;
}

export interface OverRecord {
  state: 'done' | 'cancelled';
  tasks: number;
}
