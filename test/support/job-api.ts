import type { JobApiOptions } from '../../src/controller/api/job-api.js';

/** A node that knows of no task counts and has nobody to announce cancellations to. */
export const WITHOUT_LEADER: JobApiOptions = {
  taskCounts: { taskCountsOf: () => null },
  cancellations: { announceCancellation: async () => {} },
};
