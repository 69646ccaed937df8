import type { JobApiOptions } from '../../src/controller/api/job-api.js';

/** Options of a node without a leader: no task counts, and cancellations are not announced. */
export const WITHOUT_LEADER: JobApiOptions = {
  taskCounts: { taskCountsOf: () => null },
  cancellations: { announceCancellation: async () => {} },
};
