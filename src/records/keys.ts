/** Names of the keys in the state service that hold jobs and machines. */

export const LIVE_JOB_PREFIX = 'live/';
export const DEPENDENCY_PAGE_PREFIX = 'upstream/';
export const BITMAP_PREFIX = 'bits/';
export const ROSTER_PREFIX = 'roster/';

/** The accepted job. */
export const liveJobKey = (id: string) => `${LIVE_JOB_PREFIX}${id}`;

export const ENDED_JOB_PREFIX = 'over/';

/** The end of a job. */
export const endedJobKey = (id: string) => `${ENDED_JOB_PREFIX}${id}`;

/** A page of what a job needs, where its record has no room for all of it. */
export const dependencyPageKey = (id: string, page: number) =>
  `${DEPENDENCY_PAGE_PREFIX}${id}/${page}`;

/** Headers of lists of upstream jobs that are too long for one transaction. */
export const LIST_HEADER_PREFIX = 'lists/';

/** The header of such a list. */
export const listHeaderKey = (id: string, token: string) => `${LIST_HEADER_PREFIX}${id}/${token}`;

/** All pages of such a list. */
export const listPagesPrefix = (id: string, token: string) => `needs/${id}/${token}/`;

const PAGE_DIGITS = 4;

/** A page of such a list; the keys stand in the order of the pages. */
export const listPageKey = (id: string, token: string, page: number) =>
  `${listPagesPrefix(id, token)}${String(page).padStart(PAGE_DIGITS, '0')}`;

/** A page of machines that may have been given tasks. */
export const rosterKey = (page: string) => `${ROSTER_PREFIX}${page}`;
