/**
 * Names of the keys in the state service that hold jobs and machines. They are
 * never changed: other versions read and write the same keys.
 */

/** Accepted jobs that have not ended (job-record). */
export const LIVE_JOB_PREFIX = 'live/';
/** Pages of dependencies written together with a job's record (dependency-list-record). */
export const DEPENDENCY_PAGE_PREFIX = 'upstream/';
/** Finished tasks of live jobs (bitmap-layout, finished-tasks-record). */
export const BITMAP_PREFIX = 'bits/';
/** Machines that may have been given tasks (roster-record). */
export const ROSTER_PREFIX = 'roster/';

/** The record of an accepted job. */
export const liveJobKey = (id: string) => `${LIVE_JOB_PREFIX}${id}`;

/** Ended jobs (job-end-record). */
export const ENDED_JOB_PREFIX = 'over/';

/** The record of an ended job. */
export const endedJobKey = (id: string) => `${ENDED_JOB_PREFIX}${id}`;

/** A page of a job's dependencies that its record has no room for. */
export const dependencyPageKey = (id: string, page: number) =>
  `${DEPENDENCY_PAGE_PREFIX}${id}/${page}`;

/** Headers of lists of dependencies that are too long for one transaction. */
export const LIST_HEADER_PREFIX = 'lists/';

/** The header of such a list. */
export const listHeaderKey = (id: string, token: string) => `${LIST_HEADER_PREFIX}${id}/${token}`;

/** All pages of such a list. */
export const listPagesPrefix = (id: string, token: string) => `needs/${id}/${token}/`;

/** Digits of a page's number, so that the keys are in the order of the pages. */
const PAGE_DIGITS = 4;

/** A page of such a list. */
export const listPageKey = (id: string, token: string, page: number) =>
  `${listPagesPrefix(id, token)}${String(page).padStart(PAGE_DIGITS, '0')}`;

/** A page of machines that may have been given tasks. */
export const rosterKey = (page: string) => `${ROSTER_PREFIX}${page}`;
