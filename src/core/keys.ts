/** Names of the keys in the state service that hold jobs and machines. */

export const LIVE_PREFIX = 'live/';
export const UPSTREAM_PREFIX = 'upstream/';
export const BITS_PREFIX = 'bits/';
export const ROSTER_PREFIX = 'roster/';

/** The accepted job. */
export const liveKey = (id: string) => `${LIVE_PREFIX}${id}`;

/** The end of a job. */
export const overKey = (id: string) => `over/${id}`;

/** A page of what a job needs, where its record has no room for all of it. */
export const upstreamKey = (id: string, page: number) => `${UPSTREAM_PREFIX}${id}/${page}`;

/** A page of machines that may have been given tasks. */
export const rosterKey = (page: string) => `${ROSTER_PREFIX}${page}`;
