/** Keys of leader elections. */

/**
 * Key of the leader record, which is attached to the leader's lease. The writes of
 * progress and of the demand forecast are conditioned on the version of this key.
 */
export const LEADER_KEY = 'leader';

/** Key of the number of the last term that was won. */
export const TERM_KEY = 'term';
