/**
 * Paths of the HTTP interfaces: those that are served here, and those of the
 * agents, the cloud and the state service that are called.
 */

/** The paths without ids, queries and suffixes. */
export const PATHS = {
  /** Served to users: submit, and below it query and cancel. */
  jobs: '/v1/jobs',
  /** Served to the platform: health. */
  health: '/healthz',
  /** Served to agents: heartbeats. */
  heartbeat: '/agent/beat',
  /** Of an agent: commands, and its present heartbeat. */
  commands: '/do',
  currentHeartbeat: '/show',
  /** Of the cloud: machine types, machine list and provisioning, termination. */
  machineTypes: '/flavors',
  machines: '/machines',
  termination: '/machines/return',
  /** Of the state service: keys, transactions, leases, watches. */
  keys: '/store',
  transaction: '/multi',
  leases: '/grants',
  watch: '/follow',
} as const;

/** What follows a job's id in the path of its cancellation. */
export const CANCEL_PATH = 'withdraw';
