/**
 * Keys of jobs and machines in the state service. They must never change, because other
 * versions read and write the same keys.
 */

/** Prefix of the records of live jobs (job-record). */
export const LIVE_JOB_PREFIX = 'live/';
/**
 * Prefix of the pages of dependencies that are written together with a job record
 * (dependency-list-record).
 */
export const DEPENDENCY_PAGE_PREFIX = 'upstream/';
/** Prefix of the bitmaps of finished tasks of live jobs (bitmap-layout, finished-tasks-record). */
export const BITMAP_PREFIX = 'bits/';
/** Prefix of the pages of machines that tasks may have been assigned to (roster-record). */
export const ROSTER_PREFIX = 'roster/';

/** Returns the key of the record of a live job. */
export const liveJobKey = (id: string) => `${LIVE_JOB_PREFIX}${id}`;

/** Prefix of the records of ended jobs (job-end-record). */
export const ENDED_JOB_PREFIX = 'over/';

/** Returns the key of the record of an ended job. */
export const endedJobKey = (id: string) => `${ENDED_JOB_PREFIX}${id}`;

/**
 * Returns the key of a page of dependencies that do not fit into the job record. Pages
 * are numbered from 0.
 */
export const dependencyPageKey = (id: string, page: number) =>
  `${DEPENDENCY_PAGE_PREFIX}${id}/${page}`;

/** Prefix of the headers of dependency lists, which are too long for one transaction. */
export const DEPENDENCY_LIST_HEADER_PREFIX = 'lists/';

/** Returns the key of the header of a job's dependency list. */
export const dependencyListHeaderKey = (id: string, token: string) =>
  `${DEPENDENCY_LIST_HEADER_PREFIX}${id}/${token}`;

/** Returns the prefix of all pages of a job's dependency list. */
export const dependencyListPagesPrefix = (id: string, token: string) => `needs/${id}/${token}/`;

/** Digits to which a page's number is padded, so that keys sort in the order of the pages. */
const PAGE_DIGITS = 4;

/** Returns the key of a page of a job's dependency list. Pages are numbered from 0. */
export const dependencyListPageKey = (id: string, token: string, page: number) =>
  `${dependencyListPagesPrefix(id, token)}${String(page).padStart(PAGE_DIGITS, '0')}`;

/** Returns the key of a page of machines that tasks may have been assigned to. */
export const rosterKey = (page: string) => `${ROSTER_PREFIX}${page}`;
