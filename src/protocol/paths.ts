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
  show: '/show',
  /** Of the cloud: machine types, machine list and provisioning, termination. */
  types: '/flavors',
  machines: '/machines',
  returnMachines: '/machines/return',
  /** Of the state service: keys, transactions, leases, watches. */
  store: '/store',
  transaction: '/multi',
  leases: '/grants',
  watch: '/follow',
} as const;

/** What follows a job's id in the path of its cancellation. */
export const CANCEL_PATH = 'withdraw';
