/** Replies to heartbeats that any node may send. */
import type { Reply } from '../../http/server.js';
import { redirectBody } from '../../protocol/agent-protocol.js';

/** Returns a 421 that sends the agent to the leader or, when `leader` is null, to another node. */
export function redirectTo(leader: string | null): Reply {
  return { status: 421, body: redirectBody(leader) };
}
