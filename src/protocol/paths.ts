/**
 * Paths of the HTTP interfaces: those of the controller and those of the agents, the
 * cloud and the state service.
 */

/** Paths without ids, queries and suffixes. */
export const PATHS = {
  /** Of the controller, for users: submission, and below it query and cancellation. */
  jobs: '/v1/jobs',
  /** Of the controller, for the platform: health. */
  health: '/healthz',
  /** Of the controller, for agents: heartbeats. */
  heartbeat: '/agent/beat',
  /** Of an agent: commands and its current heartbeat. */
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

/** Part of the cancellation path after the job id. */
export const CANCEL_PATH_SEGMENT = 'withdraw';
