/**
 * Paths of the HTTP interfaces: those of the controller and those of the agents, the
 * cloud and the state service.
 */

/** Paths without ids, queries and suffixes. */
export const PATHS = {
  /** Job submission, served by the controller to users. Queries and cancellations use paths below it. */
  jobs: '/v1/jobs',
  /** Health check, served by the controller to the platform. */
  health: '/healthz',
  /** Heartbeats, served by the controller to agents. */
  heartbeat: '/agent/beat',
  /** Commands, served by agents. */
  commands: '/do',
  /** The current heartbeat, served by agents. */
  currentHeartbeat: '/show',
  /** Machine types, served by the cloud. */
  machineTypes: '/flavors',
  /** Machine list (GET) and provisioning (POST), served by the cloud. */
  machines: '/machines',
  /** Termination of machines, served by the cloud. */
  termination: '/machines/return',
  /** Single keys and lists of keys, served by the state service. */
  keys: '/store',
  /** Transactions, served by the state service. */
  transaction: '/multi',
  /** Leases, served by the state service. */
  leases: '/grants',
  /** Watches, served by the state service. */
  watch: '/follow',
} as const;

/** Part of the cancellation path after the job id. */
export const CANCEL_PATH_SEGMENT = 'withdraw';
