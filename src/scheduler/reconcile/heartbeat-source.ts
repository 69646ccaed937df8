/** How heartbeats reach the leader. */

/**
 * How a heartbeat came. An agent sends one of its own at a time, so the next
 * one shows that the answer to the one before arrived or was dropped. The one
 * in a command's reply shows nothing about those answers.
 */
export type HeartbeatSource = 'heartbeat' | 'commandReply';
