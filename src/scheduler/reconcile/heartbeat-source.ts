/** The ways in which heartbeats reach the leader. */

/**
 * The way in which a heartbeat arrived. An agent sends one heartbeat at a time,
 * so the next one proves that the response to the previous one was received or
 * dropped. A heartbeat in a command reply proves nothing about those responses.
 */
export type HeartbeatSource = 'heartbeat' | 'commandReply';
